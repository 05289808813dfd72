#pragma once

#include "IntrusiveList.h"
#include "balsammill/policy/Scheduler.h"

namespace Balsammill::Detail {

class MethodRunTimes;
struct MethodFlow;
struct Upstream;

enum class TaskState {
    Queued,
    /// Out of the queue; an upstream is reserved until it has as many free slots as the task needs.
    Reserved,
    /// Out of the queue; waits for free slots on an upstream other than the one on which it failed.
    AwaitingOtherUpstream,
    /// Out of the queue; no current upstream has enough slots in total.
    Unschedulable,
    /// Past its deadline; popExpired() will return it.
    Expired,
    Running,
};

/// A task held by the scheduler. Kept small, because memory access dominates the cost of long queues.
struct TaskRecord {
    TaskId id;
    TimePoint deadline;
    TimePoint queuedAt;
    TimePoint startedAt;
    Slots slots { 1 };
    std::uint32_t sizeClass { 0 };
    TaskState state { TaskState::Queued };
    /// Generation of the upstream when the task started. Results from an earlier generation, that is from before an
    /// ejection, do not count for the health of the upstream.
    std::uint32_t upstreamGeneration { 0 };
    /// Sequence number in order of arrival; negative for a task that was put back at the front.
    std::int64_t arrival { 0 };
    MethodRunTimes* runTimes { nullptr };
    MethodFlow* flow { nullptr };
    /// Slot time in microseconds charged to the flow when the task left the queue.
    std::int64_t charge { 0 };
    /// Expected slot time in microseconds when the task started.
    std::int64_t expectedSlotMicros { 0 };
    Upstream* upstream { nullptr };
    ListLink<TaskRecord> queueLink;
    ListLink<TaskRecord> deadlineLink;
    VmName avoidUpstream;
};

using TaskList = IntrusiveList<TaskRecord, &TaskRecord::queueLink>;

} // namespace Balsammill::Detail
