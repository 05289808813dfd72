#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace Balsammill::Standin {

/// One start of a task on an upstream, with times in microseconds since the Unix epoch.
struct TaskStart {
    std::string taskId;
    std::string attempt;
    std::string method;
    std::int64_t startedAtUs { 0 };
    /// 0 while the task runs.
    std::int64_t endedAtUs { 0 };
    /// "running", "ran", "failed", "closed" (no answer was sent) or "reset" (the mode dead was set while it ran).
    std::string_view outcome { "running" };
};

/// File to which several upstreams append one JSON line for each start and each end of a task. Thread-safe.
class StartLogFile {
public:
    /// Throws std::system_error if the file cannot be opened.
    explicit StartLogFile(const std::string& path);
    ~StartLogFile();
    StartLogFile(const StartLogFile&) = delete;
    StartLogFile& operator=(const StartLogFile&) = delete;

    /// Uses a single write() per line, so that lines of different processes do not interleave.
    void append(const std::string& line);

private:
    int descriptor_ { -1 };
};

/// Records the task starts of one upstream in memory and optionally in a file. Thread-safe.
class StartLog {
public:
    /// The file may be null and must outlive the log.
    StartLog(std::uint16_t port, StartLogFile* file);

    /// Returns the number of the start, which finish() takes.
    std::size_t begin(TaskStart);
    void finish(std::size_t number, std::string_view outcome);

    std::size_t count() const;
    /// Returns one JSON object per line, in the order of the starts.
    std::string toJsonLines() const;

private:
    std::string toJson(const TaskStart&) const;
    void appendEvent(std::string_view event, const TaskStart&);

    mutable std::mutex mutex_;
    std::vector<TaskStart> starts_;
    std::uint16_t port_;
    StartLogFile* file_;
};

} // namespace Balsammill::Standin
