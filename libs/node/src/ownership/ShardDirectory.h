#pragma once

#include "balsammill/base/StrongId.h"
#include "balsammill/shards/Admission.h"
#include "platform/Store.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Balsammill {

/// Ownership record of a shard, as last read from the store.
struct ShardOwner {
    Platform::RowVersion version {};
    Epoch epoch {};
    VmName vm {};
    Incarnation incarnation {};
    /// The owner's failure domain, which may be another one than the shard's.
    FailureDomain domain {};
    NetworkAddress address {};
    std::uint64_t renewal { 0 };
    bool released { false };
    /// The entry that hands the shard over to this owner; empty if the former owner is lost.
    VmName handedOverBy {};
    Incarnation handedOverByIncarnation {};
    /// The store has, or had, durable jobs of the shard.
    bool hasDurableJobs { false };
    TimePoint changedAt {};
};

/// An owner of a shard, and where other entries reach it.
struct ShardLocation {
    NetworkAddress address {};
    Epoch epoch {};
};

/// The load that an owner last reported for its shard.
struct ShardStatus {
    std::int64_t freeMilliCores { 0 };
    std::uint32_t waitingJobs { 0 };
    /// Durable jobs without a started task, by queue; empty if the owner has not read its journal yet.
    std::optional<std::map<Shards::QueueName, std::uint32_t>> waitingByQueue {};
    Epoch epoch {};
    TimePoint reportedAt {};
};

/// Known shards, with the owners recorded in the store and the load that the owners report.
class ShardDirectory {
public:
    /// Store table with the ownership records.
    static constexpr auto table = "shards";
    static constexpr auto layoutKey = "layout";

    /// Applies a row of the table. Returns false if the row is malformed.
    bool apply(const Platform::Row&, TimePoint now);
    void remove(const std::string& key);
    void updateStatus(const Shards::ShardName&, const ShardStatus&);

    const ShardOwner* find(const Shards::ShardName&) const;
    const ShardStatus* statusOf(const Shards::ShardName&) const;
    const std::map<Shards::ShardName, ShardOwner>& owners() const { return owners_; }
    /// Number of durable jobs of a queue without a started task, over all shards. Empty if the count of a shard with
    /// durable jobs is missing or stale.
    std::optional<std::uint32_t> waitingJobs(const Shards::QueueName&, TimePoint now) const;
    /// The shard that stores the durable job with this id. It is the same on every entry and never changes. Empty until
    /// the number of shards is known.
    std::optional<Shards::ShardName> homeShardOf(const JobId&, const std::vector<FailureDomain>& allDomains) const;
    /// Number of shards in each failure domain; empty until it is known.
    std::optional<unsigned> shardsPerDomain() const { return shardsPerDomain_; }

    static Shards::ShardName shardName(const FailureDomain&, unsigned index);
    static FailureDomain domainOf(const Shards::ShardName&);
    static Platform::Row encode(const Shards::ShardName&, const ShardOwner&);
    static Platform::Row encodeLayout(unsigned shardsPerDomain);

private:
    std::map<Shards::ShardName, ShardOwner> owners_;
    std::map<Shards::ShardName, ShardStatus> statuses_;
    std::optional<unsigned> shardsPerDomain_;
};

} // namespace Balsammill
