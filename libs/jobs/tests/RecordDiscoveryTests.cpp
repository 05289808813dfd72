#include "LedgerWorld.h"

#include <doctest/doctest.h>

using namespace Balsammill;
using namespace Balsammill::Test;
using namespace std::chrono_literals;

// Guards against an entry that found the record missing at its start, never read it again, and refused every job of
// that shard. Seen with three entries, four shards and a job in the shard of the two others.
TEST_CASE(
    "an entry that found no record learns of it once another entry has created it" * doctest::test_suite("[jobs]"))
{
    LedgerWorld world(3);
    // Everyone reads that there is no record before anyone can create it.
    world.fault = TableFault::RequestLost;
    world.run(3s);
    world.fault = TableFault::None;
    world.settlePair();
    world.run(2s);
    for (const auto& node : world.nodes)
        CHECK(node.ledger->statuses().front().record.has_value());
    const auto waiter = world.submit(world.third(), "job-1");
    CHECK(world.redirects.contains(waiter));
}
