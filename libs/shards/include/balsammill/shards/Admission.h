#pragma once

#include "balsammill/shards/ShardEngine.h"

#include <variant>
#include <vector>

namespace Balsammill::Shards {

using ShardName = StrongId<struct ShardNameTag>;

/// Load of another shard, from the last status message of its owner.
struct OtherShard {
    ShardName name;
    std::int64_t freeMilliCores { 0 };
    std::uint32_t waitingJobs { 0 };
};

struct AcceptJob { };

/// Redirect the job to another shard that has free capacity for all of it now.
struct RedirectToShard {
    ShardName shard;
};

/// Reject the job, because it would miss its response time objective. None of its tasks has run.
struct RefuseJob {
    /// Time after which the same job would be accepted if no further work arrives.
    Duration retryAfter {};
};

using AdmissionDecision = std::variant<AcceptJob, RedirectToShard, RefuseJob>;

struct AdmissionRequest {
    const JobSpec& job;
    JobForecast forecast;
    /// Shards that the job may be redirected to. Empty if it has been redirected once already.
    std::vector<OtherShard> others;
    TimePoint now {};
};

/// Admission control for a job that has arrived at a shard. Under overload, a job that would miss its objective here is
/// redirected to the idle shard with the most free capacity if it fits there, and is rejected at once otherwise.
AdmissionDecision decideAdmission(const AdmissionRequest&);

} // namespace Balsammill::Shards
