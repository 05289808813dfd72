#pragma once

#include "balsammill/shards/JobSpec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Balsammill::Shards {

/// Registration of an upstream.
struct UpstreamInfo {
    UpstreamId id;
    ServiceName service;
    FailureDomain domain;
    NetworkAddress address;
    Resources capacity;
    /// Kind and rack of the VM, as labels.
    std::vector<std::string> labels;
    /// The label that names the rack; empty if the upstream does not state one.
    std::string rack {};
    /// The upstream finishes its runs and accepts no new ones.
    bool draining { false };
    /// Until this time the upstream is slow, because it has started recently; an unset time if it is not.
    TimePoint coldUntil {};
    /// Unix time of its start in milliseconds; identifies the incarnation, as a restart keeps the id.
    std::int64_t startedUnixMs { 0 };

    bool hasLabel(const std::string&) const;
};

/// A running task in a report of an upstream.
struct RunningTask {
    TaskKey task;
    RunNumber run;
    std::string checkpoint;
};

/// How a run ended.
enum class RunEnd {
    Done,
    Failed,
    Stopped,
    LeaseExpired,
    /// Another member of its gang ended.
    GangBroken,
    /// The other members of its gang did not start in time.
    GangIncomplete,
};

/// The end of a run in a report of an upstream.
struct EndedTask {
    /// Sequence number of the end within one incarnation of the upstream; starts at 1.
    std::uint64_t sequence { 0 };
    TaskKey task;
    RunNumber run;
    RunEnd how { RunEnd::Done };
    std::string checkpoint;
};

/// Report of an upstream about all its runs.
struct UpstreamReport {
    std::int64_t startedUnixMs { 0 };
    std::vector<RunningTask> running;
    /// Ends that the owner has not acknowledged yet, the oldest first.
    std::vector<EndedTask> ended;
    /// False if there may be further ends, which are listed once these are acknowledged. Such a report does not show
    /// whether a run that it does not list as running has ended, or how.
    bool complete { true };
};

/// Why an upstream did not start a task.
enum class StartRefusal {
    /// The upstream has seen a higher fencing token.
    Fenced,
    /// The run number is not higher than that of an earlier run of the task.
    OldRun,
    /// The start arrived after its deadline.
    Late,
    InsufficientCapacity,
    /// The placement ticket is missing or no longer valid.
    NoTicket,
    /// The upstream is unhealthy or could not parse the request; the task was not started.
    Unhealthy,
};

} // namespace Balsammill::Shards
