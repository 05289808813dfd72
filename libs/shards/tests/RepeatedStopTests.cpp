#include "EngineFixture.h"

#include <doctest/doctest.h>

using namespace Balsammill;
using namespace Balsammill::Shards;
using namespace Balsammill::Shards::Testing;

namespace {

// A run that fills the only upstream and whose first stop was sent at 100 ms; a second job waits for the capacity.
struct StoppedRun {
    EngineFixture fixture;
    StartTask start;

    StoppedRun()
    {
        fixture.addUpstream(makeUpstream("u1", 16'000));
        const auto submission = fixture.submit({ .id = "a", .milliCores = 14'000 }, 0);
        start = fixture.scheduleAndTake<StartTask>(0).at(0);
        fixture.confirmStart(start, 1);
        fixture.engine.cancel(submission, at(100));
        fixture.submit({ .id = "b", .milliCores = 14'000 }, 100);
        // The same job is submitted again; starting its task now would make a second concurrent run.
        fixture.submit({ .id = "a", .milliCores = 14'000 }, 100);
    }

    void report(int sentMs, int ms, bool running)
    {
        UpstreamReport report { .startedUnixMs = 1000, .running = {}, .ended = {} };
        if (running)
            report.running.push_back({ .task = start.task, .run = start.run, .checkpoint = {} });
        fixture.engine.handleReport(start.upstream, report, at(sentMs), at(ms));
    }
};

} // namespace

// Guards against reusing the capacity of a run that is still being stopped, and against a second run of its task. If
// the first stops are lost, a repeated one may be taking effect when a report is made long after the first stop.
TEST_CASE("A run whose repeated stop is taking effect keeps its capacity and blocks its task")
{
    StoppedRun scenario;
    scenario.report(410, 411, true);
    // The stop that arrived at 510 ms takes effect within 50 ms; until then the run is in neither list of a report.
    scenario.report(511, 512, false);
    CHECK(scenario.fixture.scheduleAndTake<StartTask>(512).empty());
    scenario.report(530, 531, false);
    CHECK(scenario.fixture.scheduleAndTake<StartTask>(531).empty());
    scenario.fixture.reportEnd(scenario.start, 1, RunEnd::Stopped, 555);
    CHECK_EQ(scenario.fixture.scheduleAndTake<StartTask>(555).size(), 1);
}

// Guards against capacity that is never released: a run that the upstream no longer knows is not listed as ended.
TEST_CASE("A stopped run is over if two reports at least the stop grace period apart do not list it")
{
    StoppedRun scenario;
    scenario.report(511, 512, false);
    CHECK(scenario.fixture.scheduleAndTake<StartTask>(512).empty());
    scenario.report(563, 564, false);
    CHECK_EQ(scenario.fixture.scheduleAndTake<StartTask>(564).size(), 1);
}

// Guards against measuring the grace period from an earlier gap: it restarts after the run was listed again.
TEST_CASE("A stopped run that is listed again after a gap keeps its capacity")
{
    StoppedRun scenario;
    scenario.report(511, 512, false);
    scenario.report(540, 541, true);
    scenario.report(570, 571, false);
    CHECK(scenario.fixture.scheduleAndTake<StartTask>(571).empty());
}

// Guards against measuring the grace period from before the stop: a report that was made before the start arrived does
// not list the run either.
TEST_CASE("The grace period of a stopped run does not count from a report before its start")
{
    EngineFixture fixture;
    fixture.addUpstream(makeUpstream("u1", 16'000));
    const auto submission = fixture.submit({ .id = "a", .milliCores = 14'000 }, 0);
    const auto start = fixture.scheduleAndTake<StartTask>(0).at(0);
    const UpstreamReport emptyReport { .startedUnixMs = 1000, .running = {}, .ended = {} };
    fixture.engine.handleReport(start.upstream, emptyReport, at(1), at(5));
    fixture.confirmStart(start, 8);
    fixture.engine.cancel(submission, at(10));
    fixture.submit({ .id = "b", .milliCores = 14'000 }, 10);
    // The stop arrives late and takes effect within 50 ms; until then the run is in neither list of a report.
    fixture.engine.handleReport(start.upstream, emptyReport, at(395), at(396));
    CHECK(fixture.scheduleAndTake<StartTask>(396).empty());
}
