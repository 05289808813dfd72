#include "EngineFixture.h"

#include <doctest/doctest.h>

using namespace Balsammill;
using namespace Balsammill::Shards;
using namespace Balsammill::Shards::Testing;

// Guards against answering a job before all its tasks have ended.
TEST_CASE("A job is completed when its last task has ended")
{
    EngineFixture fixture;
    fixture.addUpstream(makeUpstream("u1"));
    const auto submission = fixture.submit({ .tasks = 2 }, 0);
    const auto starts = fixture.scheduleAndTake<StartTask>(0);
    REQUIRE_EQ(starts.size(), 2);
    CHECK_EQ(starts[0].run.value, 1);
    for (const auto& start : starts)
        fixture.confirmStart(start, 1);
    fixture.reportEnd(starts[0], 1, RunEnd::Done, 100);
    CHECK(fixture.takeActionsOf<FinishJob>().empty());
    fixture.reportEnd(starts[1], 2, RunEnd::Done, 110);
    const auto finished = fixture.takeActionsOf<FinishJob>();
    REQUIRE_EQ(finished.size(), 1);
    CHECK_EQ(finished[0].submission, submission);
    CHECK_EQ(finished[0].result, JobResult::Completed);
}

// Guards against starts on an upstream that still has unknown runs of an earlier owner: the first report lists a run
// that is being stopped neither as running nor as ended.
TEST_CASE("An upstream gets no task before two reports at least the stop grace period apart")
{
    EngineFixture fixture;
    fixture.engine.updateUpstream(makeUpstream("u1"), at(0));
    fixture.submit({}, 0);
    CHECK(fixture.scheduleAndTake<StartTask>(0).empty());
    fixture.engine.handleReport(UpstreamId("u1"), { .startedUnixMs = 1000, .running = {}, .ended = {} }, at(1), at(2));
    CHECK(fixture.scheduleAndTake<StartTask>(2).empty());
    fixture.engine.handleReport(
        UpstreamId("u1"), { .startedUnixMs = 1000, .running = {}, .ended = {} }, at(40), at(41));
    CHECK(fixture.scheduleAndTake<StartTask>(41).empty());
    fixture.engine.handleReport(
        UpstreamId("u1"), { .startedUnixMs = 1000, .running = {}, .ended = {} }, at(52), at(53));
    CHECK_EQ(fixture.scheduleAndTake<StartTask>(53).size(), 1);
}

