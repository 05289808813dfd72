#pragma once

#include "balsammill/base/StrongId.h"
#include "balsammill/base/Units.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace Balsammill {

/// 64-bit FNV-1a with a final mix. All processes have to agree on it, so it never changes with the library or platform.
std::uint64_t stableHash(std::string_view);

/// Rank of a candidate for a subject in rendezvous hashing; the highest score wins.
std::uint64_t rendezvousScore(std::string_view subject, std::string_view candidate);

/// Shard of a job id in its home failure domain. The number of shards must not be 0.
ShardIndex shardOf(const JobId&, std::uint32_t shards);

/// Derives the home failure domain of jobs that name none.
class HomePlacement {
public:
    /// The order of the domains does not matter.
    explicit HomePlacement(std::vector<FailureDomain>);

    /// Empty if no domain is configured.
    FailureDomain homeOf(const JobId&) const;

private:
    std::vector<FailureDomain> domains_;
};

} // namespace Balsammill
