#include "durable/JournalCodec.h"

#include "balsammill/internal/shard.pb.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

using namespace Balsammill;
using namespace Balsammill::Shards;

namespace {

const JobId id { "5c0e7a21d94b36f8" };
constexpr std::size_t rowBytes = 65'536;
constexpr std::int64_t firstRunUnixMs = 1'700'000'000'000;
constexpr std::int64_t allDueUnixMs = firstRunUnixMs + 1'000'000'000'000;

std::shared_ptr<const JobSpec> repeatedJob(std::uint32_t occurrences, std::uint32_t tasks)
{
    JobSpec spec;
    spec.id = id;
    spec.queue = QueueName("checks");
    spec.maxAttempts = 3;
    spec.payload = "text";
    spec.durable = true;
    spec.schedule = RepeatSchedule {
        .count = occurrences, .firstRunUnixMs = firstRunUnixMs, .interval = std::chrono::seconds(1)
    };
    spec.steps.resize(1);
    spec.steps[0].count = tasks;
    return std::make_shared<const JobSpec>(spec);
}

DurableJobTable::Options tableOptions()
{
    return { .stateLimits
        = [](const JobSpec& spec) { return storedStateLimits(spec, Platform::maxValueBytes(rowBytes)).value(); } };
}

/// A shard's journal in memory, which rejects rows as the store does.
struct Journal {
    std::map<std::string, std::string> rows;
    std::size_t largest { 0 };
    std::size_t writtenBytes { 0 };

    void write(const ShardJournal::Write& write)
    {
        for (const auto& put : write.puts) {
            rows[put.key] = put.value;
            largest = std::max(largest, put.value.size());
            writtenBytes += put.value.size();
        }
        for (const auto& key : write.removals)
            rows.erase(key);
    }
    std::map<JobId, JournaledJob> read() const
    {
        std::vector<ShardJournal::Row> all;
        for (const auto& [key, value] : rows)
            all.push_back({ .key = key, .value = value });
        std::size_t malformed = 0;
        auto jobs = decodeJournal(all, malformed);
        CHECK_EQ(malformed, 0);
        return jobs;
    }
};

/// Every task of an open occurrence has failed once, which takes the most space.
std::optional<JobProgress> failedProgress(const JobSpec& spec)
{
    const TaskProgress failed { .failures = spec.maxAttempts, .countedRun = RunNumber((1U << 28U) - 1) };
    JobProgress progress { .steps = {}, .highestRun = failed.countedRun };
    for (const auto& step : spec.steps)
        progress.steps.emplace_back(step.count, failed);
    return progress;
}

void writeAll(DurableJobTable& table, const JobSpec& spec, Journal& journal)
{
    while (table.hasChanges()) {
        const auto batch = table.takeBatch([&spec](const OccurrenceKey&) { return failedProgress(spec); });
        journal.write(encodeBatch(batch));
        table.handleWritten(batch);
    }
}

/// As failedProgress(), with all run numbers, as far apart as possible.
JobProgress progressWithEarlierRuns(const JobSpec& spec)
{
    auto progress = *failedProgress(spec);
    for (auto& step : progress.steps) {
        for (auto& task : step)
            task.earlierRuns = { RunNumber(1), RunNumber(2) };
    }
    return progress;
}

/// Runs all occurrences that become due until only those are left that stay open.
std::set<std::uint32_t> runOccurrences(DurableJobTable& table, const JobSpec& spec, Journal& journal,
    const std::function<bool(std::uint32_t)>& staysOpen, std::mt19937& random)
{
    std::set<std::uint32_t> open;
    std::uint64_t mark = 0;
    for (auto due = table.takeDue(allDueUnixMs); !due.empty(); due = table.takeDue(allDueUnixMs)) {
        std::shuffle(due.begin(), due.end(), random);
        for (const auto& each : due) {
            table.recordProgress({ .job = each.key, .mark = ProgressMark(++mark) });
            open.insert(each.key.occurrence);
        }
        writeAll(table, spec, journal);
        for (const auto& each : due) {
            if (staysOpen(each.key.occurrence))
                continue;
            table.recordFinished(each.key, JobResult::Completed, 0);
            open.erase(each.key.occurrence);
        }
        writeAll(table, spec, journal);
    }
    return open;
}

} // namespace

