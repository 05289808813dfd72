#include "DurableJobFixture.h"

#include <doctest/doctest.h>

#include <map>
#include <random>

using namespace Balsammill;
using namespace Balsammill::Shards;
using namespace Balsammill::Shards::Testing;

namespace {

const JobId id = durableJobId;
const OccurrenceKey first { .job = id };

} // namespace

// Guards against accepting or starting a job that is not in the store: it would be lost with the owner.
TEST_CASE("A durable job is accepted and due only once it is written")
{
    DurableJobTable book;
    CHECK(book.submit(durableJob()));
    CHECK_FALSE(book.stateOf(id).has_value());
    CHECK(book.takeDue(0).empty());
    const auto batch = book.takeBatch(noProgress);
    REQUIRE_EQ(batch.changes.size(), 1);
    CHECK(batch.changes[0].newSpec != nullptr);
    CHECK_EQ(batch.accepted, std::vector { id });
    CHECK(book.takeDue(0).empty());
    book.handleWritten(batch);
    CHECK(book.stateOf(id) == JobState::Queued);
    CHECK_EQ(book.takeDue(0).size(), 1);
    CHECK(book.takeDue(0).empty());
    CHECK_EQ(book.waitingByQueue().at(QueueName("checks")), 1);
}

// Guards against running a job twice when a client submits it again.
TEST_CASE("Submitting a durable job again does not create a second job")
{
    DurableJobTable book;
    CHECK(book.submit(durableJob()));
    CHECK(book.submit(durableJob()));
    writeAll(book);
    CHECK_FALSE(book.submit(durableJob()));
    CHECK_FALSE(book.hasChanges());
    CHECK_EQ(book.takeDue(0).size(), 1);
}

// Guards against running a job whose submission was answered with an error because its record was not written.
TEST_CASE("A job whose record was not written is dropped")
{
    DurableJobTable book;
    book.submit(durableJob());
    book.handleWriteFailed(book.takeBatch(noProgress));
    CHECK_FALSE(book.contains(id));
    CHECK_FALSE(book.hasChanges());
    CHECK(book.takeDue(0).empty());
    CHECK(book.submit(durableJob()));
}

