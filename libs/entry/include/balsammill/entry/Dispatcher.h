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

/// One call, or one task of a job, with its request already checked against the schema.
struct DispatchTask {
    ServiceName service;
    MethodName method;
    ClientAccountName clientAccount;
    /// Name in time line and start logs: a call id, or "<job id>/<index>".
    std::string taskName;
    bool idempotent { false };
    /// True for tasks of jobs: started at most once, even if the method is idempotent.
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

/// An upstream together with where it can be reached.
struct ReachableUpstream {
    UpstreamSpec spec;
    NetworkAddress address;
};

/// Sends a task to another entry process; returns false, without calling the completion, if none has room.
using TaskForwarder = std::function<bool(const DispatchTask&, DispatchCompletion)>;

struct DispatcherOptions {
    SchedulerOptions scheduler {};
    UpstreamPoolOptions pool {};
    std::size_t maxExecutorThreads { 512 };
    /// May be null.
    Timeline* timeline { nullptr };
    Metrics* metrics { nullptr };
};

/// Feeds the schedulers (one per service) with tasks and runs their assignments. Thread-safe.
class Dispatcher {
public:
    explicit Dispatcher(DispatcherOptions);
    ~Dispatcher();

    void start();
    void setForwarder(TaskForwarder);
    void setUpstreams(const ServiceName&, const std::vector<ReachableUpstream>&);
    void setClientAccountWeights(const std::map<ClientAccountName, std::uint32_t>&);

    /// Takes a task. The completion is called exactly once, on a thread of the dispatcher or before this returns.
    /// The returned id serves cancel().
    TaskId submit(DispatchTask, DispatchCompletion);
    /// True if the task had not started; its completion is then called with canceled, not-run.
    bool cancel(TaskId);

    SchedulerLoad load(const ServiceName&) const;
    std::vector<UpstreamStatus> upstreams(const ServiceName&) const;
    std::vector<ServiceName> services() const;
    /// Queued and running work of each client account over all services, for the demand reports in heartbeats.
    std::vector<ClientAccountDemand> clientAccountDemands() const;
    std::size_t unfinishedTasks() const;
    /// Waits until no task is unfinished; false if the deadline passed first.
    bool waitUntilIdle(TimePoint deadline) const;
    void stop();

private:
    struct Detail;
    std::unique_ptr<Detail> detail_;
};

} // namespace Balsammill
