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

/// The state behind Dispatcher. One mutex guards the schedulers and the work; exchanges, the forwarder and completions
/// run without it.
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
        /// When the task ended; the completion may be called later.
        TimePoint endedAt;
    };
    using CompletedList = std::vector<Completed>;

    // These expect the mutex to be held.
    Service& service(const ServiceName&);
    void enqueue(const WorkPtr&, TimePoint now, CompletedList&);
    /// Queues a task that another entry gave back.
    void takeBack(const WorkPtr&, TimePoint now, CompletedList&);
    /// Starts what can start, and wakes the timer thread if it has to look earlier than it planned.
    void pump(Service&, TimePoint now);
    void end(const WorkPtr&, DispatchResult, TimePoint now, CompletedList&);
    void expire(Service&, TimePoint now, CompletedList&);
    void endAllThatDoNotRun(TimePoint now, CompletedList&);
    /// True if tasks wait although this entry has no upstream for them, as after its upstreams went to other entries.
    bool hasStranded(const Service&, TimePoint now) const;
    /// Takes the queued tasks of a service that has lost its upstreams: those that may be forwarded are returned, the
    /// others are ended so that their sender takes them back.
    std::vector<WorkPtr> takeStranded(Service&, TimePoint now, CompletedList&);
    void afterExchange(const WorkPtr&, const VmName&, ExchangeResult, TimePoint now, CompletedList&);

    // These expect it not to be held.
    bool forward(const WorkPtr&, const TaskForwarder&);
    void forwardStranded(const std::vector<WorkPtr>&, const TaskForwarder&, CompletedList&);
    void forwardEnded(const WorkPtr&, DispatchResult);
    void run(const WorkPtr&, const VmName&, const NetworkAddress&);
    ExchangeResult exchange(const DispatchWork&, const NetworkAddress&);
    void complete(CompletedList);
    void observe(const Completed&);
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
    // When stranded tasks are offered to other entries again.
    TimePoint offerAt_ {};
    std::uint64_t lastTaskId_ { 0 };
    std::size_t unfinished_ { 0 };
    bool stopping_ { false };
    std::thread timer_;
};

} // namespace Balsammill::Detail
