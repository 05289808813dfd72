#pragma once

#include "balsammill/base/StrongId.h"
#include "balsammill/base/Units.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace Balsammill::Shards {

/// What an entry's VM can carry, as it states it; 0 is unknown.
struct EntryCapacity {
    std::uint64_t processorMilliCores { 0 };
    std::uint64_t linkKbitPerSecond { 0 };
    std::uint64_t memoryMb { 0 };
};

/// An entry that may own a shard.
struct OwnerCandidate {
    VmName vm {};
    EntryCapacity capacity {};
    /// Shards that it owns already.
    unsigned ownedShards { 0 };
};

/// How well an entry could carry one more shard: 1 if its VM has exactly what a shard needs, less if it has less of
/// anything or owns other shards. An unknown resource counts as what one shard needs.
double fitnessFor(const OwnerCandidate&);

/// The candidates in the order in which they should be asked to take a shard over: the fittest first.
std::vector<OwnerCandidate> bySuitability(std::vector<OwnerCandidate>);

/// Delay of a claim of a shard by an entry whose VM has less than a shard needs, so that a larger one of the failure
/// domain claims it first. Zero for other entries.
Duration claimDelayFor(const EntryCapacity&);

/// Why an owner offers its shard to another entry.
enum class OfferReason {
    /// The other entry could carry the shard much better.
    LargerVm,
    /// This process cannot keep up.
    Overloaded,
};

struct MoveRequest {
    /// This entry; ownedShards includes the shard.
    OwnerCandidate owner {};
    /// Connected entries of the shard's failure domain that are not shutting down.
    std::vector<OwnerCandidate> others {};
    /// When this entry became the owner of the shard.
    TimePoint ownedSince {};
    /// When this entry last offered one of its shards.
    TimePoint lastOfferAt {};
    /// This process cannot keep up with its work.
    bool overloaded { false };
    /// The entry that handed the shard over to this one; empty if there was none.
    VmName formerOwner {};
    TimePoint now {};
};

struct MoveOffer {
    VmName to {};
    OfferReason reason { OfferReason::LargerVm };
};

/// Decides whether an owner offers a shard to another entry; empty if not. A small VM owns a shard while larger ones
/// are idle after the larger ones were restarted one after the other, for instance. Shards do not go to and fro: the
/// other entry must be at least twice as fit once it owns the shard; if this one is overloaded, as fit, and not the one
/// that has handed the shard over.
std::optional<MoveOffer> chooseMove(const MoveRequest&);

} // namespace Balsammill::Shards
