#include "EngineFixture.h"

#include <doctest/doctest.h>

using namespace Balsammill;
using namespace Balsammill::Shards;
using namespace Balsammill::Shards::Testing;

namespace {

const UpstreamId u1 { "u1" };
const UpstreamId u2 { "u2" };

std::shared_ptr<const JobSpec> durable(const JobOptions& options)
{
    auto spec = makeSpec(options);
    spec.durable = true;
    return std::make_shared<const JobSpec>(spec);
}

OccurrenceKey keyOf(const JobOptions& options) { return { .job = JobId(options.id) }; }

UpstreamReport listing(const std::vector<RunningTask>& running, const std::vector<EndedTask>& ended = {})
{
    return { .startedUnixMs = 1000, .running = running, .ended = ended };
}

TaskKey task(std::uint32_t index) { return { .job = JobId(JobOptions {}.id), .index = index }; }

} // namespace

// Guards against acknowledging an end before it is in the store: the upstream drops the end, and if the owner is lost
// then, a later owner runs the task again.
TEST_CASE("The end of a task of a durable job is acknowledged only once it is recorded")
{
    EngineFixture fixture;
    fixture.addUpstream(makeUpstream("u1"));
    fixture.engine.submitDurable(keyOf({}), durable({ .tasks = 2 }), at(0));
    const auto starts = fixture.scheduleAndTake<StartTask>(0);
    REQUIRE_EQ(starts.size(), 2);
    for (const auto& start : starts)
        fixture.confirmStart(start, 1);
    fixture.reportEnd(starts[0], 1, RunEnd::Done, 100);
    auto changes = fixture.takeActionsOf<ProgressChanged>();
    REQUIRE_EQ(changes.size(), 1);
    CHECK_EQ(fixture.engine.lastEndToAcknowledge(u1), 0);
    CHECK(fixture.engine.hasUnrecordedEnds(u1));
    const auto progress = fixture.engine.progressOf(keyOf({}));
    REQUIRE(progress);
    CHECK(progress->steps[0][0].done);
    CHECK_FALSE(progress->steps[0][1].done);
    fixture.engine.handleRecorded(changes[0].job, changes[0].mark);
    CHECK_EQ(fixture.engine.lastEndToAcknowledge(u1), 1);
    CHECK_FALSE(fixture.engine.hasUnrecordedEnds(u1));
    // The same holds for the last end of the job.
    fixture.reportEnd(starts[1], 2, RunEnd::Done, 120);
    const auto actions = fixture.engine.takeActions();
    CHECK_EQ(fixture.engine.lastEndToAcknowledge(u1), 1);
    bool finished = false;
    for (const auto& action : actions) {
        if (const auto* end = std::get_if<FinishJob>(&action))
            finished = end->result == JobResult::Completed && end->job == keyOf({});
        if (const auto* change = std::get_if<ProgressChanged>(&action))
            fixture.engine.handleRecorded(change->job, change->mark);
    }
    CHECK(finished);
    CHECK_EQ(fixture.engine.lastEndToAcknowledge(u1), 2);
}

