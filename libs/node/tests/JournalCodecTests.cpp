#include "durable/JournalCodec.h"

#include <doctest/doctest.h>

using namespace Balsammill;
using namespace Balsammill::Shards;

namespace {

const JobId id { "5c0e7a21d94b36f8" };

std::shared_ptr<const JobSpec> job()
{
    JobSpec spec;
    spec.id = id;
    spec.queue = QueueName("checks");
    spec.payload = std::string("text \0 more", 11);
    spec.durable = true;
    spec.schedule = RepeatSchedule { .count = 3, .firstRunUnixMs = 1'700'000'000'000, .interval = Duration(250'000) };
    spec.steps.resize(2);
    spec.steps[1].after = { 0 };
    return std::make_shared<const JobSpec>(spec);
}

} // namespace

// Guards against fields or progress that are lost or altered when a later owner reads a job from the journal.
TEST_CASE("A job and its progress are unchanged after encoding and decoding")
{
    JobProgress progress { .steps = { std::vector<TaskProgress>(11) }, .highestRun = RunNumber(7) };
    progress.steps[0][0] = { .done = true };
    progress.steps[0][10] = { .done = true };
    progress.steps[0][4] = { .failures = 2, .countedRun = RunNumber(6) };
    progress.steps[0][7]
        = { .failures = 3, .countedRun = RunNumber(2'049), .earlierRuns = { RunNumber(2), RunNumber(1'030) } };
    JournalBatch batch;
    batch.changes.push_back({ .job = id,
        .newSpec = job(),
        .newState
        = JobStateRecord { .state = JobState::Running, .occurrences = { { 0, true, {} }, { 2, false, progress } } } });
    const auto write = encodeBatch(batch);
    REQUIRE_EQ(write.puts.size(), 2);
    std::size_t malformed = 0;
    const auto jobs = decodeJournal(write.puts, malformed);
    CHECK_EQ(malformed, 0);
    REQUIRE_EQ(jobs.size(), 1);
    const auto& read = jobs.at(id);
    REQUIRE(read.spec != nullptr);
    CHECK_EQ(read.spec->payload, job()->payload);
    CHECK(read.spec->durable);
    REQUIRE(read.spec->schedule);
    CHECK_EQ(read.spec->schedule->firstRunUnixMs, 1'700'000'000'000);
    CHECK_EQ(read.spec->steps[1].after, std::vector<std::uint32_t> { 0 });
    REQUIRE(read.state);
    CHECK(read.state->state == JobState::Running);
    REQUIRE_EQ(read.state->occurrences.size(), 2);
    CHECK(read.state->occurrences[0].completed);
    CHECK(read.state->occurrences[1].progress == progress);
}

TEST_CASE("A finished job's specification is removed at once, and its state when the job expires")
{
    JournalBatch batch;
    batch.changes.push_back({ .job = id,
        .newState = JobStateRecord { .state = JobState::Completed, .endedUnixMs = 5 },
        .removeSpec = true });
    batch.changes.push_back({ .job = JobId("a"), .removeState = true });
    const auto write = encodeBatch(batch);
    REQUIRE_EQ(write.puts.size(), 1);
    CHECK_EQ(write.removals, std::vector<std::string> { "5c0e7a21d94b36f8/spec", "a/state" });
}

// Guards against a single damaged row that keeps a new owner from starting.
TEST_CASE("Malformed journal rows are counted and skipped")
{
    std::size_t malformed = 0;
    const auto jobs = decodeJournal({ { .key = "a/spec", .value = "\xff\xff\xff" }, { .key = "unknown", .value = "" },
                                        { .key = "/state", .value = "" } },
        malformed);
    CHECK(jobs.empty());
    CHECK_EQ(malformed, 3);
}
