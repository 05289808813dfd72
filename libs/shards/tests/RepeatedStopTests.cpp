#include "EngineFixture.h"

#include <doctest/doctest.h>

using namespace Balsammill;
using namespace Balsammill::Shards;
using namespace Balsammill::Shards::Testing;

namespace {

// One run that fills the first upstream and whose stop was sent at 100 ms; the task of a second job waits.
struct StoppedRun {
    EngineFixture fixture;
    StartTask start;

    StoppedRun()
    {
        fixture.addUpstream(makeUpstream("u1", 16'000));
        const auto submission = fixture.submit({ .id = "a", .milliCores = 14'000 }, 0);
        start = fixture.scheduled<StartTask>(0).at(0);
        fixture.started(start, 1);
        fixture.engine.cancel(submission, at(100));
        fixture.submit({ .id = "b", .milliCores = 14'000 }, 100);
        // The same job comes again: a run of it elsewhere would be a second one.
        fixture.submit({ .id = "a", .milliCores = 14'000 }, 100);
    }

    void report(int sentMs, int ms, bool running)
    {
        UpstreamReport report { .bornMs = 1000, .running = {}, .ended = {} };
        if (running)
            report.running.push_back({ .task = start.task, .run = start.run, .checkpoint = {} });
        fixture.engine.handleReport(start.upstream, report, at(sentMs), at(ms));
    }
};

} // namespace

// Guards against room that is given away, and a task that runs twice, while a run is ending: if the first stops are
// lost, a repeated one may be taking effect just when a report is made long after the first.
TEST_CASE("A run whose repeated stop is taking effect keeps its room and its task")
{
    StoppedRun world;
    world.report(410, 411, true);
    // The stop that was carried out at 510 ms takes effect within 50 ms; the run is in neither list until then.
    world.report(511, 512, false);
    CHECK(world.fixture.scheduled<StartTask>(512).empty());
    world.report(530, 531, false);
    CHECK(world.fixture.scheduled<StartTask>(531).empty());
    world.fixture.ended(world.start, 1, RunEnd::Stopped, 555);
    CHECK_EQ(world.fixture.scheduled<StartTask>(555).size(), 1);
}

// Guards against room that is never given back: a run that the upstream has forgotten is not listed as ended.
TEST_CASE("A stopped run that two reports, a stop's grace apart, do not list is over")
{
    StoppedRun world;
    world.report(511, 512, false);
    CHECK(world.fixture.scheduled<StartTask>(512).empty());
    world.report(563, 564, false);
    CHECK_EQ(world.fixture.scheduled<StartTask>(564).size(), 1);
}

// Guards against a count from an earlier gap: after the run was listed again, the stop's grace counts anew.
TEST_CASE("A stopped run that is listed again after a gap keeps its room")
{
    StoppedRun world;
    world.report(511, 512, false);
    world.report(540, 541, true);
    world.report(570, 571, false);
    CHECK(world.fixture.scheduled<StartTask>(571).empty());
}

// Guards against a gap that is counted from before the stop: a report that was made before the start arrived does not
// list the run either.
TEST_CASE("The gap of a stopped run does not count from a report before its start")
{
    EngineFixture fixture;
    fixture.addUpstream(makeUpstream("u1", 16'000));
    const auto submission = fixture.submit({ .id = "a", .milliCores = 14'000 }, 0);
    const auto start = fixture.scheduled<StartTask>(0).at(0);
    const UpstreamReport nowhere { .bornMs = 1000, .running = {}, .ended = {} };
    fixture.engine.handleReport(start.upstream, nowhere, at(1), at(5));
    fixture.started(start, 8);
    fixture.engine.cancel(submission, at(10));
    fixture.submit({ .id = "b", .milliCores = 14'000 }, 10);
    // The stop is carried out late and takes effect within 50 ms; the run is in neither list until then.
    fixture.engine.handleReport(start.upstream, nowhere, at(395), at(396));
    CHECK(fixture.scheduled<StartTask>(396).empty());
}
