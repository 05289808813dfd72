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

namespace {

// An upstream with a durable job of one task that has a confirmed run, and a report whose list of ends is full.
struct FullListOfEnds {
    EngineFixture fixture;
    StartTask start;
    std::vector<EndedTask> listed;

    FullListOfEnds()
    {
        fixture.addUpstream(makeUpstream("u1"));
        auto spec = makeSpec({ .id = "a", .estimateMs = 100 });
        spec.durable = true;
        fixture.engine.submitDurable({ .job = spec.id }, std::make_shared<const JobSpec>(spec), at(0));
        start = fixture.scheduleAndTake<StartTask>(0).at(0);
        fixture.confirmStart(start, 1);
        for (std::uint64_t i = 1; i <= 3; ++i)
            listed.push_back({ .sequence = i,
                .task = { .job = JobId("other"), .index = static_cast<std::uint32_t>(i) },
                .run = RunNumber(1),
                .how = RunEnd::Done,
                .checkpoint = {} });
    }

    UpstreamReport report(bool complete) const
    {
        return { .startedUnixMs = 1000, .running = {}, .ended = listed, .complete = complete };
    }
    std::size_t startsAt(int ms) { return fixture.scheduleAndTake<StartTask>(ms).size(); }
};

} // namespace

// Guards against a second run of a finished task: its end was not among the 500 that the report listed.
TEST_CASE("A run that only incomplete reports lack is not lost")
{
    FullListOfEnds scenario;
    auto& engine = scenario.fixture.engine;
    for (const int ms : { 150, 250, 350, 5'000 }) {
        engine.handleReport(scenario.start.upstream, scenario.report(false), at(ms), at(ms + 1));
        engine.advance(at(ms + 1));
        CHECK_EQ(scenario.startsAt(ms + 1), 0);
        CHECK(engine.isBusy(scenario.start.upstream));
        // Reports are requested anyway until the list is complete.
        CHECK_FALSE(engine.needsReport(scenario.start.upstream, at(ms + 1)));
    }
    scenario.listed.push_back({ .sequence = 4,
        .task = scenario.start.task,
        .run = scenario.start.run,
        .how = RunEnd::Done,
        .checkpoint = {} });
    engine.handleReport(scenario.start.upstream, scenario.report(true), at(5'100), at(5'101));
    CHECK_FALSE(engine.isBusy(scenario.start.upstream));
    CHECK_EQ(scenario.startsAt(5'101), 0);
}

// Guards against a run that is never found lost.
TEST_CASE("A run that complete reports lack is lost, also after incomplete ones")
{
    FullListOfEnds scenario;
    auto& engine = scenario.fixture.engine;
    engine.handleReport(scenario.start.upstream, scenario.report(false), at(150), at(151));
    engine.handleReport(scenario.start.upstream, scenario.report(true), at(250), at(251));
    CHECK_EQ(scenario.startsAt(251), 0);
    engine.handleReport(scenario.start.upstream, scenario.report(true), at(310), at(311));
    CHECK_EQ(scenario.startsAt(311), 1);
}

// Guards against a second run of a finished task after a planned change of the owner: the run was handed over, and its
// end is not among those that the first reports to the new owner list.
TEST_CASE("A run that was handed over is expected until a complete report, also beyond the time of its lease")
{
    FullListOfEnds before;
    const auto exported = before.fixture.engine.exportJobs();
    REQUIRE_EQ(exported.size(), 1);
    EngineFixture next;
    auto spec = makeSpec({ .id = "a", .estimateMs = 100 });
    spec.durable = true;
    next.engine.delayInheritedUntil(at(200));
    next.engine.inheritDurable({ .job = spec.id }, std::make_shared<const JobSpec>(spec), at(0), exported[0].progress);
    next.engine.expectRuns(exported[0].key, exported[0].expected, at(1'300));
    next.engine.updateUpstream(makeUpstream("u1"), at(0));
    next.engine.updateUpstream(makeUpstream("u2"), at(0));
    for (const int ms : { 200, 300, 1'400, 1'500 }) {
        next.engine.handleReport(UpstreamId("u1"), before.report(false), at(ms), at(ms + 1));
        next.engine.handleReport(
            UpstreamId("u2"), { .startedUnixMs = 1000, .running = {}, .ended = {} }, at(ms), at(ms + 1));
        CHECK(next.scheduleAndTake<StartTask>(ms + 1).empty());
        CHECK_FALSE(next.engine.isConfirmed(UpstreamId("u1")));
    }
    // If the upstream does not answer, the lease that this owner has granted decides.
    next.engine.noteLease(UpstreamId("u1"), at(2'000));
    next.engine.setReachable(UpstreamId("u1"), false, at(1'600));
    CHECK(next.scheduleAndTake<StartTask>(1'999).empty());
    CHECK_EQ(next.scheduleAndTake<StartTask>(2'001).size(), 1);
}
