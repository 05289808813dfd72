#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

/// One run of a task on a worker.
struct RunSeen {
    std::string task;
    std::uint64_t run { 0 };
    std::string worker;
    std::int64_t startedMs { 0 };
    /// Negative while the run goes on.
    std::int64_t endedMs { -1 };
    std::string how;
    /// A request with a `last_seen` that reaches the end has come, and the worker's lease has not lapsed in between.
    bool noted { false };
};

/// What clients, workers and the platform have seen, in memory for the check and as text in record.txt.
class Record {
public:
    explicit Record(const std::string& file);

    std::int64_t nowMs() const;
    void line(const std::string& text);

    std::size_t started(const std::string& task, std::uint64_t run, const std::string& worker);
    void ended(std::size_t index, const std::string& how);
    void noted(std::size_t index, std::uint64_t lastSeen);
    std::vector<RunSeen> runs();
    /// Runs of a job, by the first part of the task's name.
    std::vector<RunSeen> runsOf(const std::string& job);

private:
    void write(const std::string& text);

    std::mutex mutex_;
    std::ofstream file_;
    Clock::time_point begin_;
    std::vector<RunSeen> runs_;
};

} // namespace Review
