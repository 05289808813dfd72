#include "balsammill/shards/OwnershipPolicy.h"

#include <algorithm>

namespace Balsammill::Shards {

namespace {

// Owners renew their record each second; an owner that misses two renewals is taken for gone.
constexpr Duration recordExpiry = std::chrono::milliseconds(2500);
// How recently the store must have confirmed the view before an unchanged record counts as expired.
constexpr Duration storeViewFresh = std::chrono::milliseconds(1500);
// Head start of an entry over one that owns one shard more.
constexpr Duration delayPerOwnedShard = std::chrono::milliseconds(60);
// Head start of an entry with a whole core over one with almost none.
constexpr Duration delayOfWeakest = std::chrono::milliseconds(40);

Duration headStart(const OwnershipQuestion& question)
{
    const double weakness = 1.0 - std::clamp(question.processorShare, 0.0, 1.0);
    return delayPerOwnedShard * question.ownedShards
        + Duration(static_cast<Duration::rep>(weakness * static_cast<double>(delayOfWeakest.count())));
}

} // namespace

std::optional<TimePoint> claimTime(const OwnershipQuestion& question)
{
    const auto& shard = question.shard;
    if (shard.ownedHere)
        return std::nullopt;
    if (shard.ownedByPredecessor)
        return question.now;
    if (!shard.recorded || shard.released)
        return shard.changedAt + headStart(question);
    switch (shard.owner) {
    case PeerState::Connected:
        return std::nullopt;
    case PeerState::Refused:
        // An entry whose own network is cut sees refusals everywhere; it must not take shards from sound owners.
        if (question.connectedToOthers)
            return question.now + headStart(question);
        break;
    case PeerState::Silent:
        break;
    }
    if (question.now - question.storeCurrentAt > storeViewFresh)
        return std::nullopt;
    return shard.changedAt + recordExpiry + headStart(question);
}

} // namespace Balsammill::Shards
