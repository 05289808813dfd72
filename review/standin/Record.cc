#include "Record.hh"

#include <cstdio>

namespace Review {

Record::Record(const std::string& file)
    : file_(file)
    , begin_(Clock::now())
{
}

std::int64_t Record::nowMs() const { return std::chrono::duration_cast<Ms>(Clock::now() - begin_).count(); }

void Record::write(const std::string& text)
{
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f  ", static_cast<double>(nowMs()) / 1000);
    file_ << time << text << "\n" << std::flush;
}

void Record::line(const std::string& text)
{
    const std::lock_guard lock(mutex_);
    write(text);
}

std::size_t Record::started(const std::string& task, std::uint64_t run, const std::string& worker)
{
    const std::lock_guard lock(mutex_);
    runs_.push_back(
        { .task = task, .run = run, .worker = worker, .startedMs = nowMs(), .endedMs = -1, .how = {}, .noted = false });
    write("worker " + worker + " starts " + task + " run " + std::to_string(run));
    return runs_.size() - 1;
}

void Record::ended(std::size_t index, const std::string& how)
{
    const std::lock_guard lock(mutex_);
    auto& run = runs_[index];
    run.endedMs = nowMs();
    run.how = how;
    write("worker " + run.worker + " ends " + run.task + " run " + std::to_string(run.run) + " " + how);
}

void Record::noted(std::size_t index, std::uint64_t lastSeen)
{
    const std::lock_guard lock(mutex_);
    auto& run = runs_[index];
    run.noted = true;
    write("worker " + run.worker + " is told last_seen " + std::to_string(lastSeen) + " and forgets the end " + run.how
        + " of " + run.task + " run " + std::to_string(run.run));
}

std::vector<RunSeen> Record::runs()
{
    const std::lock_guard lock(mutex_);
    return runs_;
}

std::vector<RunSeen> Record::runsOf(const std::string& job)
{
    std::vector<RunSeen> found;
    for (const auto& run : runs()) {
        if (run.task.starts_with(job + "."))
            found.push_back(run);
    }
    return found;
}

} // namespace Review
