#pragma once

#include "balsammill/base/StrongId.h"
#include "balsammill/base/Units.h"

#include <optional>

namespace Balsammill::Shards {

/// How the connection to another entry stands.
enum class PeerState {
    /// Messages arrive.
    Connected,
    /// The VM answers that nothing listens there, so the process is gone.
    Refused,
    /// Nothing is heard; the process, its VM or the network may be gone.
    Silent,
};

/// What an entry knows of a shard of its failure domain.
struct ShardView {
    /// False if the shard has no record yet.
    bool recorded { false };
    bool released { false };
    bool ownedHere { false };
    /// The record names an earlier incarnation of this process.
    bool ownedByPredecessor { false };
    PeerState owner { PeerState::Silent };
    /// When the record was last seen to change.
    TimePoint changedAt {};
};

struct OwnershipQuestion {
    ShardView shard;
    /// When the store last confirmed that the view of the records is current.
    TimePoint storeCurrentAt {};
    /// This entry is connected to at least one other entry, or knows of none besides the owner.
    bool connectedToOthers { false };
    /// Shards that this entry owns already.
    unsigned ownedShards { 0 };
    double processorShare { 1.0 };
    TimePoint now {};
};

/// From when on this entry should claim the shard, so that a strong entry that owns little comes first; empty if the
/// shard has an owner that may be alive. The claim itself is a conditional write, so a wrong guess costs no safety.
std::optional<TimePoint> claimTime(const OwnershipQuestion&);

} // namespace Balsammill::Shards
