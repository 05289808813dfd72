#include "Fleet.h"

#include <doctest/doctest.h>

using namespace PlatformTest;
using namespace std::chrono_literals;

// Guards against 503 answers to the clients that reach an entry while it starts, before it has read its configuration.
TEST_CASE("A job that reaches an entry before its configuration is served once the entry has read it [node]")
{
    Fleet fleet({ .name = "node-early-request" });
    REQUIRE(fleet.waitUntilReady());
    const auto entry = 1 - fleet.ownerOf("valencia");
    fleet.store().setFaults({ .readDelay = 100ms });
    fleet.restart(entry);
    ClientAnswer answer;
    REQUIRE(IntegrationTest::waitUntil(IntegrationTest::in(20s), [&] {
        answer = fleet.submit(entry, jobId(1), 2);
        return answer.status != 0;
    }));
    CHECK_EQ(answer.status, 200);
    CHECK_EQ(fleet.violations(), "");
}

// Guards against requests that are held without end while the store is away.
TEST_CASE("A job that reaches an entry without a configuration is refused soon if the store is away [node]")
{
    Fleet fleet({ .name = "node-early-request-store-away" });
    REQUIRE(fleet.waitUntilReady());
    const auto entry = 1 - fleet.ownerOf("valencia");
    fleet.store().setOutage(true);
    // The other entry would pass its configuration on.
    fleet.entry(1 - entry).kill();
    fleet.restart(entry);
    ClientAnswer answer;
    REQUIRE(IntegrationTest::waitUntil(IntegrationTest::in(20s), [&] {
        answer = fleet.submit(entry, jobId(1), 2);
        return answer.status != 0;
    }));
    CHECK_EQ(answer.status, 503);
    CHECK_FALSE(answer.retryAfter.empty());
}
