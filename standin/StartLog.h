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
    /// "running", "ran", "failed", "closed" (no answer was sent) or "reset" (the upstream died while it ran).
    std::string_view outcome { "running" };
};

/// File to which several upstreams append one JSON line at each start and each end. Thread-safe.
class StartLogFile {
public:
    /// Throws std::system_error if the file cannot be opened.
    explicit StartLogFile(const std::string& path);
    ~StartLogFile();
    StartLogFile(const StartLogFile&) = delete;
    StartLogFile& operator=(const StartLogFile&) = delete;

    /// Written by one call, so that lines of several processes never mix.
    void append(const std::string& line);

private:
    int descriptor_ { -1 };
};

/// The starts of one upstream, kept in memory and optionally in a file. Thread-safe.
class StartLog {
public:
    /// The file may be null and has to outlive the log.
    StartLog(std::uint16_t port, StartLogFile* file);

    /// Returns the number of the start, for finish().
    std::size_t begin(TaskStart);
    void finish(std::size_t number, std::string_view outcome);

    std::size_t count() const;
    /// One JSON object a line, in the order of the starts.
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
