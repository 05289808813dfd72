#include "EngineFixture.h"

#include <doctest/doctest.h>

using namespace Balsammill;
using namespace Balsammill::Shards;
using namespace Balsammill::Shards::Testing;

namespace {

struct LongRunningFixture : EngineFixture {
    /// Submits a job with one task that runs until it is cancelled.
    void submitLongRunning(const std::string& id, std::int64_t milliCores, const std::string& label, int ms)
    {
        auto spec = makeSpec({ .id = id, .milliCores = milliCores });
        spec.durable = spec.longRunning = true;
        spec.steps.front().requiredLabel = label;
        engine.submitDurable({ .job = spec.id }, std::make_shared<const JobSpec>(spec), at(ms));
    }

    StartTask startNext(int ms)
    {
        const auto starts = scheduleAndTake<StartTask>(ms);
        REQUIRE_EQ(starts.size(), 1);
        confirmStart(starts[0], ms);
        return starts[0];
    }
};

} // namespace

// Guards against an upstream that gets no task any more: its probation ends with a successful run, and the task that
// runs there never ends (review case 5).
TEST_CASE("An upstream on probation gets a task beside one that runs until it is cancelled")
{
    LongRunningFixture fixture;
    fixture.addUpstream(makeUpstream("u1", 32'000));
    fixture.submitLongRunning("00000000000000a1", 10'000, "", 0);
    fixture.startNext(1);
    fixture.submit({ .id = "00000000000000b1", .stretch = 100 }, 2);
    const auto refused = fixture.scheduleAndTake<StartTask>(2);
    REQUIRE_EQ(refused.size(), 1);
    fixture.engine.handleStartRefused(
        refused[0].upstream, refused[0].task, refused[0].run, StartRefusal::Unhealthy, at(3));
    fixture.submit({ .id = "00000000000000b2", .stretch = 100 }, 1'500);
    const auto first = fixture.scheduleAndTake<StartTask>(1'500);
    // One at a time until one succeeds.
    REQUIRE_EQ(first.size(), 1);
    fixture.confirmStart(first[0], 1'501);
    fixture.reportEnd(first[0], 1, RunEnd::Done, 1'600);
    CHECK_EQ(fixture.scheduleAndTake<StartTask>(1'600).size(), 1);
}

// Guards against a reservation that keeps free capacity from all other tasks until a run ends that does not end
// (review, reservation-without-end).
TEST_CASE("A task that waits for the capacity of a long-running one reserves no upstream")
{
    LongRunningFixture fixture;
    fixture.addUpstream(makeUpstream("u1", 32'000));
    fixture.submitLongRunning("00000000000000a1", 20'000, "a", 0);
    fixture.startNext(1);
    fixture.submitLongRunning("00000000000000a2", 20'000, "a", 2);
    CHECK(fixture.scheduleAndTake<StartTask>(2).empty());
    fixture.submit({ .id = "00000000000000b1" }, 3);
    CHECK_EQ(fixture.scheduleAndTake<StartTask>(3).size(), 1);
}
