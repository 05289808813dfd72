#pragma once

#include "DeadlineWheel.h"
#include "FairQueue.h"
#include "FifoQueue.h"
#include "RunTimeEstimates.h"
#include "UpstreamSet.h"

#include <unordered_map>
#include <variant>

namespace Balsammill {

struct Scheduler::Detail {
    using TaskRecord = Balsammill::Detail::TaskRecord;
    using TaskState = Balsammill::Detail::TaskState;
    using Queue = std::variant<Balsammill::Detail::FairQueue, Balsammill::Detail::FifoQueue>;

    explicit Detail(SchedulerOptions);

    void setUpstreams(const std::vector<UpstreamSpec>&, TimePoint now);
    Admission submit(const TaskSpec&, TimePoint now);
    void requeue(const TaskSpec&, TimePoint now);
    std::optional<Assignment> nextAssignment(TimePoint now);
    std::optional<TaskId> popForForwarding(TimePoint now);
    std::vector<TaskId> popExpired(TimePoint now);
    bool cancel(TaskId);
    void recordCompletion(TaskId, TaskOutcome, TimePoint now);
    SchedulerLoad load() const;
    std::optional<TimePoint> nextWakeUp() const;

    std::optional<RpcErrorDetails> checkAdmission(const TaskRecord&, const TaskSpec&, TimePoint now) const;
    std::optional<RpcErrorDetails> checkQueueLimits(const TaskRecord&, const TaskSpec&) const;
    /// Expected queueing delay of a task with this much slot time, in microseconds, queued ahead of it.
    Duration estimateWait(std::int64_t slotMicrosAhead) const;
    void prepare(TaskRecord&, const TaskSpec&, TimePoint now);
    void enqueue(TaskRecord&, bool atFront);
    /// Removes the next task whose deadline has not passed from the queue and charges its flow.
    TaskRecord* popUnexpired(TimePoint now);
    void returnToQueue(TaskRecord&);
    void expire(TaskRecord&);
    Assignment start(TaskRecord&, Balsammill::Detail::Upstream&, TimePoint now);
    /// Starts a deferred task, or marks it as expired if its deadline has passed.
    std::optional<Assignment> startDeferred(TaskRecord&, Balsammill::Detail::Upstream&, TimePoint now);
    std::optional<Assignment> nextDeferred(TimePoint now);
    /// Sets aside a popped task that cannot start now. Returns false if the task went back to the queue, in which case
    /// no other task is tried.
    bool deferTask(TaskRecord&);
    void reconcileCharge(TaskRecord&, std::int64_t usedSlotMicros);
    /// Removes a task that has not started from the queue, list or reservation that holds it, but not from the deadline
    /// wheel.
    void detach(TaskRecord&);
    void eraseRecord(const TaskRecord&);

    SchedulerOptions options;
    Balsammill::Detail::RunTimeEstimates estimates;
    Queue queue;
    Balsammill::Detail::UpstreamSet upstreams;
    Balsammill::Detail::DeadlineWheel deadlines;
    std::unordered_map<TaskId, TaskRecord> tasks;
    Balsammill::Detail::TaskList awaitingOtherUpstream;
    Balsammill::Detail::TaskList unschedulable;
    Balsammill::Detail::TaskList expired;
    std::size_t waitingTasks { 0 };
    std::size_t runningTasks { 0 };
    /// Expected slot time of the running tasks when they started.
    std::int64_t runningSlotMicros { 0 };
    std::int64_t nextArrival { 1 };
    std::int64_t nextFrontArrival { -1 };
};

} // namespace Balsammill
