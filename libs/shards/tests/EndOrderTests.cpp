#include "EngineFixture.h"

#include <doctest/doctest.h>

using namespace Balsammill;
using namespace Balsammill::Shards;
using namespace Balsammill::Shards::Testing;

namespace {

/// An owner that has taken over a job of one task, on two upstreams, after the former owners' leases are over.
struct Successor : EngineFixture {
    static constexpr int leasesOverAt = 1'200;
    static constexpr std::uint32_t maxAttempts = 3;
    const JobOptions options { .maxAttempts = maxAttempts };
    const TaskKey task { .job = JobId(options.id) };
    std::map<UpstreamId, UpstreamReport> reports;
    std::uint64_t lastEnd { 0 };

    Successor()
    {
        auto spec = makeSpec(options);
        spec.durable = true;
        engine.delayInheritedUntil(at(leasesOverAt));
        engine.inheritDurable({ .job = spec.id }, std::make_shared<const JobSpec>(spec), at(0), {});
        for (const auto* id : { "u1", "u2" }) {
            engine.updateUpstream(makeUpstream(id), at(0));
            reports[UpstreamId(id)].startedUnixMs = makeUpstream(id).startedUnixMs;
        }
    }

    void report(const std::string& upstream, int ms)
    {
        engine.handleReport(UpstreamId(upstream), reports[UpstreamId(upstream)], at(ms), at(ms));
    }

    /// Reports that confirm both upstreams.
    void reportAll(int ms)
    {
        for (const int time : { ms - 100, ms }) {
            for (const auto* id : { "u1", "u2" })
                report(id, time);
        }
    }

    void run(const std::string& upstream, std::uint64_t number)
    {
        reports[UpstreamId(upstream)].running = { { .task = task, .run = RunNumber(number), .checkpoint = {} } };
    }

    void end(const std::string& upstream, std::uint64_t number, RunEnd how)
    {
        auto& report = reports[UpstreamId(upstream)];
        report.running.clear();
        report.ended.push_back(
            { .sequence = ++lastEnd, .task = task, .run = RunNumber(number), .how = how, .checkpoint = {} });
    }

    StartTask start(int ms)
    {
        const auto starts = scheduleAndTake<StartTask>(ms);
        REQUIRE_EQ(starts.size(), 1);
        engine.handleStarted(starts[0].upstream, starts[0].task, starts[0].run, at(ms));
        return starts[0];
    }

    std::uint32_t failures() const { return engine.progressOf({ .job = task.job })->steps[0][0].failures; }

    std::vector<JobResult> results()
    {
        std::vector<JobResult> results;
        for (const auto& finished : takeActionsOf<FinishJob>())
            results.push_back(finished.result);
        return results;
    }
};

} // namespace

// Guards against a job that never ends: the run that this owner started had the number of a run whose failure it had
// learned of from an upstream, its end counted as repeated, and the task stayed active.
TEST_CASE("A run that is started after the end of a former owner's run completes the task")
{
    Successor owner;
    owner.end("u1", 9, RunEnd::Failed);
    owner.reportAll(Successor::leasesOverAt);
    const auto start = owner.start(Successor::leasesOverAt);
    CHECK_GT(start.run.value, 9);
    owner.end(start.upstream.value, start.run.value, RunEnd::Done);
    owner.report(start.upstream.value, 1'300);
    CHECK_EQ(owner.results(), std::vector { JobResult::Completed });
}

// Guards against a task that stays active although no run of it is left: the run that ended had the number of a failure
// that a former owner has stored.
TEST_CASE("The end of a tracked run is applied although a run of the same number has been counted")
{
    Successor owner;
    owner.reportAll(Successor::leasesOverAt);
    const auto start = owner.start(Successor::leasesOverAt);
    owner.engine.mergeProgress({ .job = owner.task.job },
        { .steps = { { { .failures = 1, .countedRun = start.run } } }, .highestRun = start.run },
        at(Successor::leasesOverAt));
    SUBCASE("failed")
    {
        owner.end(start.upstream.value, start.run.value, RunEnd::Failed);
        owner.report(start.upstream.value, 1'300);
        CHECK_GT(owner.start(1'300).run.value, start.run.value);
    }
    SUBCASE("done")
    {
        owner.end(start.upstream.value, start.run.value, RunEnd::Done);
        owner.report(start.upstream.value, 1'300);
        CHECK_EQ(owner.results(), std::vector { JobResult::Completed });
    }
}

// Guards against a failed run that is not counted, because the failure of a later run has been counted before it.
TEST_CASE("Each failed run counts once in whatever order the ends of several owners' runs arrive")
{
    Successor owner;
    owner.end("u2", 1'033, RunEnd::Failed);
    owner.reportAll(1'100);
    CHECK_EQ(owner.failures(), 1);
    owner.end("u1", 9, RunEnd::Failed);
    owner.report("u1", 1'150);
    CHECK_EQ(owner.failures(), 2);
    // The leases are over, so that all ends are handled again.
    owner.engine.handleLeaseExpired(UpstreamId("u1"), at(1'160));
    owner.engine.handleLeaseExpired(UpstreamId("u2"), at(1'160));
    owner.report("u1", 1'170);
    owner.report("u2", 1'170);
    CHECK_EQ(owner.failures(), 2);
    CHECK(owner.results().empty());
    CHECK_GT(owner.start(Successor::leasesOverAt).run.value, 1'033);
}

// Guards against a second run of a task that is done: the upstream on which it ended was heard of only after a later
// run had failed.
TEST_CASE("A run that has ended as done completes the task although a later run has failed")
{
    Successor owner;
    owner.end("u2", 1'033, RunEnd::Failed);
    owner.reportAll(1'100);
    owner.end("u1", 9, RunEnd::Done);
    owner.report("u1", 1'150);
    CHECK_EQ(owner.results(), std::vector { JobResult::Completed });
}

// Guards against a second run of a task that is done: the end of a run that the owner was stopping was dropped, and
// acknowledged.
TEST_CASE("A run of a durable job that is being stopped but ends as done completes the task")
{
    Successor owner;
    owner.end("u1", 9, RunEnd::Failed);
    owner.run("u1", 9);
    owner.reportAll(1'100);
    owner.run("u1", 12);
    owner.run("u2", 11);
    owner.report("u1", 1'110);
    owner.report("u2", 1'110);
    const auto stops = owner.takeActionsOf<StopTask>();
    REQUIRE_FALSE(stops.empty());
    CHECK_EQ(stops.back().run.value, 11);
    owner.end("u2", 11, RunEnd::Done);
    owner.report("u2", 1'150);
    CHECK_EQ(owner.results(), std::vector { JobResult::Completed });
}

// Guards against a run number that is used again after an older run of the task has been adopted.
TEST_CASE("A task never gets a lower run number than one that its owner has learned of")
{
    Successor owner;
    owner.engine.expectRuns({ .job = owner.task.job },
        { { .step = 0, .index = 0, .run = RunNumber(40), .upstream = UpstreamId("u2"), .startSentAt = at(0) } },
        at(Successor::leasesOverAt));
    owner.run("u1", 20);
    owner.reportAll(1'100);
    owner.end("u1", 20, RunEnd::Failed);
    owner.report("u1", 1'150);
    CHECK_GT(owner.start(Successor::leasesOverAt).run.value, 40);
}
