#pragma once

#include "balsammill/shards/Admission.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Balsammill::Shards {

/// A shard whose owner can be reached, as a target for a new job.
struct ShardCandidate {
    ShardName name;
    /// The shard belongs to the failure domain of the entry that chooses.
    bool home { false };
    /// The shard's failure domain is evacuated, so that its owner starts no tasks.
    bool evacuated { false };
    std::int64_t freeMilliCores { 0 };
};

/// Chooses the shard that a new job is sent to, as an index; empty if there is no candidate. Jobs go to the home shard
/// with the most free capacity. If the home domain is evacuated, they are spread over the shards of the other domains
/// in proportion to their free capacity: all entries of the domain choose from the same reports, so that a single best
/// shard would be flooded until the next report. random is a uniformly distributed number, such as a hash of the job's
/// id.
std::optional<std::size_t> chooseShard(const std::vector<ShardCandidate>&, std::uint64_t random);

} // namespace Balsammill::Shards
