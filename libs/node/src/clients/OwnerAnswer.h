#pragma once

#include "balsammill/shards/Admission.h"
#include "balsammill/shards/JobState.h"

#include <functional>

namespace Balsammill {

/// Answer of a shard's owner to a submission, query or cancellation.
struct OwnerAnswer {
    enum class Kind {
        Completed,
        Failed,
        Refused,
        Redirected,
        /// The job may have run in part, or may have been accepted.
        InDoubt,
        /// This process does not own the shard; the job has not run here.
        NotOwner,
        /// The durable job has been stored.
        Accepted,
        /// The state of a durable job.
        Known,
        /// No durable job has this id.
        UnknownJob,
        /// The owner cannot tell at present which durable jobs are stored. It has not acted on the request.
        Unavailable,
    };
    Kind kind { Kind::InDoubt };
    Duration retryAfter {};
    Shards::ShardName redirect {};
    Shards::JobState state { Shards::JobState::Queued };
    /// With Refused: the store cannot hold the job, so that it would be refused again.
    bool notStorable { false };
};

using OwnerAnswerCallback = std::function<void(const OwnerAnswer&)>;

} // namespace Balsammill
