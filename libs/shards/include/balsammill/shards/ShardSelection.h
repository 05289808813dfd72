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

/// Chooses a shard in proportion to free capacity, as an index; empty if all are evacuated or there is none. random is
/// a uniformly distributed number, such as a hash of the job's id. Many entries choose from the same reports, so that a
/// single best shard would be flooded until the next report.
std::optional<std::size_t> chooseByFreeCapacity(const std::vector<ShardCandidate>&, std::uint64_t random);

/// Chooses the shard that a new job is sent to, as an index; empty if there is no candidate. Jobs go to the home shard
/// with the most free capacity, or are spread by free capacity if the home domain is evacuated.
std::optional<std::size_t> chooseShard(const std::vector<ShardCandidate>&, bool homeEvacuated, std::uint64_t random);

} // namespace Balsammill::Shards
