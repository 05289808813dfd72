#pragma once

#include "peers/PeerLink.h"

#include "balsammill/shards/Admission.h"
#include "balsammill/shards/JobTransfer.h"

#include <vector>

namespace balsammill::internal {
class HandOverShard;
}

namespace Balsammill {

/// Origin of a submission: the entry that receives the answer, and that entry's number for the submission.
struct Submitter {
    PeerId peer {};
    std::uint64_t number { 0 };

    auto operator<=>(const Submitter&) const = default;
};

/// State of a shard that its owner transfers to the next owner.
struct HandOver {
    struct Job {
        Shards::TransferredJob job;
        /// The submission to answer; empty for a durable job.
        Submitter origin {};
    };
    Shards::ShardName shard;
    /// Epoch of the owner that hands the shard over.
    Epoch epoch;
    std::vector<Job> jobs {};
    Shards::RunTimeModel::Learned learned {};
    /// Upstreams whose runs are all known to the predecessor, with no start or stop still unanswered.
    std::vector<Shards::UpstreamId> settledUpstreams {};
    /// Time by which all unreported runs of owners before the predecessor have ended.
    TimePoint unreportedRunsExpireAt {};
};

/// Times are sent as durations relative to now, because the processes' steady clocks are unrelated.
void encodeHandOver(const HandOver&, TimePoint now, balsammill::internal::HandOverShard&);
HandOver decodeHandOver(const balsammill::internal::HandOverShard&, TimePoint now);

} // namespace Balsammill
