#pragma once

#include "balsammill/shards/Admission.h"
#include "balsammill/shards/JobState.h"

#include <functional>

namespace Balsammill {

/// What the owner of a shard answers to a submission or a query.
struct OwnerAnswer {
    enum class Kind {
        Completed,
        Failed,
        Refused,
        Redirected,
        /// The job may have run in part.
        InDoubt,
        /// This process does not own the shard; the job has not run here.
        NotOwner,
        /// A durable job is in the store.
        Accepted,
        /// The state of a durable job.
        Known,
        /// There is no durable job of that id.
        UnknownJob,
    };
    Kind kind { Kind::InDoubt };
    Duration retryAfter {};
    Shards::ShardName redirect {};
    Shards::JobState state { Shards::JobState::Queued };
};

using OwnerAnswerCallback = std::function<void(const OwnerAnswer&)>;

} // namespace Balsammill
