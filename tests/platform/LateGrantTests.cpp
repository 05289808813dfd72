#include "ResendScenario.h"

#include <Poco/Net/HTTPClientSession.h>
#include <doctest/doctest.h>

using namespace PlatformTest;
using namespace std::chrono_literals;

TEST_CASE("A run whose grants and stop are carried out late ends before its client sends its job again [node]")
{
    ResendScenario scenario("node-late-grant", 4'500);
    REQUIRE(scenario.fleet().waitUntilReady());
    constexpr int rounds = 3;
    for (int round = 0; round < rounds; ++round) {
        REQUIRE(scenario.begin());
        scenario.upstream().delayStops({ .count = Standin::LateRequests::all, .delay = 2s });
        std::this_thread::sleep_for(300ms);
        // Both grants are executed after the entry has been lost. Grants in between keep the run alive until then.
        scenario.upstream().delayGrants({ .count = 1, .delay = 2s });
        std::this_thread::sleep_for(900ms);
        scenario.upstream().delayGrants({ .count = 1, .delay = 2s });
        std::this_thread::sleep_for(500ms);
        scenario.fleet().entry(scenario.origin()).kill();
        CHECK_EQ(scenario.sendAgain().status, 200);
        scenario.upstream().delayGrants({});
        scenario.upstream().delayStops({});
        scenario.fleet().restart(scenario.origin());
        REQUIRE(scenario.end());
    }
    CHECK_EQ(scenario.fleet().violations(), "");
}
