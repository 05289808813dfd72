#pragma once

#include "balsammill/base/StrongId.h"
#include "balsammill/shards/Admission.h"
#include "platform/Store.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Balsammill {

/// An entry's record of who owns a shard, as the store last showed it.
struct ShardOwner {
    Platform::RowVersion version {};
    Epoch epoch {};
    VmName vm {};
    Incarnation incarnation {};
    NetworkAddress address {};
    std::uint64_t renewal { 0 };
    bool released { false };
    /// The entry that hands the shard over to this owner; empty if the former owner is gone.
    VmName handedOverBy {};
    Incarnation handedOverByIncarnation {};
    /// Durable jobs of the shard are in the store.
    bool keepsJobs { false };
    TimePoint changedAt {};
};

/// The load that an owner last reported for its shard.
struct ShardStatus {
    std::int64_t freeMilliCores { 0 };
    std::uint32_t waitingJobs { 0 };
    /// Durable jobs of which no task has started; empty if the owner does not know them yet.
    std::optional<std::map<Shards::QueueName, std::uint32_t>> waitingByQueue {};
    Epoch epoch {};
    TimePoint reportedAt {};
};

/// All shards that this entry knows of: their owners by the store, their load by the owners.
class ShardDirectory {
public:
    /// Table of the store that holds the records.
    static constexpr auto table = "shards";
    static constexpr auto layoutKey = "layout";

    /// Adopts a row. Returns false if it cannot be decoded.
    bool apply(const Platform::Row&, TimePoint now);
    void remove(const std::string& key);
    void noteStatus(const Shards::ShardName&, const ShardStatus&);

    const ShardOwner* find(const Shards::ShardName&) const;
    const ShardStatus* statusOf(const Shards::ShardName&) const;
    const std::map<Shards::ShardName, ShardOwner>& owners() const { return owners_; }
    /// Sum over all shards of the durable jobs of a queue that wait for their first start. Empty if the owner of a
    /// shard with durable jobs has not told its count lately.
    std::optional<std::uint32_t> waitingJobs(const Shards::QueueName&, TimePoint now) const;
    /// The shard that keeps the durable job of that id: the same for every entry and at all times. Empty as long as the
    /// number of shards is not known.
    std::optional<Shards::ShardName> homeOf(const JobId&, const std::vector<FailureDomain>& allDomains) const;
    /// Number of shards in each failure domain; empty until it has been decided.
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
