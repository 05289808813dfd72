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

/// Claims shards of this entry's failure domain that have no owner, renews and gives up those that it owns, and keeps
/// their servers supplied with upstreams.
class ShardOwnership {
public:
    struct Handlers {
        /// Answers a submission that another owner had accepted.
        std::function<void(const Submitter&, const OwnerAnswer&)> answer;
        /// A submission is answered by another owner from now on.
        std::function<void(const Submitter&, const Shards::ShardName&, const NetworkAddress& owner)> moved;
    };

    ShardOwnership(
        NodeContext&, Platform::Store&, PeerNetwork&, ShardDirectory&, const TableFollower& records, Handlers);
    ~ShardOwnership();

    /// Null if this process does not own the shard.
    ShardServer* serverOf(const Shards::ShardName&);
    const std::map<Shards::ShardName, std::unique_ptr<ShardServer>>& servers() const { return servers_; }
    /// The directory has changed.
    void handleRecordChange(const Shards::ShardName&);
    void handlePeerClosed(const PeerLink&);
    void advance(TimePoint now);
    /// Cancels a submission at whatever server has it.
    void cancel(const Submitter&);
    /// Claims no more shards, and hands those that are owned to other entries of the failure domain. Without another
    /// entry they are served until the deadline and then released.
    void leave(TimePoint releaseAt);
    bool ownsNothing() const { return servers_.empty() && outgoing_.empty(); }
    void handleTakeOver(const PeerLink& from, const Shards::ShardName&, Epoch);
    /// The entry that was asked to take a shard over has done so.
    void handleTaken(const PeerLink& from, const Shards::ShardName&, Epoch, const NetworkAddress&);
    /// A predecessor has sent what it knew of a shard.
    void handleHandOver(const PeerLink& from, const HandOver&);

private:
    struct Pending {
        bool writing { false };
        TimePoint renewAt {};
        TimePoint retryAt {};
        TimePoint askAgainAt {};
        unsigned asked { 0 };
        /// The record has to say that the shard keeps durable jobs.
        bool declareJobs { false };
    };

    void decideLayout(TimePoint now);
    void considerClaim(const Shards::ShardName&, TimePoint now);
    void claim(const Shards::ShardName&, const PeerId& handedOverBy, TimePoint now);
    bool knowsThirdOwner(const ShardOwner* besides) const;
    void offer(const Shards::ShardName&, TimePoint now);
    void tellTaken(const Shards::ShardName&, const ShardOwner&);
    void handOver(const Shards::ShardName&, const ShardOwner& successor);
    bool deliver(const HandOver&, const ShardOwner& successor);
    void followUpstreams();
    void renew(const Shards::ShardName&, TimePoint now, bool release);
    void startServer(const Shards::ShardName&, const ShardOwner&);
    std::vector<Shards::OtherShard> otherShards(const Shards::ShardName& besides) const;
    /// Lets the next write of the record say that the shard keeps durable jobs.
    void declareJobs(const Shards::ShardName&);
    void lose(const Shards::ShardName&, std::string_view reason);
    void adoptRows(const Platform::RowsResult&);
    bool isMine(const ShardOwner&) const;
    Shards::ShardName shardOf(const Shards::UpstreamInfo&) const;
    void offerUpstream(const Shards::UpstreamInfo&);
    void removeUpstream(const Shards::UpstreamId&);

    NodeContext& context_;
    Platform::Store& store_;
    PeerNetwork& peers_;
    ShardDirectory& directory_;
    const TableFollower& records_;
    UpstreamRegistry registry_;
    std::map<Shards::ShardName, std::unique_ptr<ShardServer>> servers_;
    // Shards that were handed over and whose next owner cannot be reached yet.
    struct Outgoing {
        HandOver content;
        ShardOwner successor;
        TimePoint giveUpAt {};
    };
    std::vector<Outgoing> outgoing_;
    // Content that has come before the store has answered this entry's claim.
    struct Early {
        PeerId from;
        HandOver content;
    };
    std::map<Shards::ShardName, Early> early_;
    std::map<Shards::ShardName, Pending> pending_;
    Handlers handlers_;
    TimePoint releaseAt_ {};
    TimePoint startedAt_ {};
    bool layoutWriting_ { false };
    bool leaving_ { false };
    std::shared_ptr<bool> alive_;
};

} // namespace Balsammill
