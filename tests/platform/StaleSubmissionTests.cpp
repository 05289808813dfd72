#include "Fleet.h"

#include <doctest/doctest.h>

#include <csignal>
#include <thread>

using namespace PlatformTest;
using namespace IntegrationTest;
using namespace std::chrono_literals;

namespace {

// Time after which the operators' clients send a job again that was answered with 502.
constexpr auto resendDelay = 1300ms;

} // namespace

TEST_CASE("An owner that resumes starts no task of a submission whose entry has given it up [node]")
{
    Fleet fleet({ .name = "node-stale-submission",
        .domains = { "lantapan", "valencia" },
        .upstreamsPerDomain = 2,
        .runMs = 900 });
    REQUIRE(fleet.waitUntilReady());
    constexpr int rounds = 4;
    for (int round = 1; round <= rounds; ++round) {
        const auto owner = fleet.ownerOf("valencia");
        const auto otherOwner = fleet.ownerOf("lantapan");
        REQUIRE_LT(owner, fleet.entryCount());
        REQUIRE_LT(otherOwner, fleet.entryCount());
        // Entries 2 and 3 are those of valencia.
        const auto origin = 5 - owner;
        fleet.entry(owner).signal(SIGSTOP);
        const auto first = fleet.submit(origin, jobId(round), 1);
        CHECK_EQ(first.status, 502);
        std::this_thread::sleep_for(resendDelay);
        ClientAnswer second;
        std::thread client([&] { second = fleet.submit(otherOwner, jobId(round), 1); });
        CHECK(waitUntil(in(10s), [&] { return fleet.activeRuns() == 1; }));
        fleet.entry(owner).signal(SIGCONT);
        client.join();
        CHECK_EQ(second.status, 200);
        CHECK(waitUntil(
            in(20s), [&] { return fleet.isReady(0) && fleet.isReady(1) && fleet.isReady(2) && fleet.isReady(3); }));
        CHECK(waitUntil(in(20s), [&] { return fleet.submit(origin, jobId(round * 100), 1).status == 200; }));
    }
    CHECK_EQ(fleet.violations(), "");
}

TEST_CASE("An entry that resumes starts no task for a client that has closed its connection [node]")
{
    Fleet fleet({ .name = "node-stale-request",
        .domains = { "lantapan", "valencia" },
        .entriesPerDomain = 1,
        .upstreamsPerDomain = 2,
        .runMs = 1'500 });
    REQUIRE(fleet.waitUntilReady());
    constexpr int rounds = 4;
    for (int round = 1; round <= rounds; ++round) {
        fleet.entry(0).signal(SIGSTOP);
        fleet.submitAndLeave(0, jobId(round), 1);
        std::this_thread::sleep_for(resendDelay);
        ClientAnswer second;
        std::thread client([&] { second = fleet.submit(1, jobId(round), 1); });
        CHECK(waitUntil(in(10s), [&] { return fleet.activeRuns() == 1; }));
        fleet.entry(0).signal(SIGCONT);
        client.join();
        CHECK_EQ(second.status, 200);
        CHECK(waitUntil(in(20s), [&] { return fleet.submit(0, jobId(round * 100), 1).status == 200; }));
    }
    CHECK_EQ(fleet.violations(), "");
}
