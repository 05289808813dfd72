#pragma once

#include "NodeContext.h"
#include "PeerNetwork.h"
#include "ShardDirectory.h"
#include "ShardServer.h"
#include "TableFollower.h"

#include <map>
#include <memory>

namespace Balsammill {

/// Claims shards of this entry's failure domain that have no owner, renews and gives up those that it owns, and keeps
/// their servers supplied with upstreams.
class ShardOwnership {
public:
    ShardOwnership(NodeContext&, Platform::Store&, PeerNetwork&, ShardDirectory&, const TableFollower& records);
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
    bool ownsNothing() const { return servers_.empty() && retiring_.empty(); }
    void handleTakeOver(const PeerLink& from, const Shards::ShardName&, Epoch);
    /// A predecessor has said on which upstreams its tasks still run.
    void handleRetiring(const PeerId&, const Shards::ShardName&, const std::set<Shards::UpstreamId>& held,
        const std::set<Shards::UpstreamId>& left);
    /// Shards that this entry has handed over and on whose upstreams its tasks still run.
    const std::map<Shards::ShardName, std::unique_ptr<ShardServer>>& retiring() const { return retiring_; }

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
    void handOver(const Shards::ShardName&, TimePoint now);
    void retire(const Shards::ShardName&);
    void followUpstreams();
    void renew(const Shards::ShardName&, TimePoint now, bool release);
    void startServer(const Shards::ShardName&, const ShardOwner&);
    std::vector<Shards::OtherShard> otherShards(const Shards::ShardName& besides) const;
    /// Lets the next write of the record say that the shard keeps durable jobs.
    void declareJobs(const Shards::ShardName&);
    void lose(const Shards::ShardName&, std::string_view reason);
    void adoptRows(const Platform::RowsResult&);
    bool isMine(const ShardOwner&) const;
    void handleUpstreamRow(const Platform::Row&);
    void handleUpstreamRemoved(const std::string& key);
    Shards::ShardName shardOf(const Shards::UpstreamInfo&) const;
    void offerUpstream(const Shards::UpstreamInfo&);

    NodeContext& context_;
    Platform::Store& store_;
    PeerNetwork& peers_;
    ShardDirectory& directory_;
    const TableFollower& records_;
    std::unique_ptr<TableFollower> upstreamRows_;
    std::map<Shards::UpstreamId, Shards::UpstreamInfo> upstreams_;
    // Registrations that vanished while the store was disturbed, with the time at which they count as gone.
    std::map<Shards::UpstreamId, TimePoint> vanished_;
    std::map<Shards::ShardName, std::unique_ptr<ShardServer>> servers_;
    std::map<Shards::ShardName, std::unique_ptr<ShardServer>> retiring_;
    std::map<Shards::ShardName, Pending> pending_;
    TimePoint releaseAt_ {};
    TimePoint startedAt_ {};
    bool layoutWriting_ { false };
    bool leaving_ { false };
    std::shared_ptr<bool> alive_;
};

} // namespace Balsammill
