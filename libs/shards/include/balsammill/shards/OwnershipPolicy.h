#pragma once

#include "balsammill/base/StrongId.h"
#include "balsammill/base/Units.h"
#include "balsammill/shards/OwnerSelection.h"

#include <chrono>
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

/// How long an owner may act on durable jobs after it sent the last write of its record that succeeded. By then the
/// runs and leases of these jobs have ended on all upstreams of the shard, so that an owner in another failure domain
/// may start the tasks again although it cannot reach the upstreams and their fencing tokens.
inline constexpr Duration ownershipValidity = std::chrono::milliseconds(9'000);
/// How long the record of an owner has to be unchanged before an entry of another failure domain claims the shard.
inline constexpr Duration remoteClaimDelay = std::chrono::milliseconds(10'000);
/// Largest deviation of a steady clock from real time.
inline constexpr double maxClockDrift = 0.02;

static_assert(static_cast<double>(ownershipValidity.count()) * (1 + 2 * maxClockDrift)
        < static_cast<double>(remoteClaimDelay.count()),
    "a former owner stops acting on durable jobs before an entry of another failure domain claims its shard, also if "
    "their clocks drift apart");

/// An entry's view of a shard.
struct ShardView {
    /// False if the store has no ownership record of the shard yet.
    bool recorded { false };
    bool released { false };
    bool ownedHere { false };
    /// The record names an earlier incarnation of this process as the owner.
    bool ownedByEarlierIncarnation { false };
    /// The record names an owner outside the shard's failure domain.
    bool ownerIsRemote { false };
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
    EntryCapacity capacity {};
    /// This entry is outside the shard's failure domain.
    bool claimantIsRemote { false };
    TimePoint now {};
};

/// Returns the time from which this entry should claim the shard; empty if the shard has an owner that may be alive.
/// Entries that own few shards and have much processor time get an earlier time; entries of other failure domains wait
/// for those of the shard's own. The claim itself is a conditional write, so that one claimant wins. Where owner and
/// claimant are in different domains, safety also depends on the time: see ownershipValidity.
std::optional<TimePoint> claimTime(const ClaimRequest&);

} // namespace Balsammill::Shards
