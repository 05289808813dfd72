#include "EngineFixture.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Balsammill;
using namespace Balsammill::Shards;
using namespace Balsammill::Shards::Testing;

namespace {

UpstreamInfo inRack(const std::string& id, const std::string& rack, std::int64_t milliCores = 32'000)
{
    auto info = makeUpstream(id, milliCores);
    info.labels = { "a", rack };
    info.rack = rack;
    return info;
}

std::vector<StartTask> placeSameRack(EngineFixture& fixture, bool gang)
{
    auto spec = makeSpec({ .tasks = 4, .milliCores = 14'000 });
    spec.steps.front().sameRack = true;
    spec.steps.front().gang = gang;
    fixture.engine.submit(SubmissionId(1), std::make_shared<const JobSpec>(spec), at(0), TimePoint::max());
    return fixture.scheduleAndTake<StartTask>(0);
}

} // namespace

// Guards against related tasks that are slowed down by traffic between racks.
TEST_CASE("Tasks of a same-rack step are placed in a rack where all of them fit")
{
    for (const bool gang : { false, true }) {
        CAPTURE(gang);
        EngineFixture fixture;
        fixture.addUpstream(inRack("i-1", "r1-1"));
        fixture.addUpstream(inRack("i-2", "r1-2"));
        fixture.addUpstream(inRack("i-3", "r1-2"));
        fixture.addUpstream(inRack("i-4", "r1-3", 14'000));
        const auto starts = placeSameRack(fixture, gang);
        REQUIRE_EQ(starts.size(), 4);
        for (const auto& start : starts)
            CHECK_MESSAGE((start.upstream.value == "i-2" || start.upstream.value == "i-3"), start.upstream.value);
    }
}

// Guards against a step that waits for capacity in one rack although it could run in two.
TEST_CASE("Tasks of a same-rack step that do not fit in one rack run in several")
{
    EngineFixture fixture;
    fixture.addUpstream(inRack("i-1", "r1-1"));
    fixture.addUpstream(inRack("i-2", "r1-2"));
    CHECK_EQ(placeSameRack(fixture, false).size(), 4);
}
