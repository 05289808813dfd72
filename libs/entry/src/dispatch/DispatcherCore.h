#pragma once

#include "DispatchWork.h"
#include "ExecutorPool.h"
#include "balsammill/observe/Timeline.h"
#include "balsammill/policy/RetryBudget.h"

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>
#include <vector>

namespace Balsammill::Detail {

using WorkPtr = std::shared_ptr<DispatchWork>;

/// Implementation of Dispatcher. One mutex guards the schedulers and the tasks; exchanges, the forwarder and
/// completions run without holding it.
class DispatcherCore : public std::enable_shared_from_this<DispatcherCore> {
public:
    explicit DispatcherCore(DispatcherOptions);

    void start();
    void stop();
    void setForwarder(TaskForwarder);
    void setUpstreams(const ServiceName&, const std::vector<ReachableUpstream>&);
    void setClientAccountWeights(const std::map<ClientAccountName, std::uint32_t>&);

    TaskId submit(DispatchTask, DispatchCompletion);
    bool cancel(TaskId);

    SchedulerLoad load(const ServiceName&) const;
    std::vector<UpstreamStatus> upstreams(const ServiceName&) const;
    std::vector<ServiceName> services() const;
    std::vector<ClientAccountDemand> clientAccountDemands() const;
    std::size_t unfinishedTasks() const;
    bool waitUntilIdle(TimePoint deadline) const;

private:
    struct Service {
        explicit Service(const SchedulerOptions& options)
            : scheduler(options)
        {
        }
        Scheduler scheduler;
        RetryBudget retryBudget;
        std::unordered_map<VmName, NetworkAddress> addresses;
    };
    struct Completed {
        WorkPtr work;
        DispatchResult result;
        /// When the task ended; its completion may be called later.
        TimePoint endedAt;
    };
    using CompletedList = std::vector<Completed>;

    // The caller must hold the mutex.
    Service& service(const ServiceName&);
    void enqueue(const WorkPtr&, TimePoint now, CompletedList&);
    /// Queues a forwarded task that the other entry returned without running it.
    void requeueReturned(const WorkPtr&, TimePoint now, CompletedList&);
    /// Starts all tasks that the scheduler can assign, and wakes the timer thread if its next deadline has moved
    /// earlier.
    void startAssignments(Service&, TimePoint now);
    void end(const WorkPtr&, DispatchResult, TimePoint now, CompletedList&);
    void expire(Service&, TimePoint now, CompletedList&);
    void failTasksNotRunning(TimePoint now, CompletedList&);
    /// True if tasks are stranded: queued although this entry has no upstream for them, for example after its upstreams
    /// were reassigned to other entries.
    bool hasStranded(const Service&, TimePoint now) const;
    /// Removes stranded tasks from the queue. Returns those that may be forwarded; the others fail as not-run, so that
    /// the entry that forwarded them can queue them again.
    std::vector<WorkPtr> takeStranded(Service&, TimePoint now, CompletedList&);
    void onExchangeFinished(const WorkPtr&, const VmName&, ExchangeResult, TimePoint now, CompletedList&);

    // The caller must not hold the mutex.
    bool forward(const WorkPtr&, const TaskForwarder&);
    void forwardStranded(const std::vector<WorkPtr>&, const TaskForwarder&, CompletedList&);
    void onForwardCompleted(const WorkPtr&, DispatchResult);
    void run(const WorkPtr&, const VmName&, const NetworkAddress&);
    ExchangeResult exchange(const DispatchWork&, const NetworkAddress&);
    void complete(CompletedList);
    void reportCompletion(const Completed&);
    void record(EventKind, const DispatchWork&, std::string detail);
    void runTimer();

    DispatcherOptions options_;
    UpstreamPool pool_;
    ExecutorPool executors_;

    mutable std::mutex mutex_;
    mutable std::condition_variable idle_;
    std::condition_variable timerChanged_;
    std::unordered_map<ServiceName, Service> services_;
    std::unordered_map<TaskId, WorkPtr> work_;
    TaskForwarder forwarder_;
    /// Completions of cancelled tasks; the timer thread calls them, because cancel() may be called under a lock.
    CompletedList cancelled_;
    std::optional<TimePoint> timerDue_;
    // Next attempt to forward stranded tasks.
    TimePoint nextForwardAt_ {};
    std::uint64_t lastTaskId_ { 0 };
    std::size_t unfinished_ { 0 };
    bool stopping_ { false };
    std::thread timer_;
};

} // namespace Balsammill::Detail
