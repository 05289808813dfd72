#include "SimulatedCluster.h"

#include <doctest/doctest.h>

using namespace Balsammill;
using namespace Balsammill::Test;
using namespace std::chrono_literals;

// Guards against a process that found no shard record when it started, never read the table again and refused every job
// of the shard. Seen with three processes and four shards, for a job in a shard owned by the two other processes.
TEST_CASE("a process that found no shard record reads it after another process has created it"
    * doctest::test_suite("[jobs]"))
{
    SimulatedCluster cluster(3);
    // All nodes find no record before the first write can take effect.
    cluster.fault = TableFault::RequestLost;
    cluster.run(3s);
    cluster.fault = TableFault::None;
    cluster.waitForPair();
    cluster.run(2s);
    for (const auto& node : cluster.nodes)
        CHECK(node.ledger->statuses().front().record.has_value());
    const auto waiter = cluster.submit(cluster.third(), "job-1");
    CHECK(cluster.redirects.contains(waiter));
}
