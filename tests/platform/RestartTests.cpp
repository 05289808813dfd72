#include "Fleet.h"

#include <doctest/doctest.h>

using namespace PlatformTest;
using IntegrationTest::in;
using IntegrationTest::waitUntil;
using namespace std::chrono_literals;

namespace {

constexpr int jobs = 20;

void restartAll(Fleet& fleet)
{
    for (std::size_t i = 0; i < fleet.entryCount(); ++i)
        fleet.entry(i).kill();
    for (std::size_t i = 0; i < fleet.entryCount(); ++i)
        fleet.restart(i);
    REQUIRE(fleet.waitUntilReady());
}

} // namespace

// Guards against the use of an upstream that had left before the entries were started.
TEST_CASE("An upstream that has left or drains gets no task from entries that start again [node]")
{
    Fleet fleet({ .name = "node-left-upstream", .upstreamsPerDomain = 3 });
    REQUIRE(fleet.waitUntilReady());
    auto& left = fleet.upstream(0);
    auto& draining = fleet.upstream(1);
    fleet.store().remove("servers", left.id());
    fleet.store().put("servers", draining.id(), draining.registration("draining"));
    // A task that is started there stays active.
    left.setRunMs(600'000);
    draining.setRunMs(600'000);
    restartAll(fleet);
    for (int i = 1; i <= jobs; ++i)
        CHECK_EQ(fleet.submitUntilAnswered(static_cast<std::size_t>(i) % 2, jobId(i), 2).status, 200);
    CHECK_EQ(left.activeRuns(), 0);
    CHECK_EQ(draining.activeRuns(), 0);
}

// Guards against a route that is in force again after a restart, because the entry took an old configuration over.
TEST_CASE("A withdrawn route is not served by an entry that starts again while the store is away [node]")
{
    Fleet fleet({ .name = "node-withdrawn-route" });
    REQUIRE(fleet.waitUntilReady());
    fleet.configure(2, "/other/");
    const auto refuses = [&](std::size_t entry) { return fleet.submit(entry, jobId(1), 1).status == 404; };
    REQUIRE(waitUntil(in(10s), [&] { return refuses(0) && refuses(1); }));
    fleet.store().setOutage(true);
    const auto entry = 1 - fleet.ownerOf("valencia");
    fleet.restart(entry);
    const auto refusesWithout200 = [&] {
        const auto status = fleet.submit(entry, jobId(2), 1).status;
        CHECK_NE(status, 200);
        return status == 404;
    };
    for (int i = 0; i < jobs; ++i)
        refusesWithout200();
    fleet.store().setOutage(false);
    CHECK(waitUntil(in(20s), refusesWithout200));
}

// Guards against a second run of a task whose start was not answered, and whose run had ended before the start was sent
// again: the upstream then refuses the start as old.
TEST_CASE("A task that ended before its unanswered start was repeated is not run again [node]")
{
    Fleet fleet({ .name = "node-ended-before-repeat", .runMs = 2 });
    REQUIRE(fleet.waitUntilReady());
    fleet.forbidRepeatedTasks();
    for (int i = 1; i <= jobs; ++i) {
        for (std::size_t upstream = 0; upstream < fleet.upstreamCount(); ++upstream) {
            fleet.upstream(upstream).dropNextAnswers(1);
            // The long poll and the first check.
            fleet.upstream(upstream).dropNextReports(2);
        }
        CHECK_EQ(fleet.submit(static_cast<std::size_t>(i) % 2, jobId(i), 2).status, 200);
    }
    CHECK_EQ(fleet.violations(), "");
    CHECK_EQ(fleet.starts(), 2 * jobs);
}
