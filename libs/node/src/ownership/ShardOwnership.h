#pragma once

#include "NodeContext.h"
#include "ShardDirectory.h"
#include "TableFollower.h"
#include "UpstreamRegistry.h"
#include "peers/PeerNetwork.h"
#include "serving/ShardServer.h"

#include <map>
#include <memory>

namespace Balsammill {

/// What the VM of an entry with these settings can carry.
Shards::EntryCapacity capacityOf(const NodeSettings&);

/// Claims shards that have no owner, renews or releases the owned shards, and assigns upstreams to their servers.
/// Shards of other failure domains are claimed only if no entry of their domain does so for a long time, and are handed
/// back to the first one that returns.
class ShardOwnership {
public:
    struct Handlers {
        /// Answers a submission that an earlier owner accepted.
        std::function<void(const Submitter&, const OwnerAnswer&)> answer;
        /// Called when a submission was handed over to another owner, which will answer it.
        std::function<void(const Submitter&, const Shards::ShardName&, const ShardLocation& owner)> moved;
        /// True if this process still holds the request of its own submission with this number.
        std::function<bool(std::uint64_t number)> holdsRequest;
    };

    ShardOwnership(
        NodeContext&, Platform::Store&, PeerNetwork&, ShardDirectory&, const TableFollower& records, Handlers);
    ~ShardOwnership();

    /// Null if this process does not own the shard.
    ShardServer* serverOf(const Shards::ShardName&);
    const std::map<Shards::ShardName, std::unique_ptr<ShardServer>>& servers() const { return servers_; }
    /// The shard's record in the directory has changed.
    void handleRecordChange(const Shards::ShardName&);
    void handlePeerClosed(const PeerLink&);
    void advance(TimePoint now);
    /// Cancels a submission on the local server that holds it, if any.
    void cancel(const Submitter&);
    /// An entry has confirmed on this connection that it waits for the answer to a submission. If the submission is not
    /// handed over in time, it is answered as in doubt.
    void confirm(const PeerLink& from, const Shards::ShardName&, std::uint64_t number, const OwnerAnswerCallback&);
    /// As confirm(), for a submission of this process.
    void confirmLocal(const Shards::ShardName&, std::uint64_t number);
    /// Stops claiming shards, and hands the owned ones over to other entries of the failure domain. Shards that no
    /// entry takes over are served until releaseAt and then released.
    void leave(TimePoint releaseAt);
    bool ownsNothing() const { return servers_.empty() && outgoingHandOvers_.empty(); }
    void handleTakeOver(const PeerLink& from, const Shards::ShardName&, Epoch);
    /// An entry reports that it has taken a shard over from this process.
    void handleTaken(const PeerLink& from, const Shards::ShardName&, Epoch, const NetworkAddress&);
    /// A predecessor has sent the state of a shard.
    void handleHandOver(const PeerLink& from, const HandOver&);

private:
    struct RecordState {
        bool writeInFlight { false };
        /// Epoch and renewal of the latest write, and when the first write with these was sent. A write without an
        /// answer is repeated, and a record does not show which of the attempts wrote it.
        Epoch sentEpoch {};
        std::uint64_t sentRenewal { 0 };
        TimePoint firstSentAt {};
        TimePoint renewAt {};
        TimePoint retryAt {};
        TimePoint nextRequestAt {};
        unsigned requestCount { 0 };
        /// The entry that was last asked to take the shard over, and the epoch of this owner at that time.
        VmName offeredTo {};
        Epoch offeredEpoch {};
        /// Epoch of the last ownership that this process handed over. An older view of the record may still name it.
        Epoch handedOverEpoch {};
        /// The next write of the record has to mark the shard as having durable jobs.
        bool recordDurableJobs { false };
    };

