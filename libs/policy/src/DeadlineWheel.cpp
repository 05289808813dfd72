#include "DeadlineWheel.h"

#include <algorithm>
#include <bit>

namespace Balsammill::Detail {

namespace {

constexpr std::int64_t bucketMicros = 8'000;

// Prevents overflow of tick arithmetic for a deadline of TimePoint::max().
constexpr TimePoint latestDeadline = TimePoint::max() - std::chrono::hours(24);

std::int64_t tickAt(TimePoint time) { return std::min(time, latestDeadline).time_since_epoch().count() / bucketMicros; }

} // namespace

DeadlineWheel::DeadlineWheel()
    : buckets_(bucketCount)
{
}

std::int64_t DeadlineWheel::tickOf(const TaskRecord& task) const { return tickAt(task.deadline); }

void DeadlineWheel::insert(TaskRecord& task)
{
    const auto tick = tickOf(task);
    nextTick_ = size_ == 0 ? tick : std::min(nextTick_, tick);
    const auto index = static_cast<std::size_t>(tick) % bucketCount;
    buckets_[index].pushBack(task);
    occupied_[index / wordBits] |= std::uint64_t { 1 } << (index % wordBits);
    ++size_;
}

void DeadlineWheel::remove(TaskRecord& task)
{
    const auto index = static_cast<std::size_t>(tickOf(task)) % bucketCount;
    buckets_[index].remove(task);
    if (buckets_[index].empty())
        occupied_[index / wordBits] &= ~(std::uint64_t { 1 } << (index % wordBits));
    --size_;
}

void DeadlineWheel::drain(std::int64_t tick, std::vector<TaskRecord*>& due)
{
    auto& bucket = buckets_[static_cast<std::size_t>(tick) % bucketCount];
    for (auto* task = bucket.front(); task;) {
        auto* next = Bucket::next(*task);
        if (tickOf(*task) <= tick) {
            due.push_back(task);
            remove(*task);
        }
        task = next;
    }
}

std::vector<TaskRecord*> DeadlineWheel::advance(TimePoint now)
{
    std::vector<TaskRecord*> due;
    const auto end = tickAt(now);
    // After a pause longer than one revolution, visiting each bucket once with its latest past tick is sufficient.
    nextTick_ = std::max(nextTick_, end - static_cast<std::int64_t>(bucketCount));
    for (; nextTick_ < end && size_ > 0; ++nextTick_)
        drain(nextTick_, due);
    nextTick_ = std::max(nextTick_, end);
    return due;
}

std::optional<TimePoint> DeadlineWheel::nextDue() const
{
    if (size_ == 0)
        return std::nullopt;
    const auto start = static_cast<std::size_t>(nextTick_) % bucketCount;
    const auto wordCount = occupied_.size();
    for (std::size_t i = 0; i <= wordCount; ++i) {
        const auto word = (start / wordBits + i) % wordCount;
        auto bits = occupied_[word];
        if (i == 0)
            bits &= ~std::uint64_t { 0 } << (start % wordBits);
        if (bits == 0)
            continue;
        const auto index = word * wordBits + static_cast<std::size_t>(std::countr_zero(bits));
        const auto distance = (index + bucketCount - start) % bucketCount;
        const auto tick = nextTick_ + static_cast<std::int64_t>(distance);
        return TimePoint(Duration((tick + 1) * bucketMicros));
    }
    return std::nullopt;
}

} // namespace Balsammill::Detail
