#include "balsammill/shards/OwnershipPolicy.h"

#include <algorithm>

namespace Balsammill::Shards {

namespace {

// Owners renew their record every second; an owner that misses two renewals is considered dead.
constexpr Duration recordExpiry = std::chrono::milliseconds(2500);
// Maximum age of this entry's view of the store for an unchanged record to count as expired.
constexpr Duration maxStoreViewAge = std::chrono::milliseconds(1500);
// Delay of a claim for each shard that the entry owns already.
constexpr Duration delayPerOwnedShard = std::chrono::milliseconds(60);
// Delay of a claim by an entry with almost no processor share; an entry with a whole core has none.
constexpr Duration maxWeaknessDelay = std::chrono::milliseconds(40);

Duration claimDelay(const ClaimRequest& question)
{
    const double weakness = 1.0 - std::clamp(question.processorShare, 0.0, 1.0);
    return claimDelayFor(question.capacity) + delayPerOwnedShard * question.ownedShards
        + Duration(static_cast<Duration::rep>(weakness * static_cast<double>(maxWeaknessDelay.count())));
}

} // namespace

std::optional<TimePoint> claimTime(const ClaimRequest& question)
{
    const auto& shard = question.shard;
    if (shard.ownedHere)
        return std::nullopt;
    if (shard.ownedByEarlierIncarnation)
        return question.now;
    if (!shard.recorded || shard.released)
        return shard.changedAt + (question.claimantIsRemote ? remoteClaimDelay : Duration::zero())
            + claimDelay(question);
    switch (shard.owner) {
    case PeerState::Connected:
        return std::nullopt;
    case PeerState::Refused:
        // An entry whose own network has failed may be refused by all others; it must not take over shards from healthy
        // owners.
        if (question.connectedToOthers && !question.claimantIsRemote)
            return question.now + claimDelay(question);
        break;
    case PeerState::Unresponsive:
        break;
    }
    if (question.now - question.storeCurrentAt > maxStoreViewAge)
        return std::nullopt;
    const bool sameDomain = !question.claimantIsRemote && !shard.ownerIsRemote;
    return shard.changedAt + (sameDomain ? recordExpiry : remoteClaimDelay) + claimDelay(question);
}

} // namespace Balsammill::Shards
