#include "balsammill/shards/ShardSelection.h"

#include <algorithm>
#include <tuple>

namespace Balsammill::Shards {

std::optional<std::size_t> chooseByFreeCapacity(const std::vector<ShardCandidate>& candidates, std::uint64_t random)
{
    // A shard without free capacity keeps a small weight, because jobs have to go somewhere when all are full.
    const auto weightOf = [](const ShardCandidate& each) {
        return each.evacuated ? std::uint64_t { 0 }
                              : static_cast<std::uint64_t>(std::max<std::int64_t>(each.freeMilliCores, 0)) + 1;
    };
    std::uint64_t total = 0;
    for (const auto& each : candidates)
        total += weightOf(each);
    if (total == 0)
        return std::nullopt;
    auto rest = random % total;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto weight = weightOf(candidates[i]);
        if (rest < weight)
            return i;
        rest -= weight;
    }
    return std::nullopt;
}

std::optional<std::size_t> chooseShard(
    const std::vector<ShardCandidate>& candidates, bool homeEvacuated, std::uint64_t random)
{
    if (candidates.empty())
        return std::nullopt;
    if (homeEvacuated) {
        if (const auto chosen = chooseByFreeCapacity(candidates, random))
            return chosen;
    }
    const auto best
        = std::max_element(candidates.begin(), candidates.end(), [](const ShardCandidate& a, const ShardCandidate& b) {
              return std::tuple(!a.evacuated, a.home, a.freeMilliCores)
                  < std::tuple(!b.evacuated, b.home, b.freeMilliCores);
          });
    return static_cast<std::size_t>(best - candidates.begin());
}

} // namespace Balsammill::Shards
