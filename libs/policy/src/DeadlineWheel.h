#pragma once

#include "TaskRecord.h"

#include <array>
#include <optional>
#include <vector>

namespace Balsammill::Detail {

/// Hashed timing wheel over the deadlines of queued tasks, with buckets of 8 ms. Insertion and removal take constant
/// time. A deadline is reported up to one bucket late. One revolution covers 32 s; later deadlines stay in their bucket
/// for further revolutions.
class DeadlineWheel {
public:
    DeadlineWheel();

    void insert(TaskRecord&);
    void remove(TaskRecord&);
    /// Removes and returns the tasks of all buckets that end at or before now.
    std::vector<TaskRecord*> advance(TimePoint now);
    /// Earliest time at which advance() may return a task. Takes constant time.
    std::optional<TimePoint> nextDue() const;

private:
    static constexpr std::size_t bucketCount = 4096;
    static constexpr std::size_t wordBits = 64;
    using Bucket = IntrusiveList<TaskRecord, &TaskRecord::deadlineLink>;

    std::int64_t tickOf(const TaskRecord&) const;
    void drain(std::int64_t tick, std::vector<TaskRecord*>& due);

    std::vector<Bucket> buckets_;
    /// Bitmap of the buckets that are not empty.
    std::array<std::uint64_t, bucketCount / wordBits> occupied_ {};
    std::size_t size_ { 0 };
    /// First tick that has not been drained yet; set by an insertion into an empty wheel.
    std::int64_t nextTick_ { 0 };
};

} // namespace Balsammill::Detail
