#include "DurableJobFixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <vector>

using namespace Balsammill;
using namespace Balsammill::Shards;
using namespace Balsammill::Shards::Testing;

namespace {

const JobId id = durableJobId;
const OccurrenceKey first { .job = id };

/// Writes batches to a store that rejects each one with a change of these jobs.
struct RejectingStore {
    std::set<JobId> rejected;
    int writes { 0 };
    std::vector<DurableJobTable::RejectionEffect> effects {};
    std::map<OccurrenceKey, ProgressMark> recorded {};

    bool accepts(const JournalBatch& batch) const
    {
        return std::none_of(batch.changes.begin(), batch.changes.end(),
            [this](const JournalChange& change) { return rejected.contains(change.job); });
    }

    JournalBatch writeNext(DurableJobTable& book)
    {
        auto batch = book.takeBatch(noProgress);
        ++writes;
        if (accepts(batch)) {
            book.handleWritten(batch);
            for (const auto& each : batch.progress)
                recorded[each.job] = std::max(recorded[each.job], each.mark);
        } else if (batch.changes.size() > 1) {
            book.splitRejected(batch);
        } else {
            effects.push_back(book.handleChangeRejected(batch, 0));
        }
        return batch;
    }
};

} // namespace

// Guards against one change that the store never takes and that keeps all other changes of the shard from being
// written, because each batch contains it again (review case 13).
TEST_CASE("A change that the store rejects is isolated, and all others are written")
{
    for (const std::size_t bad : { 0, 1, 17, 47 }) {
        CAPTURE(bad);
        DurableJobTable book;
        std::vector<JobId> jobs;
        for (int i = 0; i < 48; ++i) {
            jobs.emplace_back("job" + std::to_string(100 + i));
            book.submit(durableJob(jobs.back().value));
        }
        RejectingStore store { .rejected = { jobs[bad] } };
        while (book.hasChanges()) {
            store.writeNext(book);
            REQUIRE_LE(store.writes, 13);
        }
        CHECK_EQ(store.effects, std::vector { DurableJobTable::RejectionEffect::SubmissionDropped });
        for (const auto& job : jobs)
            CHECK_EQ(book.contains(job), job != jobs[bad]);
        CHECK_EQ(book.takeDue(0).size(), 47);
    }
}

// Guards against a job that waits until a rejected batch has been taken apart.
TEST_CASE("Changes that come after a rejected batch are written with the next batch but one")
{
    DurableJobTable book;
    for (int i = 0; i < 48; ++i)
        book.submit(durableJob("job" + std::to_string(100 + i)));
    RejectingStore store { .rejected = { JobId("job120") } };
    store.writeNext(book);
    for (int i = 0; book.hasChanges(); ++i) {
        const JobId later { "later" + std::to_string(i) };
        if (i < 5) {
            book.submit(durableJob(later.value));
            store.writeNext(book);
            store.writeNext(book);
            CHECK(book.stateOf(later).has_value());
        } else {
            store.writeNext(book);
        }
        REQUIRE_LE(i, 30);
    }
    CHECK_EQ(book.takeDue(0).size(), 47 + 5);
}

// Guards against an accepted job that keeps its runs although nothing of it can be stored, and against ends of other
// jobs that are not acknowledged because the marks of this one are never recorded.
TEST_CASE("An accepted job whose state the store rejects fails, and is set aside if that is rejected too")
{
    for (const bool finalStateRejected : { false, true }) {
        CAPTURE(finalStateRejected);
        DurableJobTable book;
        book.submit(durableJob());
        writeAll(book);
        book.takeDue(0);
        book.recordProgress({ .job = first, .mark = ProgressMark(7) });
        RejectingStore store { .rejected = { id } };
        store.writeNext(book);
        CHECK_EQ(store.effects, std::vector { DurableJobTable::RejectionEffect::JobFailed });
        CHECK(store.recorded.empty());
        if (!finalStateRejected)
            store.rejected.clear();
        while (book.hasChanges()) {
            store.writeNext(book);
            REQUIRE_LE(store.writes, 4);
        }
        CHECK_EQ(store.recorded[first].value, 7);
        CHECK_EQ(book.isSetAside(id), finalStateRejected);
        CHECK(book.stateOf(id) == (finalStateRejected ? JobState::Queued : JobState::Failed));
        // Later marks of the job are recorded without a further write of its rows.
        book.recordProgress({ .job = first, .mark = ProgressMark(8) });
        CHECK(store.writeNext(book).changes.empty() == finalStateRejected);
        CHECK_EQ(store.recorded[first].value, 8);
    }
}

// Guards against a change or a mark that is lost while batches are rejected, fail and are cut off by the limits of a
// transaction.
TEST_CASE("Whatever the store rejects, all other jobs are stored and each mark is recorded")
{
    std::mt19937 random(55);
    const auto oneIn = [&random](unsigned n) { return random() % n == 0; };
    for (int schedule = 0; schedule < 200; ++schedule) {
        CAPTURE(schedule);
        DurableJobTable book;
        RejectingStore store { .rejected = { JobId("job3"), JobId("job11") } };
        std::map<OccurrenceKey, ProgressMark> reported;
        std::set<JobId> accepted;
        std::uint64_t lastMark = 0;
        const auto write = [&](bool reliable) {
            std::size_t room = reliable ? 48 : 1 + random() % 10;
            const auto batch
                = book.takeBatch(noProgress, [&room](const JournalChange&) { return room > 0 && room-- > 0; });
            if (!reliable && oneIn(4)) {
                book.handleWriteFailed(batch);
                return;
            }
            if (store.accepts(batch)) {
                book.handleWritten(batch);
                accepted.insert(batch.accepted.begin(), batch.accepted.end());
                for (const auto& each : batch.progress)
                    store.recorded[each.job] = std::max(store.recorded[each.job], each.mark);
            } else if (batch.changes.size() > 1) {
                book.splitRejected(batch);
            } else {
                book.handleChangeRejected(batch, 0);
            }
        };
        for (int now = 0; now < 300; ++now) {
            const JobId job { "job" + std::to_string(random() % 20) };
            const OccurrenceKey key { .job = job };
            switch (random() % 6) {
            case 0:
                book.submit(durableJob(job.value));
                break;
            case 1:
                book.recordProgress({ .job = key, .mark = reported[key] = ProgressMark(++lastMark) });
                break;
            case 2:
                book.recordFinished(key, oneIn(2) ? JobResult::Completed : JobResult::Failed, now);
                break;
            default:
                if (book.hasChanges())
                    write(false);
            }
        }
        for (int writes = 0; book.hasChanges(); ++writes) {
            write(true);
            REQUIRE_LE(writes, 60);
        }
        CHECK_EQ(store.recorded, reported);
        for (int i = 0; i < 20; ++i) {
            const JobId job { "job" + std::to_string(i) };
            CHECK_EQ(book.stateOf(job).has_value(), accepted.contains(job));
        }
        CHECK_FALSE(accepted.contains(JobId("job3")));
    }
}