// Guards against exceeding the capacity of an upstream, which does not enforce it by itself.
TEST_CASE("Tasks that do not fit wait until capacity is free")
{
    EngineFixture fixture;
    fixture.addUpstream(makeUpstream("u1", 32'000));
    fixture.submit({ .tasks = 3, .milliCores = 14'000 }, 0);
    const auto starts = fixture.scheduleAndTake<StartTask>(0);
    REQUIRE_EQ(starts.size(), 2);
    for (const auto& start : starts)
        fixture.confirmStart(start, 1);
    CHECK(fixture.scheduleAndTake<StartTask>(2).empty());
    fixture.reportEnd(starts[0], 1, RunEnd::Done, 100);
    CHECK_EQ(fixture.scheduleAndTake<StartTask>(100).size(), 1);
}

// Guards against exceeding the capacity of an upstream: a run that is being stopped is for a short time in neither list
// of a report.
TEST_CASE("A run that is being stopped keeps its capacity until its end is listed")
{
    EngineFixture fixture;
    fixture.addUpstream(makeUpstream("u1", 16'000));
    const auto submission = fixture.submit({ .id = "00000000000000a1", .milliCores = 14'000 }, 0);
    const auto starts = fixture.scheduleAndTake<StartTask>(0);
    REQUIRE_EQ(starts.size(), 1);
    fixture.confirmStart(starts[0], 1);
    fixture.engine.cancel(submission, at(10));
    CHECK_EQ(fixture.takeActionsOf<StopTask>().size(), 1);
    fixture.submit({ .id = "00000000000000a2", .milliCores = 14'000 }, 11);
    fixture.engine.handleReport(
        UpstreamId("u1"), { .startedUnixMs = 1000, .running = {}, .ended = {} }, at(12), at(13));
    CHECK(fixture.scheduleAndTake<StartTask>(13).empty());
    fixture.reportEnd(starts[0], 1, RunEnd::Stopped, 60);
    CHECK_EQ(fixture.scheduleAndTake<StartTask>(60).size(), 1);
}

// Guards against two concurrent runs of a task when a client cancels its job and submits it again.
TEST_CASE("A job that is submitted again waits for the runs of its cancelled submission and uses higher run numbers")
{
    EngineFixture fixture;
    fixture.addUpstream(makeUpstream("u1"));
    const auto submission = fixture.submit({}, 0);
    const auto first = fixture.scheduleAndTake<StartTask>(0);
    REQUIRE_EQ(first.size(), 1);
    fixture.confirmStart(first[0], 1);
    fixture.engine.cancel(submission, at(10));
    fixture.submit({}, 20);
    CHECK(fixture.scheduleAndTake<StartTask>(20).empty());
    fixture.reportEnd(first[0], 1, RunEnd::Stopped, 60);
    const auto second = fixture.scheduleAndTake<StartTask>(60);
    REQUIRE_EQ(second.size(), 1);
    CHECK_GT(second[0].run.value, first[0].run.value);
}

// Guards against two results, and two sets of runs, for one job that is submitted twice.
TEST_CASE("A second submission of an unfinished job replaces the first")
{
    EngineFixture fixture;
    fixture.addUpstream(makeUpstream("u1"));
    const auto first = fixture.submit({}, 0);
    const auto starts = fixture.scheduleAndTake<StartTask>(0);
    REQUIRE_EQ(starts.size(), 1);
    const auto second = fixture.submit({}, 10);
    const auto superseded = fixture.takeActionsOf<FinishJob>();
    REQUIRE_EQ(superseded.size(), 1);
    CHECK_EQ(superseded[0].submission, first);
    CHECK_EQ(superseded[0].result, JobResult::Superseded);
    CHECK(fixture.scheduleAndTake<StartTask>(10).empty());
    fixture.confirmStart(starts[0], 11);
    fixture.reportEnd(starts[0], 1, RunEnd::Done, 100);
    const auto finished = fixture.takeActionsOf<FinishJob>();
    REQUIRE_EQ(finished.size(), 1);
    CHECK_EQ(finished[0].submission, second);
}

// Guards against runs of a failed owner that continue beside those of the new owner.
TEST_CASE("Runs of an earlier owner are stopped, and their upstream gets no task until they have ended")
{
    EngineFixture fixture;
    fixture.engine.updateUpstream(makeUpstream("u1"), at(0));
    const TaskKey orphan { .job = JobId("00000000000000ff"), .occurrence = 0, .step = 0, .index = 3 };
    UpstreamReport report { .startedUnixMs = 1000, .running = {}, .ended = {} };
    report.running.push_back({ .task = orphan, .run = RunNumber(4), .checkpoint = {} });
    fixture.engine.handleReport(UpstreamId("u1"), report, at(0), at(1));
    const auto stops = fixture.takeActionsOf<StopTask>();
    REQUIRE_EQ(stops.size(), 1);
    CHECK_EQ(stops[0].run.value, 4);
    fixture.submit({}, 2);
    CHECK(fixture.scheduleAndTake<StartTask>(2).empty());
    UpstreamReport done { .startedUnixMs = 1000, .running = {}, .ended = {} };
    done.ended.push_back(
        { .sequence = 1, .task = orphan, .run = RunNumber(4), .how = RunEnd::Stopped, .checkpoint = {} });
    fixture.engine.handleReport(UpstreamId("u1"), done, at(60), at(61));
    CHECK_EQ(fixture.scheduleAndTake<StartTask>(61).size(), 1);
}

// Guards against exceeding the capacity of an upstream: the sizes of an earlier owner's runs are unknown, so the end of
// one of them does not show how much capacity is free.
TEST_CASE("An upstream with several runs of an earlier owner gets no task until the last one has ended")
{
    EngineFixture fixture;
    fixture.engine.updateUpstream(makeUpstream("u1"), at(0));
    UpstreamReport report { .startedUnixMs = 1000, .running = {}, .ended = {} };
    for (std::uint32_t index = 0; index < 2; ++index) {
        const TaskKey orphan { .job = JobId("00000000000000ff"), .occurrence = 0, .step = 0, .index = index };
        report.running.push_back({ .task = orphan, .run = RunNumber(1), .checkpoint = {} });
    }
    fixture.engine.handleReport(UpstreamId("u1"), report, at(0), at(1));
    CHECK_EQ(fixture.takeActionsOf<StopTask>().size(), 2);
    fixture.submit({}, 2);
    for (std::uint64_t i = 0; i < 2; ++i) {
        CHECK(fixture.scheduleAndTake<StartTask>(10).empty());
        UpstreamReport next { .startedUnixMs = 1000, .running = {}, .ended = {} };
        const auto& task = report.running[i].task;
        next.ended.push_back(
            { .sequence = i + 1, .task = task, .run = RunNumber(1), .how = RunEnd::Stopped, .checkpoint = {} });
        if (i == 0)
            next.running.push_back(report.running[1]);
        fixture.engine.handleReport(UpstreamId("u1"), next, at(60), at(61));
    }
    CHECK_EQ(fixture.scheduleAndTake<StartTask>(70).size(), 1);
}

// Guards against two concurrent runs of a task, and against a task that is never run: the answer to a start may be lost
// or late. Each subcase names what the owner knows about the start and what it does then.
TEST_CASE("A start with an unknown outcome is resolved before its task runs again")
{
    EngineFixture fixture;
    fixture.addUpstream(makeUpstream("u1"));
    fixture.addUpstream(makeUpstream("u2"));
    fixture.submit({}, 0);
    const auto starts = fixture.scheduleAndTake<StartTask>(0);
    REQUIRE_EQ(starts.size(), 1);
    const auto& start = starts[0];

    SUBCASE("no answer yet: the task is not started elsewhere")
    {
        fixture.engine.handleReport(
            start.upstream, { .startedUnixMs = 1000, .running = {}, .ended = {} }, at(5), at(6));
        CHECK(fixture.scheduleAndTake<StartTask>(200).empty());
    }
    SUBCASE("the answer is lost and a report lists the run: the run continues")
    {
        UpstreamReport report { .startedUnixMs = 1000, .running = {}, .ended = {} };
        report.running.push_back({ .task = start.task, .run = start.run, .checkpoint = {} });
        fixture.engine.handleReport(start.upstream, report, at(200), at(201));
        CHECK(fixture.scheduleAndTake<StopTask>(201).empty());
        fixture.reportEnd(start, 1, RunEnd::Done, 300);
        CHECK_EQ(fixture.takeActionsOf<FinishJob>().size(), 1);
    }
    SUBCASE("the run is stopped before it started: the task runs again with a higher run number")
    {
        fixture.engine.handleNeverStarted(start.upstream, start.task, start.run, at(210));
        const auto again = fixture.scheduleAndTake<StartTask>(210);
        REQUIRE_EQ(again.size(), 1);
        CHECK_GT(again[0].run.value, start.run.value);
    }
    SUBCASE("the start was refused as late: the task runs again")
    {
        fixture.engine.handleStartRefused(start.upstream, start.task, start.run, StartRefusal::Late, at(5));
        CHECK_EQ(fixture.scheduleAndTake<StartTask>(5).size(), 1);
    }
    SUBCASE("the start was refused as old: the next run number is higher by more than one")
    {
        fixture.engine.handleStartRefused(start.upstream, start.task, start.run, StartRefusal::OldRun, at(5));
        const auto again = fixture.scheduleAndTake<StartTask>(5);
        REQUIRE_EQ(again.size(), 1);
        CHECK_GT(again[0].run.value, start.run.value + 1);
    }
    SUBCASE("the lease has expired: the task runs again")
    {
        fixture.confirmStart(start, 1);
        fixture.engine.handleLeaseExpired(start.upstream, at(1200));
        CHECK_EQ(fixture.scheduleAndTake<StartTask>(1200).size(), 1);
    }
    SUBCASE("the upstream has a new incarnation: the task runs again")
    {
        fixture.confirmStart(start, 1);
        fixture.engine.handleReport(
            start.upstream, { .startedUnixMs = 2000, .running = {}, .ended = {} }, at(50), at(51));
        auto registration = makeUpstream(start.upstream.value);
        registration.startedUnixMs = 2000;
        fixture.engine.updateUpstream(registration, at(51));
        CHECK(fixture.scheduleAndTake<StartTask>(51).empty());
        fixture.engine.handleReport(
            start.upstream, { .startedUnixMs = 2000, .running = {}, .ended = {} }, at(101), at(102));
        CHECK_EQ(fixture.scheduleAndTake<StartTask>(102).size(), 1);
    }
    SUBCASE("an end is reported twice: it is counted once")
    {
        fixture.confirmStart(start, 1);
        fixture.reportEnd(start, 1, RunEnd::Failed, 50);
        fixture.reportEnd(start, 1, RunEnd::Failed, 60);
        CHECK(fixture.takeActionsOf<FinishJob>().empty());
        CHECK_EQ(fixture.scheduleAndTake<StartTask>(60).size(), 1);
    }
    SUBCASE("a confirmed run is in neither list of two reports: it is lost and the task runs again")
    {
        fixture.confirmStart(start, 1);
        const UpstreamReport empty { .startedUnixMs = 1000, .running = {}, .ended = {} };
        fixture.engine.handleReport(start.upstream, empty, at(50), at(51));
        // The next owner of the shard may be stopping the run.
        CHECK(fixture.scheduleAndTake<StartTask>(51).empty());
        fixture.engine.handleReport(start.upstream, empty, at(100), at(100));
        CHECK(fixture.scheduleAndTake<StartTask>(100).empty());
        fixture.engine.handleReport(start.upstream, empty, at(101), at(102));
        CHECK_EQ(fixture.scheduleAndTake<StartTask>(102).size(), 1);
    }
}

// Guards against exceeding the capacity of an upstream: the registration of an earlier incarnation may be handled after
// a report of the current one.
TEST_CASE("A registration of an earlier incarnation does not discard the runs of the current one")
{
    EngineFixture fixture;
    fixture.addUpstream(makeUpstream("u1", 16'000));
    fixture.engine.handleReport(UpstreamId("u1"), { .startedUnixMs = 2000, .running = {}, .ended = {} }, at(1), at(2));
    auto registration = makeUpstream("u1", 16'000);
    registration.startedUnixMs = 2000;
    fixture.engine.updateUpstream(registration, at(2));
    fixture.submit({ .id = "00000000000000a1", .milliCores = 14'000 }, 3);
    CHECK_EQ(fixture.scheduleAndTake<StartTask>(3).size(), 1);
    fixture.engine.updateUpstream(makeUpstream("u1", 16'000), at(4));
    fixture.submit({ .id = "00000000000000a2", .milliCores = 14'000 }, 5);
    CHECK(fixture.scheduleAndTake<StartTask>(5).empty());
}

// Guards against exceeding the capacity of an upstream: its new incarnation may be smaller.
TEST_CASE("A restarted upstream gets no task before it has registered again")
{
    EngineFixture fixture;
    fixture.addUpstream(makeUpstream("u1", 96'000));
    fixture.engine.handleReport(UpstreamId("u1"), { .startedUnixMs = 2000, .running = {}, .ended = {} }, at(1), at(2));
    fixture.submit({ .tasks = 3, .milliCores = 27'000 }, 3);
    CHECK(fixture.scheduleAndTake<StartTask>(3).empty());
    // A late registration of the earlier incarnation does not count.
    fixture.engine.updateUpstream(makeUpstream("u1", 96'000), at(4));
    CHECK(fixture.scheduleAndTake<StartTask>(4).empty());
    auto registration = makeUpstream("u1", 64'000);
    registration.startedUnixMs = 2000;
    fixture.engine.updateUpstream(registration, at(5));
    CHECK_EQ(fixture.scheduleAndTake<StartTask>(5).size(), 2);
}

// Guards against two concurrent runs of a task: the new incarnation of the upstream accepted the start before the owner
// knew of the restart, and the owner dropped the run on the report or registration that showed the restart.
TEST_CASE("A run that the new incarnation of its upstream accepted continues")
{
    EngineFixture fixture;
    fixture.addUpstream(makeUpstream("u1"));
    fixture.addUpstream(makeUpstream("u2"));
    fixture.submit({}, 0);
    const auto starts = fixture.scheduleAndTake<StartTask>(0);
    REQUIRE_EQ(starts.size(), 1);
    const auto& start = starts[0];
    UpstreamReport listed { .startedUnixMs = 2000, .running = {}, .ended = {} };
    listed.running.push_back({ .task = start.task, .run = start.run, .checkpoint = {} });
    auto registration = makeUpstream(start.upstream.value);
    registration.startedUnixMs = 2000;

    SUBCASE("the report lists the run")
    {
        fixture.confirmStart(start, 10);
        fixture.engine.handleReport(start.upstream, listed, at(20), at(21));
        CHECK(fixture.scheduleAndTake<StopTask>(21).empty());
        fixture.reportEnd(start, 1, RunEnd::Done, 100);
        CHECK_EQ(fixture.takeActionsOf<FinishJob>().size(), 1);
    }
    SUBCASE("the start is not answered and the report lists the run")
    {
        fixture.engine.handleReport(start.upstream, listed, at(20), at(21));
        CHECK(fixture.scheduleAndTake<StopTask>(21).empty());
        fixture.reportEnd(start, 1, RunEnd::Done, 100);
        CHECK_EQ(fixture.takeActionsOf<FinishJob>().size(), 1);
    }
    SUBCASE("the report was requested before the start arrived")
    {
        fixture.engine.handleReport(
            start.upstream, { .startedUnixMs = 2000, .running = {}, .ended = {} }, at(5), at(12));
        fixture.confirmStart(start, 13);
        CHECK(fixture.scheduleAndTake<StartTask>(13).empty());
        fixture.engine.handleReport(start.upstream, listed, at(20), at(21));
        CHECK(fixture.scheduleAndTake<StartTask>(21).empty());
        // Two reports, the stop's grace apart, that were requested after the answer and do not list the run show that
        // it is over.
        const UpstreamReport empty { .startedUnixMs = 2000, .running = {}, .ended = {} };
        fixture.engine.handleReport(start.upstream, empty, at(30), at(31));
        CHECK(fixture.scheduleAndTake<StartTask>(31).empty());
        fixture.engine.handleReport(start.upstream, empty, at(81), at(82));
        CHECK_EQ(fixture.scheduleAndTake<StartTask>(82).size(), 1);
    }
    SUBCASE("the registration is handled first")
    {
        fixture.confirmStart(start, 10);
        fixture.engine.updateUpstream(registration, at(15));
        CHECK(fixture.scheduleAndTake<StartTask>(15).empty());
        fixture.engine.handleReport(start.upstream, listed, at(20), at(21));
        CHECK(fixture.scheduleAndTake<StartTask>(21).empty());
    }
    SUBCASE("the first report of the new incarnation lists the run as ended")
    {
        fixture.confirmStart(start, 10);
        UpstreamReport report { .startedUnixMs = 2000, .running = {}, .ended = {} };
        report.ended.push_back(
            { .sequence = 1, .task = start.task, .run = start.run, .how = RunEnd::Done, .checkpoint = {} });
        fixture.engine.handleReport(start.upstream, report, at(20), at(21));
        CHECK_EQ(fixture.takeActionsOf<FinishJob>().size(), 1);
    }
    SUBCASE("the earlier incarnation listed the run: it is over")
    {
        UpstreamReport before = listed;
        before.startedUnixMs = 1000;
        fixture.engine.handleReport(start.upstream, before, at(5), at(6));
        fixture.engine.updateUpstream(registration, at(15));
        CHECK_EQ(fixture.scheduleAndTake<StartTask>(15).size(), 1);
    }
}

// Guards against exceeding the capacity of an upstream: the new incarnation has seen no fencing token, so it accepts
// starts of an earlier owner until the current owner has requested a report.
TEST_CASE("An upstream that registers again gets no task before it has reported")
{
    EngineFixture fixture;
    fixture.addUpstream(makeUpstream("u1", 16'000));
    auto registration = makeUpstream("u1", 16'000);
    registration.startedUnixMs = 2000;
    fixture.engine.updateUpstream(registration, at(1));
    fixture.submit({ .milliCores = 14'000 }, 2);
    CHECK_FALSE(fixture.engine.isConfirmed(UpstreamId("u1")));
    CHECK(fixture.scheduleAndTake<StartTask>(2).empty());
    UpstreamReport report { .startedUnixMs = 2000, .running = {}, .ended = {} };

    SUBCASE("the next start waits for the end of a run of an earlier owner")
    {
        report.running.push_back({ .task = { .job = JobId("00000000000000ff"), .occurrence = 0, .step = 0, .index = 0 },
            .run = RunNumber(1),
            .checkpoint = {} });
        fixture.engine.handleReport(UpstreamId("u1"), report, at(3), at(4));
        CHECK(fixture.scheduleAndTake<StartTask>(4).empty());
        report.ended.push_back({ .sequence = 1,
            .task = report.running[0].task,
            .run = RunNumber(1),
            .how = RunEnd::Stopped,
            .checkpoint = {} });
        report.running.clear();
        fixture.engine.handleReport(UpstreamId("u1"), report, at(10), at(11));
        CHECK_EQ(fixture.scheduleAndTake<StartTask>(11).size(), 1);
    }
    SUBCASE("one report is enough, because all runs of this owner are known")
    {
        fixture.engine.handleReport(UpstreamId("u1"), report, at(3), at(4));
        CHECK_EQ(fixture.scheduleAndTake<StartTask>(4).size(), 1);
    }
}

// Guards against more attempts than the queue allows.
TEST_CASE("A job fails when a task has reached the maximum number of failed runs")
{
    EngineFixture fixture;
    fixture.addUpstream(makeUpstream("u1"));
    fixture.addUpstream(makeUpstream("u2"));
    fixture.submit({ .maxAttempts = 2 }, 0);
    const auto first = fixture.scheduleAndTake<StartTask>(0);
    REQUIRE_EQ(first.size(), 1);
    fixture.reportEnd(first[0], 1, RunEnd::Failed, 20);
    const auto second = fixture.scheduleAndTake<StartTask>(20);
    REQUIRE_EQ(second.size(), 1);
    CHECK_NE(second[0].upstream, first[0].upstream);
    fixture.reportEnd(second[0], 1, RunEnd::Failed, 40);
    const auto finished = fixture.takeActionsOf<FinishJob>();
    REQUIRE_EQ(finished.size(), 1);
    CHECK_EQ(finished[0].result, JobResult::Failed);
    CHECK(fixture.scheduleAndTake<StartTask>(40).empty());
}

// Guards against an upstream that fails every task immediately and therefore always has free capacity.
TEST_CASE("An upstream that fails the tasks of two jobs gets no tasks for a while")
{
    EngineFixture fixture;
    fixture.addUpstream(makeUpstream("u1"));
    for (int i = 0; i < 2; ++i) {
        fixture.submit({ .id = "00000000000000b" + std::to_string(i), .maxAttempts = 1 }, i * 10);
        const auto starts = fixture.scheduleAndTake<StartTask>(i * 10);
        REQUIRE_EQ(starts.size(), 1);
        fixture.reportEnd(starts[0], static_cast<std::uint64_t>(i) + 1, RunEnd::Failed, i * 10 + 5);
    }
    fixture.submit({ .id = "00000000000000b9" }, 30);
    CHECK(fixture.scheduleAndTake<StartTask>(30).empty());
    CHECK_EQ(fixture.scheduleAndTake<StartTask>(1100).size(), 1);
}

// Guards against starts on upstreams that are shutting down.
TEST_CASE("A draining upstream keeps its runs and gets no new ones")
{
    EngineFixture fixture;
    fixture.addUpstream(makeUpstream("u1"));
    fixture.submit({ .id = "00000000000000a1" }, 0);
    const auto starts = fixture.scheduleAndTake<StartTask>(0);
    REQUIRE_EQ(starts.size(), 1);
    auto info = makeUpstream("u1");
    info.draining = true;
    fixture.engine.updateUpstream(info, at(5));
    fixture.submit({ .id = "00000000000000a2" }, 6);
    CHECK(fixture.scheduleAndTake<StartTask>(6).empty());
    fixture.confirmStart(starts[0], 7);
    fixture.reportEnd(starts[0], 1, RunEnd::Done, 100);
    CHECK_EQ(fixture.takeActionsOf<FinishJob>().size(), 1);
}

// Guards against starting a step before the steps that it depends on are complete.
TEST_CASE("A step starts when all tasks of the steps that it depends on have completed")
{
    EngineFixture fixture;
    fixture.addUpstream(makeUpstream("u1"));
    auto spec = makeSpec({ .tasks = 2 });
    spec.steps.push_back(spec.steps[0]);
    spec.steps[1].count = 1;
    spec.steps[1].after = { 0 };
    fixture.engine.submit(SubmissionId(1), std::make_shared<const JobSpec>(spec), at(0), TimePoint::max());
    const auto starts = fixture.scheduleAndTake<StartTask>(0);
    REQUIRE_EQ(starts.size(), 2);
    fixture.reportEnd(starts[0], 1, RunEnd::Done, 50);
    CHECK(fixture.scheduleAndTake<StartTask>(50).empty());
    fixture.reportEnd(starts[1], 2, RunEnd::Done, 60);
    const auto last = fixture.scheduleAndTake<StartTask>(60);
    REQUIRE_EQ(last.size(), 1);
    CHECK_EQ(last[0].task.step, 1);
}

// Guards against members of a gang that hold capacity while they wait for members that do not fit.
TEST_CASE("A gang starts as a whole or not at all, with one run number")
{
    EngineFixture fixture;
    fixture.addUpstream(makeUpstream("u1", 32'000));
    auto spec = makeSpec({ .tasks = 3, .milliCores = 14'000 });
    spec.steps[0].gang = true;
    fixture.engine.submit(SubmissionId(1), std::make_shared<const JobSpec>(spec), at(0), TimePoint::max());
    CHECK(fixture.scheduleAndTake<StartTask>(0).empty());
    fixture.addUpstream(makeUpstream("u2", 32'000), 5);
    const auto starts = fixture.scheduleAndTake<StartTask>(5);
    REQUIRE_EQ(starts.size(), 3);
    for (const auto& start : starts)
        CHECK_EQ(start.run, starts[0].run);
    fixture.reportEnd(starts[0], 1, RunEnd::Done, 100);
    CHECK_EQ(fixture.takeActionsOf<FinishJob>().size(), 1);
}

// Guards against starts that violate the placement constraints of the job.
TEST_CASE("A task runs only on upstreams with its label, and within the limit of its step for each upstream")
{
    EngineFixture fixture;
    auto other = makeUpstream("u2");
    other.labels = { "b", "r1-2" };
    fixture.addUpstream(makeUpstream("u1"));
    fixture.addUpstream(other);
    auto spec = makeSpec({ .tasks = 2, .milliCores = 1'000 });
    SUBCASE("label")
    {
        spec.steps[0].requiredLabel = "b";
        fixture.engine.submit(SubmissionId(1), std::make_shared<const JobSpec>(spec), at(0), TimePoint::max());
        for (const auto& start : fixture.scheduleAndTake<StartTask>(0))
            CHECK_EQ(start.upstream.value, "u2");
    }
    SUBCASE("at most one task on each upstream")
    {
        spec.steps[0].count = 3;
        spec.steps[0].maxPerUpstream = 1;
        fixture.engine.submit(SubmissionId(1), std::make_shared<const JobSpec>(spec), at(0), TimePoint::max());
        const auto starts = fixture.scheduleAndTake<StartTask>(0);
        REQUIRE_EQ(starts.size(), 2);
        CHECK_NE(starts[0].upstream, starts[1].upstream);
    }
}

// Guards against a job that fails because one upstream does: its only task went back to the upstream that was being
// tried out after a pause, four times within a second, since all others were busy (review case 11).
TEST_CASE("An upstream that fails the first task after a pause is paused again")
{
    EngineFixture fixture;
    fixture.addUpstream(makeUpstream("u1"));
    std::uint64_t sequence = 0;
    // Two tasks that fail pause the upstream.
    fixture.submit({ .id = "00000000000000a1", .tasks = 2, .maxAttempts = 4, .stretch = 100 }, 0);
    for (const auto& start : fixture.scheduleAndTake<StartTask>(10)) {
        fixture.confirmStart(start, 11);
        fixture.reportEnd(start, ++sequence, RunEnd::Failed, 20);
    }
    CHECK(fixture.scheduleAndTake<StartTask>(30).empty());
    fixture.engine.cancel(SubmissionId(1), at(40));
    fixture.submit({ .id = "00000000000000a2", .maxAttempts = 4, .stretch = 100 }, 50);
    const auto tried = fixture.scheduleAndTake<StartTask>(1'100);
    REQUIRE_EQ(tried.size(), 1);
    fixture.confirmStart(tried.front(), 1'101);
    fixture.reportEnd(tried.front(), ++sequence, RunEnd::Failed, 1'110);
    CHECK(fixture.scheduleAndTake<StartTask>(1'120).empty());
    // The pause has doubled.
    CHECK(fixture.scheduleAndTake<StartTask>(3'000).empty());
    CHECK_EQ(fixture.scheduleAndTake<StartTask>(3'200).size(), 1);
}
