#pragma once

#include "balsammill/base/RpcError.h"
#include "balsammill/base/StrongId.h"
#include "balsammill/base/Units.h"
#include "balsammill/policy/ClientAccountDemand.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace Balsammill {

/// Scheduling properties of one task. The scheduler does not distinguish calls from tasks of jobs.
struct TaskSpec {
    TaskId id {};
    MethodName method;
    ClientAccountName clientAccount;
    /// Fair-queueing weight of the method within its client account, derived from its urgency.
    std::uint32_t urgencyWeight { 1 };
    Slots slots { 1 };
    /// Declared run time, used until run times have been observed.
    Duration declaredRunTime {};
    TimePoint deadline {};
    /// Maximum number of queued tasks of the method; zero if only the total queue limit applies.
    std::uint32_t methodQueueLimit { 0 };
    /// Upstream on which an earlier attempt failed, or empty. The task is placed on another upstream while one is
    /// usable.
    VmName avoidUpstream {};
};

/// The task was queued; nextAssignment(), popForForwarding() or popExpired() will return it unless it is cancelled.
struct Queued {
    Duration expectedWait {};
};
/// The task was rejected; the verdict is not-run.
struct Refused {
    RpcErrorDetails error;
};
using Admission = std::variant<Queued, Refused>;

/// A task to start on an upstream now. Its slots stay occupied until recordCompletion() is called.
struct Assignment {
    TaskId task;
    VmName upstream;
};

/// Result of a started task, as counted for the health of its upstream.
enum class TaskOutcome {
    Succeeded,
    /// The upstream answered with an application error; it counts as healthy.
    ApplicationError,
    UpstreamError,
    ConnectionFailed,
    TimedOut,
    /// The upstream refused the start because its slots were full.
    RefusedFull,
    Cancelled,
};

struct UpstreamSpec {
    VmName vm;
    Slots slots { 8 };
    bool leaving { false };
};

enum class QueueOrder {
    Fair,
    FirstComeFirstServed,
};

enum class UpstreamChoice {
    LeastLoaded,
    Random,
};

struct SchedulerOptions {
    QueueOrder order { QueueOrder::Fair };
    UpstreamChoice choice { UpstreamChoice::LeastLoaded };
    std::size_t maxQueuedTasks { 100'000 };
    double maxEjectedShare { 0.5 };
    /// Weights of the client accounts; a client account that is not listed has weight 1.
    std::map<ClientAccountName, std::uint32_t> clientAccountWeights {};
    std::uint64_t randomSeed { 1 };
};

struct SchedulerLoad {
    std::uint32_t queuedTasks { 0 };
    std::uint32_t runningTasks { 0 };
    std::uint32_t freeSlots { 0 };
    std::uint32_t totalSlots { 0 };
    /// Expected queueing delay of a task that arrives now.
    Duration expectedWait {};
};

std::string_view nameOf(TaskOutcome);

enum class UpstreamHealth {
    Healthy,
    Ejected,
    Probing,
    Leaving,
};

std::string_view nameOf(UpstreamHealth);

struct UpstreamStatus {
    VmName vm;
    Slots slots;
    Slots slotsInUse;
    UpstreamHealth health { UpstreamHealth::Healthy };
};

/// Queueing, placement and upstream health of one service in one entry process. Not thread-safe; callers pass the
/// current time.
class Scheduler {
public:
    explicit Scheduler(SchedulerOptions);
    ~Scheduler();

    void setClientAccountWeights(std::map<ClientAccountName, std::uint32_t>);
    /// Replaces the set of upstreams. Upstreams in both sets keep their health and their slots in use.
    void setUpstreams(const std::vector<UpstreamSpec>&, TimePoint now);

    Admission submit(const TaskSpec&, TimePoint now);
    /// Puts a task back at the front of its queue, after an attempt that did not start or that is retried.
    void requeue(const TaskSpec&, TimePoint now);
    /// Returns the next task that can start now. Call repeatedly until empty.
    std::optional<Assignment> nextAssignment(TimePoint now);
    /// Removes the next queued task, to be forwarded to another entry process. Returns empty if no task is queued.
    std::optional<TaskId> popForForwarding(TimePoint now);
    /// Removes and returns tasks whose deadline has passed.
    std::vector<TaskId> popExpired(TimePoint now);
    /// Removes a task that has not started. Returns false if it has started or is unknown. Takes constant time.
    bool cancel(TaskId);
    /// Frees the slots of a started task and records its outcome.
    void recordCompletion(TaskId, TaskOutcome, TimePoint now);

    SchedulerLoad load(TimePoint now) const;
    std::vector<UpstreamStatus> upstreams(TimePoint now) const;
    /// Demand of the client accounts with queued or running tasks. Empty for QueueOrder::FirstComeFirstServed, which
    /// does not track client accounts.
    std::vector<ClientAccountDemand> clientAccountDemands() const;
    /// Earliest time at which nextAssignment() or popExpired() may return a task without any other call before it.
    std::optional<TimePoint> nextWakeUp() const;

private:
    struct Detail;
    std::unique_ptr<Detail> detail_;
};

} // namespace Balsammill
