#include "EngineFixture.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Balsammill;
using namespace Balsammill::Shards;
using namespace Balsammill::Shards::Testing;

namespace {

const UpstreamId u1 { "u1" };

/// Hands over a shard whose job has three tasks: one has ended, one is running, and one waits for capacity.
struct Handover {
    EngineFixture earlier;
    EngineFixture next;
    StartTask ended;
    StartTask running;

    Handover()
    {
        earlier.addUpstream(makeUpstream("u1", 32'000));
        earlier.submit({ .tasks = 3, .milliCores = 14'000 }, 0);
        const auto starts = earlier.scheduleAndTake<StartTask>(0);
        REQUIRE_EQ(starts.size(), 2);
        for (const auto& start : starts)
            earlier.confirmStart(start, 1);
        ended = starts[0];
        running = starts[1];
        earlier.reportEnd(ended, 1, RunEnd::Done, 100);
        const auto exported = earlier.engine.exportJobs();
        REQUIRE_EQ(exported.size(), 1);
        REQUIRE_EQ(exported[0].expected.size(), 1);
        next.engine.importJob(SubmissionId(7), exported[0]);
        next.engine.expectRuns(exported[0].key, exported[0].expected, at(1'300));
        next.engine.updateUpstream(makeUpstream("u1", 32'000), at(110));
    }

    void report(const std::vector<RunningTask>& runs, const std::vector<EndedTask>& ends, int first, int second)
    {
        for (const int time : { first, second })
            next.engine.handleReport(u1, { .startedUnixMs = 1000, .running = runs, .ended = ends }, at(time), at(time));
    }
};

RunningTask listed(const StartTask& start) { return { .task = start.task, .run = start.run, .checkpoint = {} }; }

} // namespace

// Guards against a client that is told that its job has not run although an earlier owner has started it.
TEST_CASE("A job whose first run has failed is not dropped as not run by the next owner")
{
    EngineFixture earlier;
    earlier.addUpstream(makeUpstream("u1", 32'000));
    earlier.submit({ .milliCores = 20'000 }, 0);
    const auto starts = earlier.scheduleAndTake<StartTask>(0);
    REQUIRE_EQ(starts.size(), 1);
    earlier.confirmStart(starts[0], 1);
    earlier.reportEnd(starts[0], 1, RunEnd::Failed, 100);
    const auto exported = earlier.engine.exportJobs();
    REQUIRE_EQ(exported.size(), 1);

    EngineFixture next;
    next.addUpstream(makeUpstream("u1", 32'000), 200);
    next.engine.importJob(SubmissionId(7), exported[0]);
    // Its objective has passed long ago, so that an unstarted job would be dropped.
    next.engine.advance(at(5'000));
    CHECK(next.takeActionsOf<FinishJob>().empty());
    CHECK_EQ(next.scheduleAndTake<StartTask>(5'000).size(), 1);
}

// Guards against tasks that are stopped, lost or run again when a shard is handed over.
TEST_CASE("The next owner adopts runs in progress, keeps ended tasks, and starts the others")
{
    Handover handover;
    handover.report({ listed(handover.running) }, {}, 120, 190);
    auto starts = handover.next.scheduleAndTake<StartTask>(190);
    CHECK(handover.next.takeActionsOf<StopTask>().empty());
    REQUIRE_EQ(starts.size(), 1);
    CHECK_NE(starts[0].task.index, handover.ended.task.index);
    CHECK_NE(starts[0].task.index, handover.running.task.index);
    handover.next.confirmStart(starts[0], 191);
    handover.next.running.push_back(handover.running);
    handover.next.reportEnd(handover.running, 2, RunEnd::Done, 200);
    CHECK(handover.next.takeActionsOf<FinishJob>().empty());
    handover.next.reportEnd(starts[0], 3, RunEnd::Done, 300);
    const auto finished = handover.next.takeActionsOf<FinishJob>();
    REQUIRE_EQ(finished.size(), 1);
    CHECK_EQ(finished[0].submission.value, 7);
    CHECK(finished[0].result == JobResult::Completed);
}

// Guards against running a task again whose run ended during the hand-over.
TEST_CASE("An end that the earlier owner did not handle is counted by the next owner")
{
    Handover handover;
    handover.report({},
        { { .sequence = 2,
            .task = handover.running.task,
            .run = handover.running.run,
            .how = RunEnd::Done,
            .checkpoint = {} } },
        120, 190);
    const auto starts = handover.next.scheduleAndTake<StartTask>(190);
    REQUIRE_EQ(starts.size(), 1);
    CHECK_NE(starts[0].task.index, handover.running.task.index);
}

// Guards against two concurrent runs of a task: it may be running on its upstream until the upstream has reported.
TEST_CASE("A task that may be running starts again only after its upstream has reported or all leases have expired")
{
    Handover handover;
    handover.next.addUpstream(makeUpstream("u2", 32'000), 150);
    auto starts = handover.next.scheduleAndTake<StartTask>(150);
    REQUIRE_EQ(starts.size(), 1);
    CHECK_NE(starts[0].task.index, handover.running.task.index);
    CHECK_EQ(starts[0].upstream.value, "u2");
    SUBCASE("Its upstream reports that the task is not running")
    {
        handover.report({}, {}, 160, 230);
        starts = handover.next.scheduleAndTake<StartTask>(230);
    }
    SUBCASE("Its upstream does not report")
    {
        CHECK(handover.next.scheduleAndTake<StartTask>(1'299).empty());
        starts = handover.next.scheduleAndTake<StartTask>(1'300);
    }
    REQUIRE_EQ(starts.size(), 1);
    CHECK_EQ(starts[0].task.index, handover.running.task.index);
    CHECK_GT(starts[0].run.value, handover.running.run.value);
}

// Guards against two concurrent runs of a task: the earlier owner's start may have reached the new incarnation of an
// upstream that has restarted under the same id.
TEST_CASE("A task that is expected on a restarted upstream waits for the report of the new incarnation")
{
    Handover handover;
    handover.next.addUpstream(makeUpstream("u2", 32'000), 150);
    auto starts = handover.next.scheduleAndTake<StartTask>(150);
    REQUIRE_EQ(starts.size(), 1);
    UpstreamReport report { .startedUnixMs = 2000, .running = { listed(handover.running) }, .ended = {} };
    SUBCASE("The registration is handled first")
    {
        auto registration = makeUpstream("u1", 32'000);
        registration.startedUnixMs = 2000;
        handover.next.engine.updateUpstream(registration, at(155));
        CHECK(handover.next.scheduleAndTake<StartTask>(155).empty());
    }
    SUBCASE("The report shows the restart first") { }
    handover.next.engine.handleReport(u1, report, at(160), at(161));
    CHECK_EQ(handover.next.takeActionsOf<TaskAdopted>().size(), 1);
    handover.next.engine.handleReport(u1, report, at(230), at(231));
    const auto actions = handover.next.scheduleAndTake<StopTask>(231);
    CHECK(actions.empty());
}

// Guards against inaccurate predictions after each planned hand-over.
TEST_CASE("The run time model is handed to the next owner")
{
    EngineFixture earlier;
    earlier.addUpstream(makeUpstream("u1"));
    for (int i = 0; i < 30; ++i) {
        earlier.submit({ .id = "job" + std::to_string(i), .estimateMs = 100 }, i * 1'000);
        const auto starts = earlier.scheduleAndTake<StartTask>(i * 1'000);
        REQUIRE_EQ(starts.size(), 1);
        earlier.confirmStart(starts[0], i * 1'000 + 1);
        earlier.reportEnd(starts[0], static_cast<std::uint64_t>(i) + 1, RunEnd::Done, i * 1'000 + 300);
    }
    EngineFixture next;
    next.engine.adoptLearned(earlier.engine.learned());
    next.addUpstream(makeUpstream("u1"));
    const auto spec = makeSpec({ .estimateMs = 100 });
    const auto forecast = next.engine.forecast(spec, at(0), at(0));
    CHECK_GT(forecast.endAt, at(200));
}

// Guards against measuring the run time of an adopted task from the hand-over.
TEST_CASE("The run time of an adopted task is measured from its start")
{
    Handover handover;
    handover.report({ listed(handover.running) }, {}, 120, 190);
    handover.next.running.push_back(handover.running);
    handover.next.reportEnd(handover.running, 2, RunEnd::Done, 900);
    const auto& learned = handover.next.engine.learned();
    REQUIRE_EQ(learned.queues.size(), 1);
    // Natural logarithm of microseconds; the task ran 900 ms.
    CHECK_GT(learned.queues.begin()->second.logMean, 13.6);
}

namespace {

/// Hands over a shard with a durable job of two tasks. The first one, or both, have ended; the ends are counted but not
/// recorded.
struct DurableHandover {
    EngineFixture earlier;
    EngineFixture next;
    std::vector<StartTask> starts;
    OccurrenceKey key { .job = JobId("00000000000000d1") };

    explicit DurableHandover(bool bothEnded)
    {
        auto spec = makeSpec({ .id = key.job.value, .tasks = 2 });
        spec.durable = true;
        const auto job = std::make_shared<const JobSpec>(spec);
        earlier.addUpstream(makeUpstream("u1"));
        earlier.engine.submitDurable(key, job, at(0));
        starts = earlier.scheduleAndTake<StartTask>(0);
        REQUIRE_EQ(starts.size(), 2);
        for (const auto& start : starts)
            earlier.confirmStart(start, 1);
        earlier.reportEnd(starts[0], 1, RunEnd::Done, 100);
        if (bothEnded)
            earlier.reportEnd(starts[1], 2, RunEnd::Done, 101);
        const auto exported = earlier.engine.exportJobs();
        REQUIRE_EQ(exported.size(), 1);
        next.engine.delayInheritedUntil(at(110));
        next.engine.inheritDurable(key, job, at(110), {});
        next.engine.mergeProgress(key, exported[0].progress, at(110));
        next.engine.expectRuns(key, exported[0].expected, at(1'300));
        next.engine.updateUpstream(makeUpstream("u1"), at(110));
    }

    EndedTask end(std::size_t task) const
    {
        return { .sequence = task + 1,
            .task = starts[task].task,
            .run = starts[task].run,
            .how = RunEnd::Done,
            .checkpoint = {} };
    }
};

} // namespace

// Guards against running a task again after its end: the earlier owner had counted the end, and the journal write was
// still in flight when the shard was handed over. Found by the random schedules of ShardEngineProperties.cpp.
TEST_CASE("The next owner records an end that was counted but not recorded, and acknowledges it after that")
{
    DurableHandover handover(false);
    auto& engine = handover.next.engine;
    const auto changes = handover.next.takeActionsOf<ProgressChanged>();
    REQUIRE_EQ(changes.size(), 1);
    const RunningTask second { .task = handover.starts[1].task, .run = handover.starts[1].run, .checkpoint = {} };
    for (const int time : { 120, 190 })
        engine.handleReport(
            u1, { .startedUnixMs = 1000, .running = { second }, .ended = { handover.end(0) } }, at(time), at(time));
    CHECK(handover.next.scheduleAndTake<StartTask>(2'000).empty());
    CHECK_EQ(engine.lastEndToAcknowledge(u1), 0);
    engine.handleRecorded(changes[0].job, changes[0].mark);
    CHECK_EQ(engine.lastEndToAcknowledge(u1), 1);
}

// Guards against running a job again after its end was counted: its journal write was still in flight at the hand-over.
TEST_CASE("A job whose end was not recorded completes at the next owner without another run")
{
    DurableHandover handover(true);
    auto& engine = handover.next.engine;
    std::optional<ProgressMark> mark;
    bool completed = false;
    for (const auto& action : engine.takeActions()) {
        if (const auto* change = std::get_if<ProgressChanged>(&action))
            mark = change->mark;
        if (const auto* finished = std::get_if<FinishJob>(&action))
            completed = finished->result == JobResult::Completed;
    }
    REQUIRE(mark.has_value());
    CHECK(completed);
    for (const int time : { 120, 190 })
        engine.handleReport(u1, { .startedUnixMs = 1000, .running = {}, .ended = { handover.end(0), handover.end(1) } },
            at(time), at(time));
    CHECK(handover.next.scheduleAndTake<StartTask>(2'000).empty());
    CHECK_EQ(engine.lastEndToAcknowledge(u1), 0);
    engine.handleRecorded(handover.key, *mark);
    CHECK_EQ(engine.lastEndToAcknowledge(u1), 2);
}

// Guards against a handover that grows with the backlog of stored jobs beyond the size of a message.
TEST_CASE("A handover leaves out durable jobs that were never started")
{
    EngineFixture fixture;
    fixture.addUpstream(makeUpstream("u1", 32'000));
    for (int i = 0; i < 10; ++i) {
        auto spec = makeSpec({ .id = "job" + std::to_string(i), .milliCores = 20'000 });
        spec.durable = true;
        fixture.engine.submitDurable({ .job = spec.id }, std::make_shared<const JobSpec>(spec), at(0));
    }
    CHECK(fixture.engine.exportJobs().empty());
    const auto starts = fixture.scheduleAndTake<StartTask>(0);
    REQUIRE_EQ(starts.size(), 1);
    const auto exported = fixture.engine.exportJobs();
    REQUIRE_EQ(exported.size(), 1);
    CHECK_EQ(exported[0].key.job, starts[0].task.job);
    CHECK_EQ(exported[0].expected.size(), 1);
}
