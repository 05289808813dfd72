#pragma once

#include "balsammill/shards/ShardEngine.h"

#include <variant>
#include <vector>

namespace Balsammill::Shards {

using ShardName = StrongId<struct ShardNameTag>;

/// What is known of another shard, from its owner's last status.
struct OtherShard {
    ShardName name;
    std::int64_t freeMilliCores { 0 };
    std::uint32_t waitingJobs { 0 };
};

struct AcceptJob { };

/// Another shard has room for the whole job now.
struct SendToShard {
    ShardName shard;
};

/// The job would end after its objective; it has not run.
struct RefuseJob {
    /// When a job like this one would be accepted, if no more work comes.
    Duration retryAfter {};
};

using AdmissionDecision = std::variant<AcceptJob, SendToShard, RefuseJob>;

struct AdmissionQuestion {
    const JobSpec& job;
    JobForecast forecast;
    /// Empty if the job has been sent on once.
    std::vector<OtherShard> others;
    TimePoint now {};
};

/// Decides about a job that has arrived at a shard. It answers load beyond the shard's capacity: a job that would miss
/// its objective here goes to the shard with the most free room if it fits there, and is refused at once if there is
/// none.
AdmissionDecision decideAdmission(const AdmissionQuestion&);

} // namespace Balsammill::Shards
