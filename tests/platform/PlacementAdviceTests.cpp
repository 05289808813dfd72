#include "Fleet.h"

#include <doctest/doctest.h>

using namespace PlatformTest;
using namespace IntegrationTest;
using namespace std::chrono_literals;

// Guards against starts without a ticket, and against jobs that wait although an allowed upstream has free capacity.
TEST_CASE("Jobs of a route with placement advice run on the allowed upstreams with valid tickets [advice]")
{
    Fleet fleet({ .name = "advice", .upstreamsPerDomain = 4, .advisedUpstreams = { "i-valencia1", "i-valencia3" } });
    REQUIRE(fleet.waitUntilReady());
    for (int i = 0; i < 4; ++i)
        CHECK_EQ(
            fleet.submitUntilAnswered(0, "00000000000000a" + std::to_string(i), 3).body, R"({"state":"completed"})");
    CHECK_EQ(fleet.starts(), 12);
    CHECK_EQ(fleet.violations(), "");
    const auto metrics = fleet.metrics(fleet.ownerOf("valencia"));
    CHECK_MESSAGE(metrics.find(R"(balsammill_starts_total{outcome="refused"})") == std::string::npos, metrics);
}

// Guards against a job that waits forever because the advice service refused one request.
TEST_CASE("A request that the advice service refuses is repeated [advice]")
{
    Fleet fleet({ .name = "advice-refused", .advisedUpstreams = { "i-valencia0" } });
    REQUIRE(fleet.waitUntilReady());
    fleet.advice().refuseNext(2);
    CHECK_EQ(fleet.submitUntilAnswered(0, "00000000000000b1", 2).body, R"({"state":"completed"})");
    CHECK_GE(fleet.advice().calls(), 3);
}
