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
    std::optional<TaskId> takeForForwarding(TimePoint now);
    std::vector<TaskId> takeExpired(TimePoint now);
    bool cancel(TaskId);
    void finished(TaskId, TaskOutcome, TimePoint now);
    SchedulerLoad load() const;
    std::optional<TimePoint> nextWakeUp() const;

    std::optional<RpcErrorDetails> refusal(const TaskRecord&, const TaskSpec&, TimePoint now) const;
    std::optional<RpcErrorDetails> limitRefusal(const TaskRecord&, const TaskSpec&) const;
    /// Time until a task with this much queued slot time ahead of it starts.
    Duration waitFor(std::int64_t slotMicrosAhead) const;
    void prepare(TaskRecord&, const TaskSpec&, TimePoint now);
    void enqueue(TaskRecord&, bool atFront);
    /// Takes the next task whose deadline has not passed; its flow is charged.
    TaskRecord* popLive(TimePoint now);
    void returnToQueue(TaskRecord&);
    void expire(TaskRecord&);
    Assignment start(TaskRecord&, Balsammill::Detail::Upstream&, TimePoint now);
    /// Starts a task that is out of the queue and ready, or gives up on it if its deadline has passed.
    std::optional<Assignment> startHeld(TaskRecord&, Balsammill::Detail::Upstream&, TimePoint now);
    std::optional<Assignment> nextHeld(TimePoint now);
    /// True if the search for an assignment goes on with the next task.
    bool holdForLater(TaskRecord&);
    void settle(TaskRecord&, std::int64_t usedSlotMicros);
    /// Takes a task that has not started out of whatever holds it, but for the deadlines.
    void detach(TaskRecord&);
    void eraseRecord(const TaskRecord&);

    SchedulerOptions options;
    Balsammill::Detail::RunTimeEstimates estimates;
    Queue queue;
    Balsammill::Detail::UpstreamSet upstreams;
    Balsammill::Detail::DeadlineWheel deadlines;
    std::unordered_map<TaskId, TaskRecord> tasks;
    Balsammill::Detail::TaskList avoiding;
    Balsammill::Detail::TaskList parked;
    Balsammill::Detail::TaskList expired;
    std::size_t waitingTasks { 0 };
    std::size_t runningTasks { 0 };
    /// Expected slot time of the running tasks when they started.
    std::int64_t runningSlotMicros { 0 };
    std::int64_t nextArrival { 1 };
    std::int64_t nextFrontArrival { -1 };
};

} // namespace Balsammill
