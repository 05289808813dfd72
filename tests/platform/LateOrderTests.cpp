#include "ResendScenario.h"

#include <Poco/Net/HTTPClientSession.h>
#include <doctest/doctest.h>

#include <csignal>

using namespace PlatformTest;
using namespace std::chrono_literals;

namespace {

constexpr int rounds = 3;
constexpr int runMs = 3'000;

} // namespace

TEST_CASE("A run whose stop has no effect ends before the client of a killed entry sends its job again [node]")
{
    ResendScenario scenario("node-stop-without-effect", runMs);
    REQUIRE(scenario.fleet().waitUntilReady());
    for (int round = 0; round < rounds; ++round) {
        REQUIRE(scenario.begin());
        scenario.upstream().delayStops({ .count = Standin::LateRequests::all });
        scenario.fleet().entry(scenario.origin()).kill();
        CHECK_EQ(scenario.sendAgain().status, 200);
        scenario.upstream().delayStops({});
        scenario.fleet().restart(scenario.origin());
        REQUIRE(scenario.end());
    }
    CHECK_EQ(scenario.fleet().violations(), "");
}

TEST_CASE("A run whose stop has no effect ends before the client of a silent entry sends its job again [node]")
{
    ResendScenario scenario("node-stop-without-effect-silent", runMs);
    REQUIRE(scenario.fleet().waitUntilReady());
    for (int round = 0; round < rounds; ++round) {
        REQUIRE(scenario.begin());
        scenario.upstream().delayStops({ .count = Standin::LateRequests::all });
        scenario.fleet().entry(scenario.origin()).signal(SIGSTOP);
        scenario.leave();
        CHECK_EQ(scenario.sendAgain().status, 200);
        scenario.fleet().entry(scenario.origin()).signal(SIGCONT);
        scenario.upstream().delayStops({});
        REQUIRE(scenario.end());
    }
    CHECK_EQ(scenario.fleet().violations(), "");
}

TEST_CASE("A run whose stop has no effect ends before the client of an entry that resumes sends its job again [node]")
{
    ResendScenario scenario("node-stop-without-effect-resumed", runMs);
    REQUIRE(scenario.fleet().waitUntilReady());
    for (int round = 0; round < rounds; ++round) {
        REQUIRE(scenario.begin());
        scenario.upstream().delayStops({ .count = Standin::LateRequests::all });
        scenario.fleet().entry(scenario.origin()).signal(SIGSTOP);
        scenario.leave();
        // Shorter than the time after which its owner closes the connection.
        std::thread resume([&] {
            std::this_thread::sleep_for(650ms);
            scenario.fleet().entry(scenario.origin()).signal(SIGCONT);
        });
        CHECK_EQ(scenario.sendAgain().status, 200);
        resume.join();
        scenario.upstream().delayStops({});
        REQUIRE(scenario.end());
    }
    CHECK_EQ(scenario.fleet().violations(), "");
}

TEST_CASE("A run whose stop is carried out late ends before the client of a killed entry sends its job again [node]")
{
    ResendScenario scenario("node-late-stop", runMs);
    REQUIRE(scenario.fleet().waitUntilReady());
    for (int round = 0; round < rounds; ++round) {
        REQUIRE(scenario.begin());
        scenario.upstream().delayStops({ .count = Standin::LateRequests::all, .delay = 2s });
        scenario.fleet().entry(scenario.origin()).kill();
        CHECK_EQ(scenario.sendAgain().status, 200);
        scenario.upstream().delayStops({});
        scenario.fleet().restart(scenario.origin());
        REQUIRE(scenario.end());
    }
    CHECK_EQ(scenario.fleet().violations(), "");
}

TEST_CASE("Runs that late grants keep alive are not started again when the lease should have expired [node]")
{
    ResendScenario scenario("node-late-grant-own-shard", 4'500);
    REQUIRE(scenario.fleet().waitUntilReady());
    for (int round = 0; round < rounds; ++round) {
        REQUIRE(scenario.begin());
        scenario.upstream().delayStops({ .count = Standin::LateRequests::all });
        // Executed after the lease was withheld because the stop has no effect.
        std::this_thread::sleep_for(300ms);
        scenario.upstream().delayGrants({ .count = 1, .delay = 2s });
        std::this_thread::sleep_for(900ms);
        scenario.upstream().delayGrants({ .count = 1, .delay = 2s });
        std::this_thread::sleep_for(500ms);
        scenario.fleet().entry(scenario.origin()).kill();
        std::this_thread::sleep_for(2s);
        scenario.upstream().delayGrants({});
        scenario.upstream().delayStops({});
        scenario.fleet().restart(scenario.origin());
        REQUIRE(scenario.end());
    }
    CHECK_EQ(scenario.fleet().violations(), "");
}