    void decideLayout(TimePoint now);
    void claimIfDue(const Shards::ShardName&, TimePoint now);
    void claim(const Shards::ShardName&, const PeerId& handedOverBy, TimePoint now);
    bool hasOtherOwner(const ShardOwner* excluded) const;
    /// Asks an entry to take the shard over; one of the shard's own failure domain if any is connected. Without one, a
    /// leaving process asks entries of its own domain.
    void requestTakeOver(const Shards::ShardName&, TimePoint now);
    /// Offers the shard to another entry if this process leaves, if an entry of the shard's own failure domain may have
    /// returned, or if another VM would carry the shard better.
    void offerIfDue(const Shards::ShardName&, const ShardServer&, TimePoint now);
    void offer(const Shards::ShardName&, const VmName& to, std::string_view reason, TimePoint nextRequestAt);
    unsigned shardsOwnedBy(const VmName&, TimePoint now) const;
    /// The connected entries of a failure domain that are not shutting down, the most suitable owner first.
    std::vector<Shards::OwnerCandidate> candidatesIn(const FailureDomain&, TimePoint now) const;
    /// True if the shard belongs to another failure domain than this entry.
    bool isRemote(const Shards::ShardName&) const;
    void notifyTaken(const Shards::ShardName&, const ShardOwner&);
    void handOver(const Shards::ShardName&, const ShardOwner& successor);
    void expireEarlyConfirmations(TimePoint now);
    bool sendHandOver(const HandOver&, const ShardOwner& successor);
    void followUpstreams();
    void renew(const Shards::ShardName&, TimePoint now, bool release);
    /// confirmedAt: when the write was sent that made this process the owner.
    void startServer(const Shards::ShardName&, const ShardOwner&, TimePoint confirmedAt);
    void noteSent(const Shards::ShardName&, const ShardOwner&, TimePoint now);
    /// When a write that may have put this record into the store was sent at the earliest; an unset time if it was not
    /// the latest one.
    TimePoint earliestWriteOf(const Shards::ShardName&, const ShardOwner&);
    std::vector<Shards::OtherShard> otherShards(const Shards::ShardName& excluded) const;
    /// Marks the shard's record as having durable jobs with the next write of the record.
    void recordDurableJobs(const Shards::ShardName&);
    void dropShard(const Shards::ShardName&, std::string_view reason);
    /// When a record is written again after a write that failed.
    TimePoint retryTimeAfter(const Platform::RowsResult&, const Shards::ShardName&);
    void adoptRows(const Platform::RowsResult&);
    bool isOwnRecord(const ShardOwner&) const;
    Shards::ShardName shardOf(const Shards::UpstreamInfo&) const;
    void assignUpstream(const Shards::UpstreamInfo&);
    void removeUpstream(const Shards::UpstreamId&);

    NodeContext& context_;
    Platform::Store& store_;
    PeerNetwork& peers_;
    ShardDirectory& directory_;
    const TableFollower& records_;
    UpstreamRegistry registry_;
    std::map<Shards::ShardName, std::unique_ptr<ShardServer>> servers_;
    // Shards that were handed over and whose next owner cannot be reached yet.
    struct OutgoingHandOver {
        HandOver content;
        ShardOwner successor;
        TimePoint expiresAt {};
    };
    std::vector<OutgoingHandOver> outgoingHandOvers_;
    // Handover data received before the store answered this entry's claim.
    struct EarlyHandOver {
        PeerId from;
        HandOver content;
    };
    std::map<Shards::ShardName, EarlyHandOver> earlyHandOvers_;
    // Confirmed submissions that have not been handed over yet, and when they are answered as in doubt.
    struct EarlyConfirmation {
        Shards::ShardName shard {};
        TimePoint expiresAt {};
    };
    std::map<Submitter, EarlyConfirmation> earlyConfirmations_;
    std::map<Shards::ShardName, RecordState> recordStates_;
    Handlers handlers_;
    TimePoint releaseAt_ {};
    TimePoint startedAt_ {};
    // When a shard was last offered although this process does not leave.
    TimePoint lastMoveOfferAt_ {};
    bool layoutWriteInFlight_ { false };
    bool leaving_ { false };
    std::shared_ptr<bool> alive_;
};

} // namespace Balsammill
