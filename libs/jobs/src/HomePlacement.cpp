#include "balsammill/jobs/HomePlacement.h"

#include <string>
#include <utility>

namespace Balsammill {

namespace {

// Finalizer of MurmurHash3. FNV-1a alone distributes short, similar ids poorly over the high bits.
std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 33;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33;
    value *= 0xc4ceb9fe1a85ec53ULL;
    value ^= value >> 33;
    return value;
}

} // namespace

std::uint64_t stableHash(std::string_view text)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char character : text) {
        hash ^= static_cast<unsigned char>(character);
        hash *= 0x100000001b3ULL;
    }
    return mix(hash);
}

std::uint64_t rendezvousScore(std::string_view key, std::string_view candidate)
{
    std::string text(key);
    text.push_back('\0');
    text.append(candidate);
    return stableHash(text);
}

ShardIndex shardOf(const JobId& id, std::uint32_t shards)
{
    return ShardIndex { static_cast<std::uint32_t>(stableHash(id.value) % shards) };
}

HomePlacement::HomePlacement(std::vector<FailureDomain> domains)
    : domains_(std::move(domains))
{
}

FailureDomain HomePlacement::homeOf(const JobId& id) const
{
    std::pair<std::uint64_t, std::string_view> best;
    for (const auto& domain : domains_)
        best = std::max(best, { rendezvousScore(id.value, domain.value), domain.value });
    return FailureDomain { std::string(best.second) };
}

} // namespace Balsammill
