#include "StartLog.h"

#include <Poco/JSONString.h>

#include <cerrno>
#include <chrono>
#include <fcntl.h>
#include <system_error>
#include <unistd.h>

namespace Balsammill::Standin {

namespace {

std::int64_t wallClockUs()
{
    return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

StartLogFile::StartLogFile(const std::string& path)
    : descriptor_(::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644))
{
    if (descriptor_ < 0)
        throw std::system_error(errno, std::generic_category(), path);
}

StartLogFile::~StartLogFile() { ::close(descriptor_); }

void StartLogFile::append(const std::string& line)
{
    if (::write(descriptor_, line.data(), line.size()) != static_cast<ssize_t>(line.size()))
        throw std::system_error(errno, std::generic_category(), "start log");
}

StartLog::StartLog(std::uint16_t port, StartLogFile* file)
    : port_(port)
    , file_(file)
{
}

std::size_t StartLog::begin(TaskStart start)
{
    start.startedAtUs = wallClockUs();
    appendEvent("start", start);
    std::lock_guard lock(mutex_);
    starts_.push_back(std::move(start));
    return starts_.size() - 1;
}

void StartLog::finish(std::size_t number, std::string_view outcome)
{
    std::unique_lock lock(mutex_);
    auto& start = starts_.at(number);
    start.endedAtUs = wallClockUs();
    start.outcome = outcome;
    if (file_ == nullptr)
        return;
    const auto copy = start;
    lock.unlock();
    appendEvent("end", copy);
}

std::size_t StartLog::count() const
{
    std::lock_guard lock(mutex_);
    return starts_.size();
}

std::string StartLog::toJsonLines() const
{
    std::string lines;
    std::lock_guard lock(mutex_);
    for (const auto& start : starts_)
        lines += "{" + toJson(start) + "}\n";
    return lines;
}

std::string StartLog::toJson(const TaskStart& start) const
{
    return "\"task\":" + Poco::toJSON(start.taskId) + ",\"attempt\":" + Poco::toJSON(start.attempt)
        + ",\"method\":" + Poco::toJSON(start.method) + ",\"port\":" + std::to_string(port_)
        + ",\"start_us\":" + std::to_string(start.startedAtUs) + ",\"end_us\":" + std::to_string(start.endedAtUs)
        + R"(,"outcome":")" + std::string(start.outcome) + "\"";
}

void StartLog::appendEvent(std::string_view event, const TaskStart& start)
{
    if (file_ != nullptr)
        file_->append(R"({"event":")" + std::string(event) + "\"," + toJson(start) + "}\n");
}

} // namespace Balsammill::Standin
