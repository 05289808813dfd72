#pragma once

#include "balsammill/base/StrongId.h"
#include "balsammill/base/Units.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace Balsammill {

/// 64-bit FNV-1a with a finalizer. The result is the same on every platform and in every release, because all processes
/// have to place a job alike.
std::uint64_t stableHash(std::string_view);

/// Score of a candidate for a key in rendezvous hashing; the highest score wins.
std::uint64_t rendezvousScore(std::string_view key, std::string_view candidate);

/// Shard of a job id within its home failure domain. The number of shards must not be 0.
ShardIndex shardOf(const JobId&, std::uint32_t shards);

/// Selects the home failure domain of jobs whose request does not specify one.
class HomePlacement {
public:
    /// The order of the domains does not matter.
    explicit HomePlacement(std::vector<FailureDomain>);

    /// Returns an empty name if no domain is configured.
    FailureDomain homeOf(const JobId&) const;

private:
    std::vector<FailureDomain> domains_;
};

} // namespace Balsammill
