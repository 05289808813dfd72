#include "balsammill/shards/OwnerSelection.h"

#include <algorithm>

namespace Balsammill::Shards {

namespace {

// What the owner of a shard of two dozen upstreams needs.
constexpr EntryCapacity neededByShard { .processorMilliCores = 250, .linkKbitPerSecond = 50'000, .memoryMb = 128 };
// A larger VM carries more than one shard, but no single shard better than this.
constexpr double maxResourceFitness = 4.0;

// Delay of a claim by an entry with almost nothing of what a shard needs; several times what a claim takes, and short
// enough for a domain whose VMs are all small.
constexpr Duration maxClaimDelay = std::chrono::milliseconds(120);

// Time for which a new owner keeps a shard, so that the state of a handover has settled before the next one.
constexpr Duration minOwnership = std::chrono::seconds(10);
constexpr Duration minOwnershipIfOverloaded = std::chrono::seconds(2);
constexpr Duration offerInterval = std::chrono::seconds(5);
// A handover costs some tens of milliseconds of new starts, so the gain has to be large.
constexpr double requiredGain = 2.0;
constexpr double requiredGainIfOverloaded = 1.0;

double resourceFitness(std::uint64_t available, std::uint64_t needed)
{
    if (available == 0)
        return 1.0;
    return std::min(static_cast<double>(available) / static_cast<double>(needed), maxResourceFitness);
}

double fitnessOf(const EntryCapacity& capacity)
{
    return std::min({ resourceFitness(capacity.processorMilliCores, neededByShard.processorMilliCores),
        resourceFitness(capacity.linkKbitPerSecond, neededByShard.linkKbitPerSecond),
        resourceFitness(capacity.memoryMb, neededByShard.memoryMb) });
}

// Entries of the same fitness need the same order everywhere.
bool isFitter(const OwnerCandidate& a, const OwnerCandidate& b)
{
    const auto fitnessA = fitnessFor(a);
    const auto fitnessB = fitnessFor(b);
    return fitnessA != fitnessB ? fitnessA > fitnessB : a.vm < b.vm;
}

} // namespace

double fitnessFor(const OwnerCandidate& candidate)
{
    return fitnessOf(candidate.capacity) / (candidate.ownedShards + 1);
}

std::vector<OwnerCandidate> bySuitability(std::vector<OwnerCandidate> candidates)
{
    std::sort(candidates.begin(), candidates.end(), isFitter);
    return candidates;
}

Duration claimDelayFor(const EntryCapacity& capacity)
{
    const double missing = 1.0 - std::min(fitnessOf(capacity), 1.0);
    return Duration(static_cast<Duration::rep>(missing * static_cast<double>(maxClaimDelay.count())));
}

std::optional<MoveOffer> chooseMove(const MoveRequest& request)
{
    const auto kept = request.overloaded ? minOwnershipIfOverloaded : minOwnership;
    auto others = request.others;
    if (request.overloaded)
        std::erase_if(others, [&](const OwnerCandidate& each) { return each.vm == request.formerOwner; });
    if (others.empty() || request.now < request.ownedSince + kept || request.now < request.lastOfferAt + offerInterval)
        return std::nullopt;
    const auto best = bySuitability(std::move(others)).front();
    // The owner's fitness for the shard that it has, among the shards that it has.
    auto owner = request.owner;
    owner.ownedShards = std::max(owner.ownedShards, 1U) - 1;
    // Moving shards among equal VMs would only interrupt them.
    const bool larger = fitnessOf(best.capacity) > fitnessOf(owner.capacity);
    if (!larger && !request.overloaded)
        return std::nullopt;
    const auto gain = fitnessFor(best) / fitnessFor(owner);
    if (gain < (request.overloaded ? requiredGainIfOverloaded : requiredGain))
        return std::nullopt;
    return MoveOffer { .to = best.vm, .reason = request.overloaded ? OfferReason::Overloaded : OfferReason::LargerVm };
}

} // namespace Balsammill::Shards
