#include "EngineFixture.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

using namespace Balsammill;
using namespace Balsammill::Shards;
using namespace Balsammill::Shards::Testing;

namespace {

constexpr std::uint64_t block = 256;

std::shared_ptr<const JobSpec> durable(const JobOptions& options, bool gang = false)
{
    auto spec = makeSpec(options);
    spec.durable = true;
    spec.steps.front().gang = gang;
    return std::make_shared<const JobSpec>(spec);
}

/// The owner with this number in a row of owners, with two upstreams that it may use at once.
struct Owner : EngineFixture {
    explicit Owner(std::uint64_t number)
    {
        engine.setRunNumbers(RunNumber(number * block), RunNumber((number + 1) * block));
        for (const auto* id : { "u1", "u2" })
            addUpstream(makeUpstream(id, 64'000));
    }
};

} // namespace

// Guards against a run number that is used by two owners in a row: neither the start nor the end of the first one's run
// has reached the store, and no report lists it (review case 11).
TEST_CASE("Owners in a row that know nothing of each other's runs start a task with rising run numbers")
{
    for (const bool gang : { false, true }) {
        CAPTURE(gang);
        const auto job = durable({ .tasks = 3, .maxAttempts = 5 }, gang);
        std::map<std::uint32_t, RunNumber> last;
        for (std::uint64_t number = 1; number < 6; ++number) {
            Owner owner(number);
            // What the store has of the job does not change.
            owner.engine.inheritDurable({ .job = job->id }, job, at(0), {});
            std::uint64_t sequence = 0;
            for (const int time : { 10, 20, 30 }) {
                const auto starts = owner.scheduleAndTake<StartTask>(time);
                REQUIRE_EQ(starts.size(), 3);
                for (const auto& start : starts) {
                    CHECK_GT(start.run, last[start.task.index]);
                    CHECK_LE(start.run.value, (number + 1) * block);
                    if (gang)
                        CHECK_EQ(start.run, starts.front().run);
                    last[start.task.index] = start.run;
                }
                for (const auto& start : starts)
                    owner.confirmStart(start, time + 1);
                for (const auto& start : starts)
                    owner.reportEnd(start, ++sequence, RunEnd::Failed, time + 5);
            }
        }
    }
}

// Guards against numbers that begin above 1 for a job that no earlier owner can have started.
TEST_CASE("The runs of a job that the owner itself has accepted begin at 1")
{
    Owner owner(7);
    const auto job = durable({});
    owner.engine.submitDurable({ .job = job->id }, job, at(0));
    const auto starts = owner.scheduleAndTake<StartTask>(10);
    REQUIRE_EQ(starts.size(), 1);
    CHECK_EQ(starts.front().run, RunNumber(1));
}

// Guards against starts with numbers that the next owner may use as well, and against a task that is not started once
// its number is reserved.
TEST_CASE("A task waits for a run number until it is reserved, and others are started meanwhile")
{
    for (const bool gang : { false, true }) {
        CAPTURE(gang);
        Owner owner(1);
        owner.engine.setRunNumbers(RunNumber(256), RunNumber(257));
        const auto job = durable({ .tasks = 2, .maxAttempts = 5 }, gang);
        owner.engine.inheritDurable({ .job = job->id }, job, at(0), {});
        const auto first = owner.scheduleAndTake<StartTask>(10);
        REQUIRE_EQ(first.size(), 2);
        CHECK_EQ(owner.engine.highestNeededRun(), RunNumber(257));
        std::uint64_t sequence = 0;
        for (const auto& start : first)
            owner.confirmStart(start, 11);
        for (const auto& start : first)
            owner.reportEnd(start, ++sequence, RunEnd::Failed, 15);
        owner.submit({ .id = "00000000000000a2" }, 16);
        const auto others = owner.scheduleAndTake<StartTask>(20);
        REQUIRE_EQ(others.size(), 1);
        CHECK_EQ(others.front().task.job.value, "00000000000000a2");
        CHECK_EQ(owner.engine.highestNeededRun(), RunNumber(258));
        owner.engine.extendRunNumbers(RunNumber(258));
        const auto second = owner.scheduleAndTake<StartTask>(30);
        REQUIRE_EQ(second.size(), 2);
        for (const auto& start : second)
            CHECK_EQ(start.run, RunNumber(258));
    }
}

// Guards against an owner of a former version, which hands over higher numbers than are reserved.
TEST_CASE("A start uses higher run numbers than the earlier owner has handed over")
{
    Owner owner(1);
    const auto job = durable({});
    const OccurrenceKey key { .job = job->id };
    owner.engine.inheritDurable(key, job, at(0), {});
    owner.engine.mergeProgress(key, { .steps = { { {} } }, .highestRun = RunNumber(600) }, at(5));
    CHECK(owner.scheduleAndTake<StartTask>(10).empty());
    CHECK_EQ(owner.engine.highestNeededRun(), RunNumber(601));
    owner.engine.extendRunNumbers(RunNumber(1'000));
    const auto starts = owner.scheduleAndTake<StartTask>(20);
    REQUIRE_EQ(starts.size(), 1);
    CHECK_EQ(starts.front().run, RunNumber(601));
}
