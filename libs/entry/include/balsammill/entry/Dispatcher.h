#pragma once

#include "balsammill/policy/Scheduler.h"
#include "balsammill/rpc/UpstreamPool.h"
#include "balsammill/schema/MethodInfo.h"

#include <functional>
#include <memory>
#include <string>

namespace Balsammill {

class Metrics;
class Timeline;

/// One call, or one task of a job. The request has already been validated against the schema.
struct DispatchTask {
    ServiceName service;
    MethodName method;
    ClientAccountName clientAccount;
    /// Name in the timeline and in logs: a call id, or "<job id>/<index>".
    std::string taskName;
    bool idempotent { false };
    /// True for tasks of jobs, which have at-most-once semantics even if the method is idempotent.
    bool startAtMostOnce { false };
    Urgency urgency { Urgency::Normal };
    Slots slots { 1 };
    Duration declaredRunTime {};
    std::uint32_t queueLimit { 0 };
    TimePoint deadline;
    /// Binary protobuf.
    std::string request;
    /// False for a task that another entry process forwarded here.
    bool mayForward { true };
};

struct DispatchAnswer {
    /// Binary protobuf.
    std::string answer;
    Duration queued {};
    Duration run {};
};

using DispatchResult = std::variant<DispatchAnswer, RpcErrorDetails>;
using DispatchCompletion = std::function<void(DispatchResult)>;

/// An upstream and its network address.
struct ReachableUpstream {
    UpstreamSpec spec;
    NetworkAddress address;
};

/// Forwards a task to another entry process. Returns false, without calling the completion, if none has free capacity.
using TaskForwarder = std::function<bool(const DispatchTask&, DispatchCompletion)>;

struct DispatcherOptions {
    SchedulerOptions scheduler {};
    UpstreamPoolOptions pool {};
    std::size_t maxExecutorThreads { 512 };
    /// May be null.
    Timeline* timeline { nullptr };
    Metrics* metrics { nullptr };
};

/// Queues tasks in one scheduler per service and executes the scheduler's assignments on the upstreams. Thread-safe.
class Dispatcher {
public:
    explicit Dispatcher(DispatcherOptions);
    ~Dispatcher();

    void start();
    void setForwarder(TaskForwarder);
    void setUpstreams(const ServiceName&, const std::vector<ReachableUpstream>&);
    void setClientAccountWeights(const std::map<ClientAccountName, std::uint32_t>&);

    /// Submits a task. The completion is called exactly once, on a thread of the dispatcher or before this returns.
    /// The returned id can be passed to cancel().
    TaskId submit(DispatchTask, DispatchCompletion);
    /// Cancels a queued task. Returns true if the task had not started; its completion is then called with canceled,
    /// not-run.
    bool cancel(TaskId);

    SchedulerLoad load(const ServiceName&) const;
    std::vector<UpstreamStatus> upstreams(const ServiceName&) const;
    std::vector<ServiceName> services() const;
    /// Slots in use and queued work of each client account over all services, for the demand reports in heartbeats.
    std::vector<ClientAccountDemand> clientAccountDemands() const;
    std::size_t unfinishedTasks() const;
    /// Waits until all tasks have completed. Returns false if the deadline passed first.
    bool waitUntilIdle(TimePoint deadline) const;
    void stop();

private:
    struct Detail;
    std::unique_ptr<Detail> detail_;
};

} // namespace Balsammill
