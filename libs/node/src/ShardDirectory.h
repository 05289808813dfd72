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
    Platform::RowVersion version;
    Epoch epoch;
    VmName vm;
    Incarnation incarnation;
    NetworkAddress address;
    std::uint64_t renewal { 0 };
    bool released { false };
    /// The entry that hands the shard over to this owner; empty if the former owner is gone.
    VmName handedOverBy {};
    Incarnation handedOverByIncarnation {};
    TimePoint changedAt {};
};

/// The load that an owner last reported for its shard.
struct ShardStatus {
    std::int64_t freeMilliCores { 0 };
    std::uint32_t waitingJobs { 0 };
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
    void noteStatus(const Shards::ShardName&, Epoch, const ShardStatus&);

    const ShardOwner* find(const Shards::ShardName&) const;
    const ShardStatus* statusOf(const Shards::ShardName&) const;
    const std::map<Shards::ShardName, ShardOwner>& owners() const { return owners_; }
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
