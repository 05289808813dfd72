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

/// What the scheduler knows about one task; calls and the tasks of jobs look the same to it.
struct TaskSpec {
    TaskId id {};
    MethodName method;
    ClientAccountName clientAccount;
    /// Weight of the method within its client account; from its urgency.
    std::uint32_t urgencyWeight { 1 };
    Slots slots { 1 };
    /// Declared run time; the scheduler replaces it by what it observes.
    Duration declaredRunTime {};
    TimePoint deadline {};
    /// Zero if only the total queue limit applies.
    std::uint32_t methodQueueLimit { 0 };
    /// Upstream of a failed attempt; the task goes elsewhere as long as another upstream is usable. Empty if none.
    VmName avoidUpstream {};
};

/// The task waits; it will be returned by nextAssignment() or takeExpired().
struct Queued {
    Duration expectedWait {};
};
/// The task was not taken; the verdict is not-run.
struct Refused {
    RpcErrorDetails error;
};
using Admission = std::variant<Queued, Refused>;

/// The task has to be started on this upstream now; its slots are taken until finished().
struct Assignment {
    TaskId task;
    VmName upstream;
};

/// How a started task ended, as far as the upstream's health is concerned.
enum class TaskOutcome {
    Succeeded,
    /// The upstream answered with an error of the application, which says nothing against its health.
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
    /// Wait of a task that arrives now.
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

/// Queue, placement and upstream health of one service in one entry process. Not thread-safe; holds no clock.
class Scheduler {
public:
    explicit Scheduler(SchedulerOptions);
    ~Scheduler();

    void setClientAccountWeights(std::map<ClientAccountName, std::uint32_t>);
    /// Replaces the upstreams; health and slots in use of those that stay are kept.
    void setUpstreams(const std::vector<UpstreamSpec>&, TimePoint now);

    Admission submit(const TaskSpec&, TimePoint now);
    /// Returns a task that an upstream certainly did not start to the front of its queue.
    void requeue(const TaskSpec&, TimePoint now);
    /// The next task that can start now; call until empty.
    std::optional<Assignment> nextAssignment(TimePoint now);
    /// Takes the next queued task out for another entry process; empty if the queue is.
    std::optional<TaskId> takeForForwarding(TimePoint now);
    /// Removes and returns tasks whose deadline has passed.
    std::vector<TaskId> takeExpired(TimePoint now);
    /// Constant time. True if the task was still queued, so that it certainly will not start.
    bool cancel(TaskId);
    /// Frees the slots of a started task.
    void finished(TaskId, TaskOutcome, TimePoint now);

    SchedulerLoad load(TimePoint now) const;
    std::vector<UpstreamStatus> upstreams(TimePoint now) const;
    /// Client accounts with queued or running tasks; empty for the baseline order, which does not tell client accounts
    /// apart.
    std::vector<ClientAccountDemand> clientAccountDemands() const;
    /// Earliest time at which nextAssignment() or takeExpired() may have news without a further call.
    std::optional<TimePoint> nextWakeUp() const;

private:
    struct Detail;
    std::unique_ptr<Detail> detail_;
};

} // namespace Balsammill
