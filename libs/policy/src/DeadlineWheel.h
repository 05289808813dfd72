#pragma once

#include "TaskRecord.h"

#include <array>
#include <optional>
#include <vector>

namespace Balsammill::Detail {

/// Deadlines of queued tasks in buckets of 8 ms. Insertion and removal take constant time; a deadline is reported up to
/// one bucket late. Deadlines beyond the span of 32 s stay in their bucket for further turns.
class DeadlineWheel {
public:
    DeadlineWheel();

    void insert(TaskRecord&);
    void remove(TaskRecord&);
    /// Removes and returns the tasks of all buckets that lie wholly before now.
    std::vector<TaskRecord*> advance(TimePoint now);
    /// Time at which advance() may return something; constant time.
    std::optional<TimePoint> nextDue() const;

private:
    static constexpr std::size_t bucketCount = 4096;
    static constexpr std::size_t wordBits = 64;
    using Bucket = IntrusiveList<TaskRecord, &TaskRecord::deadlineLink>;

    std::int64_t tickOf(const TaskRecord&) const;
    void drain(std::int64_t tick, std::vector<TaskRecord*>& due);

    std::vector<Bucket> buckets_;
    /// One bit for each bucket that is not empty.
    std::array<std::uint64_t, bucketCount / wordBits> occupied_ {};
    std::size_t size_ { 0 };
    /// First tick that has not been drained yet; set by the first insertion.
    std::int64_t nextTick_ { 0 };
};

} // namespace Balsammill::Detail
