#include "EngineFixture.h"

#include "balsammill/shards/OwnershipPolicy.h"

#include <doctest/doctest.h>

using namespace Balsammill;
using namespace Balsammill::Shards;
using namespace Balsammill::Shards::Testing;

namespace {

OwnershipQuestion question()
{
    return { .shard = { .recorded = true,
                 .released = false,
                 .ownedHere = false,
                 .ownedByPredecessor = false,
                 .owner = PeerState::Connected,
                 .changedAt = at(0) },
        .storeCurrentAt = at(4'900),
        .connectedToOthers = true,
        .ownedShards = 0,
        .processorShare = 1.0,
        .now = at(5'000) };
}

} // namespace

// Guards against taking a shard from an owner that is only cut off from the store.
TEST_CASE("A shard whose owner is heard is not claimed, however old its record")
{
    CHECK_FALSE(claimTime(question()).has_value());
}

TEST_CASE("A shard whose owner's process is gone is claimed at once")
{
    auto asked = question();
    asked.shard.owner = PeerState::Refused;
    REQUIRE(claimTime(asked).has_value());
    CHECK_EQ(*claimTime(asked), at(5'000));
}

// Guards against an entry behind a cut that takes every shard because it is refused everywhere.
TEST_CASE("An entry that reaches nobody waits until the record has expired")
{
    auto asked = question();
    asked.shard.owner = PeerState::Refused;
    asked.connectedToOthers = false;
    asked.shard.changedAt = at(4'000);
    REQUIRE(claimTime(asked).has_value());
    CHECK_GT(*claimTime(asked), at(6'000));
}

// Guards against claims by an entry whose own view is old: the owner may have renewed its record meanwhile.
TEST_CASE("A silent owner's shard is claimed only by a current view of its record")
{
    auto asked = question();
    asked.shard.owner = PeerState::Silent;
    REQUIRE(claimTime(asked).has_value());
    asked.storeCurrentAt = at(2'000);
    CHECK_FALSE(claimTime(asked).has_value());
}

TEST_CASE("Of several candidates the one that owns least and is strongest comes first")
{
    auto idle = question();
    idle.shard.released = true;
    auto owner = idle;
    owner.ownedShards = 1;
    auto weak = idle;
    weak.processorShare = 0.12;
    CHECK_LT(*claimTime(idle), *claimTime(weak));
    CHECK_LT(*claimTime(weak), *claimTime(owner));
}

TEST_CASE("A restarted process claims what its predecessor owned at once")
{
    auto asked = question();
    asked.shard.ownedByPredecessor = true;
    CHECK_EQ(*claimTime(asked), at(5'000));
}
