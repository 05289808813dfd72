#include "EngineFixture.h"

#include "balsammill/shards/OwnerSelection.h"
#include "balsammill/shards/OwnershipPolicy.h"

#include <doctest/doctest.h>

using namespace Balsammill;
using namespace Balsammill::Shards;
using namespace Balsammill::Shards::Testing;

namespace {

constexpr EntryCapacity small { .processorMilliCores = 90, .linkKbitPerSecond = 19'000, .memoryMb = 120 };
constexpr EntryCapacity medium { .processorMilliCores = 300, .linkKbitPerSecond = 120'000, .memoryMb = 320 };
constexpr EntryCapacity large { .processorMilliCores = 500, .linkKbitPerSecond = 200'000, .memoryMb = 512 };

OwnerCandidate entry(const std::string& vm, const EntryCapacity& capacity, unsigned ownedShards = 0)
{
    return { .vm = VmName(vm), .capacity = capacity, .ownedShards = ownedShards };
}

MoveRequest request(const EntryCapacity& owner, std::vector<OwnerCandidate> others)
{
    return { .owner = entry("owner", owner, 1), .others = std::move(others), .ownedSince = at(0), .now = at(20'000) };
}

} // namespace

// Load: the larger VMs of a failure domain with two shards are stopped one after the other. Guards against both shards
// on a VM that can carry neither: a fifth of the domain's jobs were late or refused then.
TEST_CASE("The successor at a planned stop is the entry that carries the shard best")
{
    auto order = bySuitability({ entry("a", small), entry("b", large, 1), entry("c", medium), entry("d", small) });
    CHECK_EQ(order[0].vm, VmName("c"));
    CHECK_EQ(order[1].vm, VmName("b"));
    order[0].ownedShards = 1;
    order = bySuitability(std::move(order));
    CHECK_EQ(order[0].vm, VmName("b"));
    CHECK_EQ(order[1].vm, VmName("c"));
    CHECK_EQ(order[2].vm, VmName("a"));
}

// Guards against a shard that stays on a small VM after the larger ones have returned.
TEST_CASE("An owner offers its shard to a VM that carries it at least twice as well")
{
    const auto move = chooseMove(request(small, { entry("c", medium), entry("b", large) }));
    REQUIRE(move.has_value());
    CHECK_EQ(move->to, VmName("b"));
    CHECK_EQ(move->reason, OfferReason::LargerVm);
    CHECK_FALSE(chooseMove(request(medium, { entry("b", large, 1) })).has_value());
}

// Guards against shards that go to and fro, and against handovers among equal VMs.
TEST_CASE("A shard is not moved to an equal VM, soon after another move, or without a gain")
{
    auto early = request(small, { entry("b", large) });
    early.now = at(9'999);
    CHECK_FALSE(chooseMove(early).has_value());
    auto repeated = request(small, { entry("b", large) });
    repeated.lastOfferAt = at(16'000);
    CHECK_FALSE(chooseMove(repeated).has_value());
    auto two = request(large, { entry("b", large) });
    two.owner.ownedShards = 2;
    CHECK_FALSE(chooseMove(two).has_value());
    CHECK_FALSE(chooseMove(request(large, { entry("a", small) })).has_value());
    CHECK_FALSE(chooseMove(request(small, {})).has_value());
    // After the move the new owner would not offer the shard back.
    CHECK_FALSE(chooseMove(request(large, { entry("a", small), entry("c", medium) })).has_value());
}

TEST_CASE("An overloaded owner offers its shard earlier, also to an equal VM, but not to a smaller one")
{
    auto overloaded = request(medium, { entry("a", small), entry("c", medium) });
    overloaded.overloaded = true;
    overloaded.now = at(2'000);
    const auto move = chooseMove(overloaded);
    REQUIRE(move.has_value());
    CHECK_EQ(move->to, VmName("c"));
    CHECK_EQ(move->reason, OfferReason::Overloaded);
    // Neither of the two can carry the shard, so that it would go to and fro.
    overloaded.formerOwner = VmName("c");
    CHECK_FALSE(chooseMove(overloaded).has_value());
    overloaded.formerOwner = VmName();
    overloaded.others = { entry("a", small) };
    CHECK_FALSE(chooseMove(overloaded).has_value());
}

// Guards against a claim race that a small VM wins, and against a domain that waits for VMs that it does not have.
TEST_CASE("Only a VM with less than a shard needs delays its claim, and only for a bounded time")
{
    CHECK_EQ(claimDelayFor(large), Duration::zero());
    CHECK_EQ(claimDelayFor({}), Duration::zero());
    CHECK_EQ(claimDelayFor({ .processorMilliCores = 250, .linkKbitPerSecond = 1'000'000, .memoryMb = 260 }),
        Duration::zero());
    CHECK_GT(claimDelayFor(small), milliseconds(50));
    CHECK_LE(claimDelayFor({ .processorMilliCores = 1, .linkKbitPerSecond = 1, .memoryMb = 1 }), milliseconds(120));
}
