#pragma once

#include "IntrusiveList.h"
#include "balsammill/policy/Scheduler.h"

namespace Balsammill::Detail {

class MethodRunTimes;
struct MethodFlow;
struct Upstream;

enum class TaskState {
    Queued,
    /// Out of the queue; an upstream is kept free for it because it needs several slots at once.
    Reserved,
    /// Out of the queue; waits for a free slot on another upstream than the one that failed it.
    Avoiding,
    /// Out of the queue; no present upstream has enough slots.
    Parked,
    /// Its deadline has passed; waits for takeExpired().
    Expired,
    Running,
};

/// One task that the scheduler holds. Kept small, because a long queue is limited by memory access.
struct TaskRecord {
    TaskId id;
    TimePoint deadline;
    TimePoint queuedAt;
    TimePoint startedAt;
    Slots slots { 1 };
    std::uint32_t sizeClass { 0 };
    TaskState state { TaskState::Queued };
    /// Ejections of the upstream before the start; results of older starts say nothing about its health.
    std::uint32_t upstreamGeneration { 0 };
    /// Position by arrival; negative for a task that was returned to the front.
    std::int64_t arrival { 0 };
    MethodRunTimes* runTimes { nullptr };
    MethodFlow* flow { nullptr };
    /// Slot time in microseconds that its flow was charged when it left the queue.
    std::int64_t charge { 0 };
    /// Expected slot time at the start.
    std::int64_t expectedSlotMicros { 0 };
    Upstream* upstream { nullptr };
    ListLink<TaskRecord> queueLink;
    ListLink<TaskRecord> deadlineLink;
    VmName avoidUpstream;
};

using TaskList = IntrusiveList<TaskRecord, &TaskRecord::queueLink>;

} // namespace Balsammill::Detail