// Guards against a state that outgrows a row of the store with the numbers of failed runs, and against numbers that are
// left out although they fit.
TEST_CASE("The earlier runs of failed tasks are stored if the state fits into a row with them")
{
    const auto limit = Platform::maxValueBytes(rowBytes);
    for (const auto tasks : { 100U, 3'800U }) {
        CAPTURE(tasks);
        const auto spec = repeatedJob(1, tasks);
        REQUIRE(storedStateLimits(*spec, limit));
        const auto progress = progressWithEarlierRuns(*spec);
        Journal journal;
        journal.write(encodeChange({ .job = id,
                                       .newSpec = spec,
                                       .newState = JobStateRecord { .state = JobState::Running,
                                           .occurrences = { { .occurrence = 0, .progress = progress } } } },
            limit));
        CHECK_LE(journal.largest, limit);
        const auto read = journal.read().at(id).state->occurrences[0].progress;
        CHECK(read == (tasks == 100U ? progress : *failedProgress(*spec)));
    }
}

// Guards against a state that outgrows a row of the store with the number of completed occurrences: from then on
// nothing of the job's shard was stored (review case 13).
TEST_CASE("The stored state of a repeated job fits into a row in any order in which its occurrences end")
{
    const std::pair<const char*, std::function<bool(std::uint32_t)>> orders[] = {
        { "all complete but the last", [](std::uint32_t k) { return k + 1 == 10'000 || k + 1 == 100'000; } },
        { "every second stays open", [](std::uint32_t k) { return k % 2 == 0; } },
        { "the first stays open", [](std::uint32_t k) { return k == 0; } },
        { "every hundredth stays open", [](std::uint32_t k) { return k % 100 == 0; } },
    };
    for (const auto occurrences : { 10'000U, 100'000U }) {
        for (const auto tasks : { 1U, 8U, 1'200U }) {
            if (tasks == 1'200U && occurrences == 100'000U)
                continue; // Takes minutes, and adds only to the bitmap.
            for (const auto& [name, staysOpen] : orders) {
                CAPTURE(occurrences);
                CAPTURE(tasks);
                const std::string order(name);
                CAPTURE(order);
                std::mt19937 random(13);
                const auto spec = repeatedJob(occurrences, tasks);
                DurableJobTable table(tableOptions());
                Journal journal;
                table.submit(spec);
                writeAll(table, *spec, journal);
                const auto open = runOccurrences(table, *spec, journal, staysOpen, random);
                CHECK_LE(journal.largest, Platform::maxValueBytes(rowBytes));
                CHECK_FALSE(open.empty());

                // A later owner continues the occurrences that are open, and no completed one.
                const auto stored = journal.read().at(id);
                REQUIRE(stored.spec != nullptr);
                CHECK_EQ(stored.spec->schedule->firstRunUnixMs, firstRunUnixMs);
                DurableJobTable next(tableOptions());
                next.restore(id, stored.spec, stored.state);
                std::set<std::uint32_t> continued;
                for (const auto& due : next.takeDue(allDueUnixMs)) {
                    continued.insert(due.key.occurrence);
                    CHECK(due.inherited.has_value());
                }
                CHECK_EQ(continued, open);

                // The job ends once the others have ended too.
                for (const auto each : open)
                    next.recordFinished({ .job = id, .occurrence = each }, JobResult::Completed, 0);
                writeAll(next, *spec, journal);
                runOccurrences(
                    next, *spec, journal, [](std::uint32_t) { return false; }, random);
                writeAll(next, *spec, journal);
                CHECK(next.stateOf(id) == JobState::Completed);
                CHECK_EQ(journal.rows.size(), 1);
                CHECK_LE(journal.largest, Platform::maxValueBytes(rowBytes));
            }
        }
    }
}

// Guards against a bound that is lower than the state it stands for.
TEST_CASE("The limits of a stored state hold for the largest state that they permit")
{
    std::mt19937 random(55);
    for (int i = 0; i < 200; ++i) {
        JobSpec spec = *repeatedJob(1 + random() % 30'000, 1);
        spec.maxAttempts = 1 + random() % 1'000;
        spec.steps.resize(1 + random() % 5);
        for (auto& step : spec.steps)
            step.count = 1 + random() % 400;
        const auto limits = storedStateLimits(spec, Platform::maxValueBytes(rowBytes));
        if (!limits)
            continue;
        const auto open = std::min(limits->maxOpenOccurrences, spec.schedule->count);
        const auto listed = std::min(limits->maxListedCompletions, spec.schedule->count - open);
        JobStateRecord plain { .state = JobState::Running };
        JobStateRecord compact { .state = JobState::Running, .completions = CompletedOccurrences() };
        for (std::uint32_t k = 0; k < open; ++k) {
            plain.occurrences.push_back(
                { .occurrence = spec.schedule->count - 1 - k, .progress = *failedProgress(spec) });
            compact.occurrences.push_back(plain.occurrences.back());
        }
        for (std::uint32_t k = 0; k < listed; ++k)
            plain.occurrences.push_back({ .occurrence = spec.schedule->count - 1 - open - k, .completed = true });
        for (std::uint32_t k = 0; k + open < spec.schedule->count; ++k) {
            if (k % 2 == 1 || k + open + 1 == spec.schedule->count)
                compact.completions->insert(k);
        }
        for (const auto& record : { plain, compact }) {
            const auto write = encodeChange({ .job = id, .newState = record });
            CHECK_LE(write.puts.front().value.size(), Platform::maxValueBytes(rowBytes));
        }
    }
}

// Guards against a job that is accepted although one of its rows can become too large for the store.
TEST_CASE("A job whose specification or state cannot fit into a row is not storable")
{
    const auto limit = Platform::maxValueBytes(rowBytes);
    CHECK(storedStateLimits(*repeatedJob(100'000, 1'200), limit));
    CHECK_FALSE(storedStateLimits(*repeatedJob(100, 20'000), limit));
    CHECK_FALSE(storedStateLimits(*repeatedJob(1'000'000, 1), limit));
    auto manyLabels = *repeatedJob(1, 1);
    manyLabels.steps.resize(20);
    for (auto& step : manyLabels.steps)
        step.requiredLabel = std::string(4'000, 'x');
    CHECK_FALSE(storedStateLimits(manyLabels, limit));
    manyLabels.steps.resize(10);
    CHECK(storedStateLimits(manyLabels, limit));
    // The exact size decides where the estimate is too high.
    auto exact = *repeatedJob(1, 1);
    exact.payload = std::string(limit - 300, 'x');
    CHECK(storedStateLimits(exact, limit));
    exact.payload.resize(limit);
    CHECK_FALSE(storedStateLimits(exact, limit));
}

// Guards against work for each completed occurrence that grows with their number.
TEST_CASE("What is written for a repeated job grows with its occurrences and not with their square")
{
    const auto bytesOf = [](std::uint32_t occurrences) {
        std::mt19937 random(1);
        const auto spec = repeatedJob(occurrences, 1);
        DurableJobTable table(tableOptions());
        Journal journal;
        table.submit(spec);
        runOccurrences(
            table, *spec, journal, [](std::uint32_t) { return false; }, random);
        writeAll(table, *spec, journal);
        runOccurrences(
            table, *spec, journal, [](std::uint32_t) { return false; }, random);
        return journal.writtenBytes;
    };
    CHECK_LE(bytesOf(100'000), 15 * bytesOf(10'000));
}

// Guards against completed occurrences that run again while entries of a former version own the shard, which do not
// know the compact form.
TEST_CASE("A former version reads a compact state as a job of which no occurrence is due")
{
    const auto spec = repeatedJob(10'000, 1);
    JournalChange change { .job = id, .newSpec = spec, .newState = JobStateRecord { .state = JobState::Running } };
    change.newState->completions = CompletedOccurrences(5'000, "\x05");
    change.newState->occurrences.push_back({ .occurrence = 5'001, .progress = *failedProgress(*spec) });
    const auto write = encodeChange(change);
    REQUIRE_EQ(write.puts.size(), 2);
    balsammill::internal::ShardJob job;
    REQUIRE(job.ParseFromString(write.puts[0].value));
    // What a former version reads: a schedule that begins after any time of a running system, and the open occurrences.
    CHECK_GT(job.schedule().first_run_unix_ms(), allDueUnixMs);
    CHECK_EQ(job.schedule().count(), 10'000);
    balsammill::internal::StoredJobState state;
    REQUIRE(state.ParseFromString(write.puts[1].value));
    CHECK_EQ(state.state(), balsammill::internal::StoredJobState::RUNNING);
    REQUIRE_EQ(state.occurrences_size(), 1);
    CHECK_EQ(state.occurrences(0).occurrence(), 5'001);

    // Its own cancellation replaces the state and removes the specification, and this version reads that.
    std::size_t malformed = 0;
    const auto cancelled
        = encodeChange({ .job = id, .newState = JobStateRecord { .state = JobState::Cancelled, .endedUnixMs = 7 } });
    const auto jobs = decodeJournal(cancelled.puts, malformed);
    CHECK(jobs.at(id).state->state == JobState::Cancelled);
    CHECK_FALSE(jobs.at(id).state->completions.has_value());
}

// Guards against an upgrade that loses the progress of a job whose state lists each completed occurrence.
TEST_CASE("The state of a job that a former version has stored is read, and replaced by the compact form when it grows")
{
    const auto spec = repeatedJob(10'000, 1);
    JobStateRecord record { .state = JobState::Running };
    for (std::uint32_t k = 0; k < 9'000; ++k)
        record.occurrences.push_back({ .occurrence = k, .completed = true });
    Journal journal;
    journal.write(encodeChange({ .job = id, .newSpec = spec, .newState = record }));
    const auto stored = journal.read().at(id);
    DurableJobTable table(tableOptions());
    table.restore(id, stored.spec, stored.state);
    const auto due = table.takeDue(allDueUnixMs);
    REQUIRE_FALSE(due.empty());
    CHECK_EQ(due.front().key.occurrence, 9'000);
    table.recordFinished(due.front().key, JobResult::Completed, 0);
    const auto batch = table.takeBatch([](const OccurrenceKey&) { return std::nullopt; });
    REQUIRE_EQ(batch.changes.size(), 1);
    CHECK(batch.changes[0].hasCompactState());
    // Both rows change together, so that no version reads one form with the other.
    CHECK(batch.changes[0].newSpec != nullptr);
    table.handleWritten(batch);
    journal.write(encodeBatch(batch));
    const auto next = journal.read().at(id);
    REQUIRE(next.state->completions);
    CHECK_EQ(next.state->completions->count(), 9'001);
    CHECK_EQ(next.spec->schedule->firstRunUnixMs, firstRunUnixMs);
}

// Guards against an owner that does not continue an occurrence that the former one has started: its runs would be
// stopped, and its ends acknowledged without a record. The former owner may have handled ends that it has not stored.
TEST_CASE(
    "A later owner takes every occurrence that an earlier one may have started and that is not stored as completed")
{
    std::mt19937 random(55);
    for (int round = 0; round < 60; ++round) {
        CAPTURE(round);
        const auto spec = repeatedJob(400, 250);
        const auto limit = storedStateLimits(*spec, Platform::maxValueBytes(rowBytes))->maxOpenOccurrences;
        REQUIRE_LT(limit, 20);
        Journal journal;
        bool withinLimits = true;
        std::set<std::uint32_t> started;
        DurableJobTable first(tableOptions());
        first.submit(spec);
        writeAll(first, *spec, journal);
        // The first owner is one of a former version in every second round: it has started many occurrences.
        if (round % 2 == 1) {
            withinLimits = false;
            for (std::uint32_t k = 0; k < 100; ++k)
                started.insert(k);
        }
        for (int owner = 0; owner < 6; ++owner) {
            const auto stored = journal.read().at(id);
            DurableJobTable table(tableOptions());
            table.restore(id, stored.spec, stored.state);
            if (!withinLimits)
                table.expectStartsBeyondLimits(allDueUnixMs);
            std::set<std::uint32_t> inEngine;
            const auto take = [&] {
                for (const auto& due : table.takeDue(allDueUnixMs))
                    inEngine.insert(due.key.occurrence);
            };
            take();
            for (const auto each : started) {
                const bool completed = stored.state
                    && ((stored.state->completions && stored.state->completions->contains(each))
                        || std::any_of(stored.state->occurrences.begin(), stored.state->occurrences.end(),
                            [each](const auto& record) { return record.occurrence == each && record.completed; }));
                CHECK_MESSAGE(inEngine.contains(each) != completed, "occurrence ", each);
            }
            for (int step = 0; step < 30; ++step) {
                started.insert(inEngine.begin(), inEngine.end());
                if (!inEngine.empty() && random() % 3 > 0) {
                    auto ended = inEngine.begin();
                    std::advance(ended, random() % inEngine.size());
                    table.recordFinished({ .job = id, .occurrence = *ended }, JobResult::Completed, 0);
                    inEngine.erase(ended);
                } else if (table.hasChanges()) {
                    const auto batch = table.takeBatch([](const OccurrenceKey&) { return std::nullopt; });
                    // The last write of an owner may take effect without its knowledge.
                    journal.write(encodeBatch(batch));
                    withinLimits = batch.withinOpenLimits;
                    if (step < 29)
                        table.handleWritten(batch);
                }
                take();
            }
        }
    }
}
