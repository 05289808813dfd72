#include "EngineFixture.h"

#include <doctest/doctest.h>

using namespace Balsammill;
using namespace Balsammill::Shards;
using namespace Balsammill::Shards::Testing;

namespace {

// A run that is expected to take 100 ms and was started at 0; reports with its end are lost.
struct RunWithoutNews {
    EngineFixture fixture;
    StartTask start;

    RunWithoutNews()
    {
        fixture.addUpstream(makeUpstream("u1"));
        fixture.submit({ .id = "a", .estimateMs = 100 }, 0);
        start = fixture.scheduleAndTake<StartTask>(0).at(0);
        fixture.confirmStart(start, 1);
    }

    void report(int sentMs, bool running)
    {
        UpstreamReport report { .startedUnixMs = 1000, .running = {}, .ended = {} };
        if (running)
            report.running.push_back({ .task = start.task, .run = start.run, .checkpoint = {} });
        fixture.engine.handleReport(start.upstream, report, at(sentMs), at(sentMs + 1));
    }
    std::size_t stopsAt(int ms)
    {
        fixture.engine.advance(at(ms));
        return fixture.takeActionsOf<StopTask>().size();
    }
    bool needsReport(int ms) const { return fixture.engine.needsReport(start.upstream, at(ms)); }
};

} // namespace

// Guards against a collapse of the service when a few reports are lost: healthy runs whose ends the owner did not learn
// were stopped as overdue, and their upstreams suspended.
TEST_CASE("A run is stopped as overdue only once a report that was requested after its limit lists it")
{
    RunWithoutNews scenario;
    CHECK_EQ(scenario.stopsAt(5'000), 0);
    // Requested before the limit, so that the run may have ended since.
    scenario.report(200, true);
    CHECK_EQ(scenario.stopsAt(5'000), 0);
    scenario.report(5'000, true);
    CHECK_EQ(scenario.stopsAt(5'002), 1);
}

TEST_CASE("A report is needed soon after a run should have ended, and again when it is overdue")
{
    RunWithoutNews scenario;
    CHECK_FALSE(scenario.needsReport(100));
    CHECK(scenario.needsReport(145));
    scenario.report(150, true);
    CHECK_FALSE(scenario.needsReport(200));
    scenario.stopsAt(1'000);
    CHECK(scenario.needsReport(1'000));
}

TEST_CASE("A second report is needed when one does not list a run that was confirmed")
{
    RunWithoutNews scenario;
    scenario.report(50, false);
    CHECK_FALSE(scenario.needsReport(60));
    CHECK(scenario.needsReport(110));
}

// Guards against repeated runs whose cause no log shows.
TEST_CASE("A run that two reports do not list is named as lost")
{
    RunWithoutNews scenario;
    scenario.report(50, false);
    CHECK(scenario.fixture.takeActionsOf<RunLost>().empty());
    scenario.report(110, false);
    const auto lost = scenario.fixture.takeActionsOf<RunLost>();
    REQUIRE_EQ(lost.size(), 1);
    CHECK_EQ(lost[0].upstream, scenario.start.upstream);
    CHECK_EQ(lost[0].task, scenario.start.task);
    CHECK_EQ(lost[0].run, scenario.start.run);
    CHECK_EQ(lost[0].listedEnds, 0);
}

// Guards against exceeded capacity: a start got no answer, its job was cancelled, and the run that had begun is being
// stopped, so that a report lists it neither as running nor as ended.
TEST_CASE("A start without an answer whose run is being stopped keeps its capacity until later reports decide")
{
    EngineFixture fixture;
    fixture.addUpstream(makeUpstream("u1", 16'000));
    const auto submission = fixture.submit({ .id = "a", .milliCores = 14'000 }, 0);
    const auto start = fixture.scheduleAndTake<StartTask>(0).at(0);
    fixture.submit({ .id = "b", .milliCores = 14'000 }, 10);
    fixture.engine.cancel(submission, at(190));
    const UpstreamReport empty { .startedUnixMs = 1000, .running = {}, .ended = {} };
    fixture.engine.handleReport(start.upstream, empty, at(200), at(201));
    fixture.engine.handleUnlistedStart(start.upstream, start.task, start.run, at(201));
    CHECK(fixture.scheduleAndTake<StartTask>(201).empty());
    fixture.engine.handleReport(start.upstream, empty, at(500), at(501));
    fixture.engine.handleReport(start.upstream, empty, at(560), at(561));
    CHECK_EQ(fixture.scheduleAndTake<StartTask>(561).size(), 1);
}

TEST_CASE("A start without an answer that a report does not list is placed again")
{
    EngineFixture fixture;
    fixture.addUpstream(makeUpstream("u1"));
    fixture.submit({ .id = "a" }, 0);
    const auto start = fixture.scheduleAndTake<StartTask>(0).at(0);
    fixture.engine.handleUnlistedStart(start.upstream, start.task, start.run, at(201));
    const auto again = fixture.scheduleAndTake<StartTask>(201);
    REQUIRE_EQ(again.size(), 1);
    CHECK_GT(again.at(0).run, start.run);
}