// Guards against reporting the end of a job before it is in the store: a later owner would run the job again.
TEST_CASE("The end of a job is visible only once it is written")
{
    DurableJobTable book;
    book.submit(durableJob());
    writeAll(book);
    book.takeDue(0);
    book.recordStarted(id);
    CHECK(book.stateOf(id) == JobState::Running);
    CHECK(book.waitingByQueue().empty());
    book.recordFinished(first, JobResult::Completed, 1'000);
    CHECK(book.stateOf(id) == JobState::Running);
    const auto batch = book.takeBatch(noProgress);
    REQUIRE_EQ(batch.changes.size(), 1);
    CHECK(batch.changes[0].removeSpec);
    REQUIRE(batch.changes[0].newState);
    CHECK(batch.changes[0].newState->state == JobState::Completed);
    CHECK(book.stateOf(id) == JobState::Running);
    book.handleWritten(batch);
    CHECK(book.stateOf(id) == JobState::Completed);
    CHECK_EQ(book.unfinishedJobs(), 0);
}

// Guards against acknowledging ends whose progress is not written: a batch has to name exactly the marks that it
// contains.
TEST_CASE("A batch contains the progress together with its newest mark")
{
    DurableJobTable book;
    book.submit(durableJob());
    writeAll(book);
    book.takeDue(0);
    const JobProgress progress { .steps = { { { .done = true, .failures = 1, .countedRun = RunNumber(2) } } } };
    book.recordProgress({ .job = first, .mark = ProgressMark(7) });
    const auto batch = book.takeBatch([&](const OccurrenceKey&) { return std::optional(progress); });
    REQUIRE_EQ(batch.progress.size(), 1);
    CHECK_EQ(batch.progress[0].mark.value, 7);
    REQUIRE(batch.changes[0].newState);
    REQUIRE_EQ(batch.changes[0].newState->occurrences.size(), 1);
    CHECK(batch.changes[0].newState->occurrences[0].progress == progress);
    // The batch fails and more progress is counted: the next batch has the newer mark.
    book.handleWriteFailed(batch);
    book.recordProgress({ .job = first, .mark = ProgressMark(9) });
    const auto again = book.takeBatch([&](const OccurrenceKey&) { return std::optional(progress); });
    REQUIRE_EQ(again.progress.size(), 1);
    CHECK_EQ(again.progress[0].mark.value, 9);
}

// Guards against confirming a cancellation that is not written yet, and against cancelling a job that has ended.
TEST_CASE("A cancellation is visible once it is written, and does not change a job that has ended")
{
    DurableJobTable book;
    book.submit(durableJob());
    writeAll(book);
    CHECK(book.cancel(id, 1'000));
    CHECK(book.stateOf(id) == JobState::Queued);
    book.recordFinished(first, JobResult::Completed, 1'001);
    writeAll(book);
    CHECK(book.stateOf(id) == JobState::Cancelled);
    CHECK_FALSE(book.cancel(id, 2'000));
    CHECK(book.takeDue(5'000).empty());
    CHECK_FALSE(book.cancel(JobId("unknown"), 0));
}

// Guards against losing a job of a failed owner, and against running it again from the beginning.
TEST_CASE("A later owner restores jobs and their progress from the store")
{
    const JobProgress progress { .steps = { { { .done = true, .countedRun = RunNumber(1) } } } };
    DurableJobTable book;
    book.restore(
        id, durableJob(), JobStateRecord { .state = JobState::Running, .occurrences = { { 0, false, progress } } });
    book.restore(JobId("00000000000000a2"), durableJob("00000000000000a2"), std::nullopt);
    book.restore(
        JobId("00000000000000a3"), nullptr, JobStateRecord { .state = JobState::Completed, .endedUnixMs = 500 });
    CHECK(book.stateOf(id) == JobState::Running);
    CHECK(book.stateOf(JobId("00000000000000a2")) == JobState::Queued);
    CHECK(book.stateOf(JobId("00000000000000a3")) == JobState::Completed);
    CHECK_EQ(book.unfinishedJobs(), 2);
    const auto due = book.takeDue(0);
    REQUIRE_EQ(due.size(), 2);
    REQUIRE(due[0].inherited);
    CHECK(*due[0].inherited == progress);
    CHECK(due[1].inherited.has_value());
}

// Guards against a store that grows without bound, and against states that are removed too early.
TEST_CASE("The state of an ended job is removed after the retention period")
{
    DurableJobTable book({ .retention = std::chrono::seconds(120) });
    book.submit(durableJob());
    writeAll(book);
    book.takeDue(0);
    book.recordFinished(first, JobResult::Failed, 1'000);
    writeAll(book);
    book.expire(120'000);
    CHECK_FALSE(book.hasChanges());
    CHECK(book.stateOf(id) == JobState::Failed);
    book.expire(121'000);
    const auto batch = book.takeBatch(noProgress);
    REQUIRE_EQ(batch.changes.size(), 1);
    CHECK(batch.changes[0].removeState);
    book.handleWritten(batch);
    CHECK_FALSE(book.stateOf(id).has_value());
}

// Guards against occurrences that start early, twice or never.
TEST_CASE("Each occurrence of a repeated job is due at its own time, and the job ends with the last one")
{
    auto spec = makeSpec({ .id = id.value });
    spec.durable = true;
    spec.schedule = RepeatSchedule { .count = 3, .firstRunUnixMs = 10'000, .interval = std::chrono::seconds(1) };
    DurableJobTable book;
    book.submit(std::make_shared<const JobSpec>(spec));
    writeAll(book);
    CHECK(book.takeDue(9'999).empty());
    auto due = book.takeDue(10'000);
    REQUIRE_EQ(due.size(), 1);
    CHECK_EQ(due[0].dueUnixMs, 10'000);
    due = book.takeDue(12'500);
    REQUIRE_EQ(due.size(), 2);
    CHECK_EQ(due[1].key.occurrence, 2);
    for (std::uint32_t i = 0; i < 3; ++i) {
        CHECK(book.stateOf(id) != JobState::Completed);
        book.recordFinished({ .job = id, .occurrence = i }, JobResult::Completed, 13'000);
        writeAll(book);
    }
    CHECK(book.stateOf(id) == JobState::Completed);
}

// Guards against transactions that exceed the limits of the store.
TEST_CASE("Batches are bounded, and all changes are written")
{
    DurableJobTable book({ .maxRows = 10 });
    for (int i = 0; i < 30; ++i)
        book.submit(durableJob("job" + std::to_string(100 + i)));
    std::size_t accepted = 0;
    while (book.hasChanges()) {
        const auto batch = book.takeBatch(noProgress);
        CHECK_LE(batch.changes.size(), 5);
        accepted += batch.accepted.size();
        book.handleWritten(batch);
    }
    CHECK_EQ(accepted, 30);
    CHECK_EQ(book.takeDue(0).size(), 30);
}

// Guards against ends that are never acknowledged: a job was cancelled, the end of one of its tasks arrived while the
// write of its final state was in flight, and the acknowledgement of all later ends of the upstream waited for its
// mark.
TEST_CASE("Progress that is reported while the final state of its job is being written is recorded by the next batch")
{
    for (const auto state : { JobState::Cancelled, JobState::Failed, JobState::Completed }) {
        CAPTURE(static_cast<int>(state));
        DurableJobTable book;
        book.submit(durableJob());
        writeAll(book);
        book.takeDue(0);
        if (state == JobState::Cancelled)
            book.cancel(id, 1'000);
        else
            book.recordFinished(first, state == JobState::Failed ? JobResult::Failed : JobResult::Completed, 1'000);
        const auto batch = book.takeBatch(noProgress);
        book.recordProgress({ .job = first, .mark = ProgressMark(7) });
        book.handleWritten(batch);
        const auto next = writeAll(book);
        REQUIRE_EQ(next.progress.size(), 1);
        CHECK_EQ(next.progress[0].job, first);
        CHECK_EQ(next.progress[0].mark.value, 7);
        CHECK(book.stateOf(id) == state);
    }
}

// Guards against the same when the job's state expires meanwhile, or was never in the table.
TEST_CASE("Progress of a job that the table does not have is recorded by the next batch")
{
    DurableJobTable book;
    book.submit(durableJob());
    writeAll(book);
    book.takeDue(0);
    book.recordFinished(first, JobResult::Failed, 1'000);
    writeAll(book);
    book.expire(1'000'000);
    book.recordProgress({ .job = first, .mark = ProgressMark(3) });
    const auto removal = book.takeBatch(noProgress);
    REQUIRE_EQ(removal.progress.size(), 1);
    CHECK_EQ(removal.progress[0].mark.value, 3);
    book.recordProgress({ .job = first, .mark = ProgressMark(4) });
    book.handleWritten(removal);
    const auto afterRemoval = writeAll(book);
    REQUIRE_EQ(afterRemoval.progress.size(), 1);
    CHECK_EQ(afterRemoval.progress[0].mark.value, 4);
    CHECK(afterRemoval.changes.empty());

    book.recordProgress({ .job = { .job = JobId("unknown") }, .mark = ProgressMark(5) });
    const auto unknown = writeAll(book);
    REQUIRE_EQ(unknown.progress.size(), 1);
    CHECK_EQ(unknown.progress[0].mark.value, 5);
}

// Guards against every other order of events in which a job leaves the table while a mark of it is not recorded.
TEST_CASE("Each progress mark is recorded once the store confirms batches, whatever happens to its job")
{
    std::mt19937 random(46);
    const auto oneIn = [&random](unsigned n) { return random() % n == 0; };
    for (int schedule = 0; schedule < 200; ++schedule) {
        CAPTURE(schedule);
        DurableJobTable book({ .retention = std::chrono::milliseconds(20), .maxRows = 4 });
        std::map<OccurrenceKey, ProgressMark> reported;
        std::map<OccurrenceKey, ProgressMark> recorded;
        std::optional<JournalBatch> inFlight;
        const auto complete = [&](bool written) {
            if (!written) {
                book.handleWriteFailed(*inFlight);
            } else {
                book.handleWritten(*inFlight);
                for (const auto& each : inFlight->progress)
                    recorded[each.job] = std::max(recorded[each.job], each.mark);
            }
            inFlight.reset();
        };
        std::uint64_t lastMark = 0;
        for (int now = 0; now < 400; ++now) {
            const JobId job { "job" + std::to_string(random() % 6) };
            const OccurrenceKey key { .job = job, .occurrence = static_cast<std::uint32_t>(random() % 2) };
            switch (random() % 8) {
            case 0: {
                auto spec = makeSpec({ .id = job.value });
                spec.durable = true;
                spec.schedule = RepeatSchedule { .count = 2, .firstRunUnixMs = 0, .interval = Duration(0) };
                book.submit(std::make_shared<const JobSpec>(spec));
                break;
            }
            case 1:
                book.cancel(job, now);
                break;
            case 2:
                book.recordFinished(key, oneIn(2) ? JobResult::Completed : JobResult::Failed, now);
                break;
            case 3:
                book.expire(now);
                break;
            case 4:
                book.recordProgress({ .job = key, .mark = reported[key] = ProgressMark(++lastMark) });
                break;
            default:
                if (inFlight)
                    complete(!oneIn(4));
                else if (book.hasChanges())
                    inFlight = book.takeBatch(noProgress);
            }
            book.takeDue(now);
        }
        for (int writes = 0; inFlight || (book.hasChanges() && writes < 1'000); ++writes) {
            if (!inFlight)
                inFlight = book.takeBatch(noProgress);
            complete(true);
        }
        CHECK_FALSE(book.hasChanges());
        CHECK_EQ(recorded, reported);
    }
}

// Guards against a run that is stopped and started again by the next owner: its clock is behind that of the owner that
// started the occurrence, so that it did not know of the occurrence yet.
TEST_CASE("An occurrence that a former owner has started is due, whatever the clock says")
{
    auto spec = makeSpec({ .id = durableJobId.value });
    spec.durable = true;
    spec.schedule = RepeatSchedule { .count = 4, .firstRunUnixMs = 1'000, .interval = std::chrono::milliseconds(100) };
    DurableJobTable book(
        { .stateLimits = [](const JobSpec&) { return StoredStateLimits { .maxOpenOccurrences = 1 }; } });
    book.restore(durableJobId, std::make_shared<const JobSpec>(spec), std::nullopt);
    CHECK(book.takeDue(990).empty());
    book.expectStarted({ .job = durableJobId, .occurrence = 1 });
    book.expectStarted({ .job = JobId("00000000000000ff"), .occurrence = 1 });
    const auto due = book.takeDue(990);
    REQUIRE_EQ(due.size(), 2);
    CHECK_EQ(due[0].key.occurrence, 0);
    CHECK_EQ(due[1].key.occurrence, 1);
    CHECK(due[1].inherited.has_value());
    // The others stay due at their time and within the limit.
    CHECK(book.takeDue(1'300).empty());
}
