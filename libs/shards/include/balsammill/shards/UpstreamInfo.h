#pragma once

#include "balsammill/shards/JobSpec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Balsammill::Shards {

/// What an upstream says about itself when it registers.
struct UpstreamInfo {
    UpstreamId id;
    ServiceName service;
    FailureDomain domain;
    NetworkAddress address;
    Resources capacity;
    /// Kind and rack of the VM.
    std::vector<std::string> labels;
    /// The label that names the rack; empty if the upstream does not tell.
    std::string rack {};
    /// It finishes its work and takes no more.
    bool draining { false };
    /// Unix milliseconds of its start; changes when it restarts under the same id.
    std::int64_t bornMs { 0 };

    bool hasLabel(const std::string&) const;
};

/// A task that runs on an upstream, as the upstream reports it.
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
    LeaseLapsed,
    /// Another member of its gang ended.
    GangBroken,
    /// The other members of its gang did not start in time.
    GangIncomplete,
};

/// The end of a run, as the upstream reports it.
struct EndedTask {
    /// Position in the upstream's list of ends; starts at 1 in each incarnation.
    std::uint64_t sequence { 0 };
    TaskKey task;
    RunNumber run;
    RunEnd how { RunEnd::Done };
    std::string checkpoint;
};

/// An upstream's full report.
struct UpstreamReport {
    std::int64_t bornMs { 0 };
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended;
};

/// Why an upstream did not start a task.
enum class StartRefusal {
    /// A higher fencing token has been used.
    Fenced,
    /// The run number is not above that of an earlier run.
    OldRun,
    /// The start arrived after its deadline.
    Late,
    NoRoom,
    /// The ticket that allows the step to run there is missing or no longer valid.
    NoTicket,
    /// The upstream is unhealthy or did not understand the request; it has done nothing.
    Unhealthy,
};

} // namespace Balsammill::Shards
