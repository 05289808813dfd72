#include "Fleet.h"

#include <doctest/doctest.h>

#include <random>
#include <thread>

using namespace PlatformTest;
using namespace IntegrationTest;
using namespace std::chrono_literals;

// Guards against ends that are never acknowledged: the end of a task arrived while the write of its job's cancelling
// was in flight.
TEST_CASE("After cancels of running jobs all ends are acknowledged and the other jobs are completed [node]")
{
    constexpr int jobs = 120;
    Fleet fleet({ .name = "node-cancelled-ends", .upstreamsPerDomain = 2, .runMs = 60 });
    REQUIRE(fleet.waitUntilReady());
    fleet.forbidRepeatedTasks();
    // Makes it likely that an end arrives during a write.
    fleet.store().setFaults({ .writeDelay = 20ms });
    std::mt19937 random(46);
    std::vector<std::string> kept;
    for (int i = 1; i <= jobs; ++i) {
        const auto id = jobId(i);
        const auto entry = random() % fleet.entryCount();
        REQUIRE_EQ(fleet.submitDurable(entry, id, 8, 1'000).status, 200);
        if (i % 2 == 0) {
            kept.push_back(id);
            continue;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(random() % 60));
        // 410: the job has ended meanwhile.
        const auto status = fleet.request(entry, "DELETE", "/check/" + id, "").status;
        CHECK_MESSAGE((status == 200 || status == 410), status);
    }
    for (const auto& id : kept)
        CHECK(fleet.waitForState(id, "completed"));
    CHECK(waitUntil(in(20s), [&] { return fleet.unacknowledgedEnds() == 0; }));
    CHECK_EQ(fleet.violations(), "");
}

// Guards against repeated runs of finished tasks: while the store is away their ends are not acknowledged, and an
// upstream lists 500 of them at a time.
TEST_CASE("In a store outage no finished task runs again, however many ends are not acknowledged [node]")
{
    constexpr int jobs = 8;
    constexpr int tasksPerJob = 120;
    Fleet fleet({ .name = "node-many-ends", .upstreamsPerDomain = 1, .runMs = 200 });
    REQUIRE(fleet.waitUntilReady());
    fleet.forbidRepeatedTasks();
    std::vector<std::jthread> clients;
    std::vector<int> statuses(jobs);
    for (int i = 0; i < jobs; ++i)
        clients.emplace_back([&, i] {
            statuses[static_cast<std::size_t>(i)] = fleet.submitDurable(0, jobId(i + 1), tasksPerJob, 250).status;
        });
    clients.clear();
    REQUIRE_EQ(statuses, std::vector<int>(jobs, 200));
    fleet.store().setOutage(true);
    CHECK(waitUntil(in(20s), [&] { return fleet.unacknowledgedEnds() > 500; }));
    std::this_thread::sleep_for(2s);
    fleet.store().setOutage(false);
    for (int i = 0; i < jobs; ++i)
        CHECK(fleet.waitForState(jobId(i + 1), "completed"));
    CHECK(waitUntil(in(20s), [&] { return fleet.unacknowledgedEnds() == 0; }));
    CHECK_EQ(fleet.violations(), "");
    CHECK_EQ(fleet.starts(), jobs * tasksPerJob);
}