// Guards against two concurrent runs of a task: the failed owner may have started runs that are not reported yet.
TEST_CASE("An inherited job adopts reported runs and starts other tasks once the failed owner's leases are over")
{
    EngineFixture fixture;
    fixture.engine.delayInheritedUntil(at(1'200));
    fixture.engine.setRunNumbers(RunNumber(256), RunNumber(512));
    fixture.engine.inheritDurable(keyOf({}), durable({ .tasks = 3 }), at(0), {});
    fixture.engine.updateUpstream(makeUpstream("u1"), at(0));
    const RunningTask running { .task = task(1), .run = RunNumber(4), .checkpoint = {} };
    for (const int time : { 10, 80 })
        fixture.engine.handleReport(u1, listing({ running }), at(time), at(time));
    CHECK(fixture.scheduleAndTake<StopTask>(80).empty());
    CHECK(fixture.scheduleAndTake<StartTask>(90).empty());
    CHECK(fixture.engine.isBusy(u1));
    const auto starts = fixture.scheduleAndTake<StartTask>(1'200);
    REQUIRE_EQ(starts.size(), 2);
    for (const auto& start : starts) {
        CHECK_NE(start.task.index, 1);
        CHECK_GT(start.run.value, 256);
    }
}

// Guards against running a completed task again, and against counting an end twice: upstreams list an end until it is
// acknowledged.
TEST_CASE("Each end of a run of a failed owner is counted once")
{
    EngineFixture fixture;
    fixture.engine.delayInheritedUntil(at(1'200));
    // The failure of run 1 is recorded, but not acknowledged.
    const JobProgress known { .steps = { { { .failures = 1, .countedRun = RunNumber(1) }, {} } } };
    fixture.engine.inheritDurable(keyOf({}), durable({ .tasks = 2, .maxAttempts = 2 }), at(0), known);
    fixture.engine.updateUpstream(makeUpstream("u1"), at(0));
    const std::vector<EndedTask> ended {
        { .sequence = 1, .task = task(0), .run = RunNumber(1), .how = RunEnd::Failed, .checkpoint = {} },
        { .sequence = 2, .task = task(1), .run = RunNumber(1), .how = RunEnd::Done, .checkpoint = {} },
        { .sequence = 3, .task = task(0), .run = RunNumber(2), .how = RunEnd::Done, .checkpoint = {} },
    };
    for (const int time : { 10, 80 })
        fixture.engine.handleReport(u1, listing({}, ended), at(time), at(time));
    const auto actions = fixture.engine.takeActions();
    std::size_t changes = 0;
    std::vector<JobResult> results;
    for (const auto& action : actions) {
        changes += std::holds_alternative<ProgressChanged>(action) ? 1 : 0;
        if (const auto* finished = std::get_if<FinishJob>(&action))
            results.push_back(finished->result);
    }
    CHECK_EQ(changes, 2);
    CHECK_EQ(results, std::vector { JobResult::Completed });
    // Sequence 1 is already in the store, the others are not.
    CHECK_EQ(fixture.engine.lastEndToAcknowledge(u1), 1);
}

// Guards against a long-running task that is not restarted, and against a restart loop on an upstream where it cannot
// run.
TEST_CASE("A long-running task is restarted however it ends, after a backoff if it ended soon")
{
    EngineFixture fixture;
    fixture.addUpstream(makeUpstream("u1"));
    fixture.addUpstream(makeUpstream("u2"));
    auto spec = makeSpec({ .maxAttempts = 1 });
    spec.durable = spec.longRunning = true;
    fixture.engine.submitDurable(keyOf({}), std::make_shared<const JobSpec>(spec), at(0));
    auto starts = fixture.scheduleAndTake<StartTask>(0);
    REQUIRE_EQ(starts.size(), 1);
    const auto firstUpstream = starts[0].upstream;
    fixture.confirmStart(starts[0], 1);
    fixture.reportEnd(starts[0], 1, RunEnd::Failed, 50);
    CHECK(fixture.takeActionsOf<FinishJob>().empty());
    CHECK(fixture.scheduleAndTake<StartTask>(60).empty());
    starts = fixture.scheduleAndTake<StartTask>(160);
    REQUIRE_EQ(starts.size(), 1);
    CHECK_NE(starts[0].upstream, firstUpstream);
    fixture.confirmStart(starts[0], 161);
    fixture.engine.advance(at(60'000));
    CHECK(fixture.takeActionsOf<StopTask>().empty());
    fixture.reportEnd(starts[0], 1, RunEnd::Done, 60'000);
    CHECK_EQ(fixture.scheduleAndTake<StartTask>(60'001).size(), 1);
}

// Guards against dropping an accepted durable job under overload.
TEST_CASE("A durable job that is late is placed after other jobs and is not dropped")
{
    EngineFixture fixture;
    fixture.addUpstream(makeUpstream("u1", 16'000));
    fixture.engine.submitDurable(keyOf({}), durable({ .milliCores = 14'000 }), at(0));
    fixture.submit({ .id = "00000000000000b1", .milliCores = 14'000 }, 9'990);
    fixture.engine.advance(at(10'000));
    CHECK(fixture.takeActionsOf<FinishJob>().empty());
    const auto starts = fixture.scheduleAndTake<StartTask>(10'000);
    REQUIRE_EQ(starts.size(), 1);
    CHECK_EQ(starts[0].task.job, JobId("00000000000000b1"));
    fixture.confirmStart(starts[0], 10'001);
    fixture.reportEnd(starts[0], 1, RunEnd::Done, 10'100);
    CHECK_EQ(fixture.scheduleAndTake<StartTask>(10'100).size(), 1);
}

// Guards against tasks of a cancelled job that keep running or start later.
TEST_CASE("A cancelled durable job starts no tasks, and its runs are stopped")
{
    EngineFixture fixture;
    fixture.addUpstream(makeUpstream("u1", 16'000));
    fixture.engine.submitDurable(keyOf({}), durable({ .tasks = 2, .milliCores = 14'000 }), at(0));
    const auto starts = fixture.scheduleAndTake<StartTask>(0);
    REQUIRE_EQ(starts.size(), 1);
    fixture.confirmStart(starts[0], 1);
    fixture.engine.cancelDurable(JobId(JobOptions {}.id), at(10));
    CHECK_EQ(fixture.takeActionsOf<StopTask>().size(), 1);
    fixture.reportEnd(starts[0], 1, RunEnd::Stopped, 50);
    CHECK(fixture.scheduleAndTake<StartTask>(60).empty());
    CHECK_EQ(fixture.engine.lastEndToAcknowledge(u1), 1);
}

// Guards against a completed task that a later owner starts again: the job had failed with another occurrence, the end
// was acknowledged at once, and the owner ended before the job's final state was stored.
TEST_CASE("Ends of the other occurrences of a failed job are acknowledged once its final state is stored")
{
    EngineFixture fixture;
    fixture.addUpstream(makeUpstream("u1"));
    const auto spec = durable({ .maxAttempts = 1 });
    const OccurrenceKey failing { .job = spec->id, .occurrence = 0 };
    const OccurrenceKey other { .job = spec->id, .occurrence = 1 };
    for (const auto& key : { failing, other })
        fixture.engine.submitDurable(key, spec, at(0));
    const auto starts = fixture.scheduleAndTake<StartTask>(10);
    REQUIRE_EQ(starts.size(), 2);
    for (const auto& start : starts)
        fixture.confirmStart(start, 11);
    const auto& first = starts[starts[0].task.occurrenceKey() == failing ? 0 : 1];
    const auto& second = starts[starts[0].task.occurrenceKey() == failing ? 1 : 0];
    fixture.reportEnd(first, 1, RunEnd::Failed, 20);
    REQUIRE_EQ(fixture.takeActionsOf<FinishJob>().size(), 1);
    fixture.engine.failDurable(spec->id, at(20));
    const auto changes = fixture.takeActionsOf<ProgressChanged>();
    fixture.engine.handleRecorded({ { .job = failing, .mark = ProgressMark(1) } });
    fixture.reportEnd(second, 2, RunEnd::Done, 30);
    CHECK_EQ(fixture.engine.lastEndToAcknowledge(u1), 1);
    fixture.engine.handleRecorded(changes);
    CHECK_EQ(fixture.engine.lastEndToAcknowledge(u1), 2);
}
