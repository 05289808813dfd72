#pragma once

#include "balsammill/base/StrongId.h"
#include "balsammill/base/Units.h"

#include <optional>

namespace Balsammill::Shards {

/// State of the connection to another entry process.
enum class PeerState {
    /// Messages are being received.
    Connected,
    /// The VM refuses the connection because nothing listens on the port, so the process has ended.
    Refused,
    /// No messages are received: the process, its VM or the network may have failed.
    Unresponsive,
};

/// An entry's view of a shard of its failure domain.
struct ShardView {
    /// False if the store has no ownership record of the shard yet.
    bool recorded { false };
    bool released { false };
    bool ownedHere { false };
    /// The record names an earlier incarnation of this process as the owner.
    bool ownedByEarlierIncarnation { false };
    PeerState owner { PeerState::Unresponsive };
    /// When this entry last saw the record change.
    TimePoint changedAt {};
};

struct ClaimRequest {
    ShardView shard;
    /// When the store last confirmed that this entry's view of the records is current.
    TimePoint storeCurrentAt {};
    /// This entry is connected to at least one other entry, or there is none besides the owner.
    bool connectedToOthers { false };
    /// Number of shards that this entry owns already.
    unsigned ownedShards { 0 };
    /// Share of a core that this entry can use, from 0 to 1.
    double processorShare { 1.0 };
    TimePoint now {};
};

/// Returns the time from which this entry should claim the shard; empty if the shard has an owner that may be alive.
/// Entries that own few shards and have much processor time get an earlier time. The claim itself is a conditional
/// write, so a wrong decision here does not endanger safety.
std::optional<TimePoint> claimTime(const ClaimRequest&);

} // namespace Balsammill::Shards
