#include "EngineFixture.h"

#include "balsammill/shards/OwnershipPolicy.h"

#include <doctest/doctest.h>

using namespace Balsammill;
using namespace Balsammill::Shards;
using namespace Balsammill::Shards::Testing;

namespace {

ClaimRequest connectedOwnerClaim()
{
    return { .shard = { .recorded = true,
                 .released = false,
                 .ownedHere = false,
                 .ownedByEarlierIncarnation = false,
                 .owner = PeerState::Connected,
                 .changedAt = at(0) },
        .storeCurrentAt = at(4'900),
        .connectedToOthers = true,
        .ownedShards = 0,
        .processorShare = 1.0,
        .now = at(5'000) };
}

} // namespace

// Guards against taking over the shard of a live owner that cannot reach the store.
TEST_CASE("A shard whose owner is connected is not claimed, however old its record is")
{
    CHECK_FALSE(claimTime(connectedOwnerClaim()).has_value());
}

TEST_CASE("A shard whose owner's process has ended is claimed at once")
{
    auto claim = connectedOwnerClaim();
    claim.shard.owner = PeerState::Refused;
    REQUIRE(claimTime(claim).has_value());
    CHECK_EQ(*claimTime(claim), at(5'000));
}

// Guards against an entry with a failed network that claims every shard because all its connections are refused.
TEST_CASE("An entry without connections to other entries waits until the record has expired")
{
    auto claim = connectedOwnerClaim();
    claim.shard.owner = PeerState::Refused;
    claim.connectedToOthers = false;
    claim.shard.changedAt = at(4'000);
    REQUIRE(claimTime(claim).has_value());
    CHECK_GT(*claimTime(claim), at(6'000));
}

// Guards against claims by an entry with a stale view of the store: the owner may have renewed its record since.
TEST_CASE("A shard whose owner does not respond is claimed only with a current view of its record")
{
    auto claim = connectedOwnerClaim();
    claim.shard.owner = PeerState::Unresponsive;
    REQUIRE(claimTime(claim).has_value());
    claim.storeCurrentAt = at(2'000);
    CHECK_FALSE(claimTime(claim).has_value());
}

TEST_CASE("The entry that owns the fewest shards and has the most processor time claims first")
{
    auto idle = connectedOwnerClaim();
    idle.shard.released = true;
    auto owner = idle;
    owner.ownedShards = 1;
    auto weak = idle;
    weak.processorShare = 0.12;
    CHECK_LT(*claimTime(idle), *claimTime(weak));
    CHECK_LT(*claimTime(weak), *claimTime(owner));
}

TEST_CASE("A restarted process claims the shards of its earlier incarnation at once")
{
    auto claim = connectedOwnerClaim();
    claim.shard.ownedByEarlierIncarnation = true;
    CHECK_EQ(*claimTime(claim), at(5'000));
}

// Guards against an entry outside a failure domain that claims a shard of the domain while its owner, which may only be
// cut off, still acts on durable jobs.
TEST_CASE("An entry of another failure domain claims a shard only when its owner's validity has ended")
{
    auto claim = connectedOwnerClaim();
    claim.claimantIsRemote = true;
    CHECK_FALSE(claimTime(claim).has_value());
    for (const auto state : { PeerState::Unresponsive, PeerState::Refused }) {
        claim.shard.owner = state;
        REQUIRE(claimTime(claim).has_value());
        CHECK_GE(*claimTime(claim), claim.shard.changedAt + remoteClaimDelay);
        CHECK_GT(*claimTime(claim), claim.shard.changedAt + ownershipValidity);
    }
}

// Guards against the same the other way round: the owner is the one outside.
TEST_CASE("An owner in another failure domain is given the same time by the shard's own entries")
{
    auto claim = connectedOwnerClaim();
    claim.shard.ownerIsRemote = true;
    claim.shard.owner = PeerState::Unresponsive;
    CHECK_GE(claimTime(claim).value(), claim.shard.changedAt + remoteClaimDelay);
    // The process has ended, so it does not act any more.
    claim.shard.owner = PeerState::Refused;
    CHECK_EQ(claimTime(claim).value(), at(5'000));
}

// Guards against shards that leave their failure domain whenever an owner restarts.
TEST_CASE("A shard without an owner is claimed by the entries of its own failure domain first")
{
    auto own = connectedOwnerClaim();
    own.shard.released = true;
    auto remote = own;
    remote.claimantIsRemote = true;
    CHECK_EQ(claimTime(remote).value(), claimTime(own).value() + remoteClaimDelay);
    own.shard.released = remote.shard.released = false;
    own.shard.recorded = remote.shard.recorded = false;
    CHECK_EQ(claimTime(remote).value(), claimTime(own).value() + remoteClaimDelay);
}
