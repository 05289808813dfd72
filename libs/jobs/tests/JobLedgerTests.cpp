#include "LedgerWorld.h"

#include <doctest/doctest.h>

using namespace Balsammill;
using namespace Balsammill::Test;
using namespace std::chrono_literals;

namespace {

bool paired(const LedgerWorld& world) { return world.primary() && world.backup(); }

void settlePair(LedgerWorld& world)
{
    REQUIRE(world.runUntil([&] { return paired(world); }));
}

// True for messages that carry a job record of this kind from this node.
auto replicationFrom(const LedgerWorld& world, std::size_t node)
{
    return [&world, node](const SentMessage& sent) {
        return sent.from == world.nodes[node].id && sent.message.has_replicate_job();
    };
}

} // namespace

TEST_CASE("a job starts once its backup has acknowledged it and is answered once" * doctest::test_suite("[jobs]"))
{
    LedgerWorld world(3);
    settlePair(world);
    const auto waiter = world.submit(*world.primary(), "job-1");
    CHECK(world.starts("job-1") == 0);
    world.deliverAll();
    CHECK(world.starts("job-1") == 1);
    CHECK(world.state(waiter) == balsammill::v1::JOB_STATE_COMPLETE);
}

TEST_CASE("a lost replication is repeated and a repeated acknowledgement starts nothing twice"
    * doctest::test_suite("[jobs]"))
{
    LedgerWorld world(3);
    settlePair(world);
    world.autoComplete = false;
    world.dropped = replicationFrom(world, *world.primary());
    world.submit(*world.primary(), "job-1");
    world.run(300ms);
    CHECK(world.starts("job-1") == 0);
    world.dropped = {};
    world.run(300ms);
    CHECK(world.starts("job-1") == 1);
    // Every message so far once more.
    for (const auto& sent : std::deque<SentMessage>(world.messages))
        world.messages.push_back(sent);
    world.run(1s);
    CHECK(world.starts("job-1") == 1);
}
