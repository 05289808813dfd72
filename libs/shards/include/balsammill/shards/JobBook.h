#pragma once

#include "balsammill/shards/JobState.h"
#include "balsammill/shards/ShardActions.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace Balsammill::Shards {

/// What has to be written about one job.
struct JournalChange {
    JobId job;
    /// Null if the specification stays as it is.
    std::shared_ptr<const JobSpec> newSpec {};
    std::optional<JobStateRecord> newState {};
    /// The specification is needed no more.
    bool dropSpec { false };
    /// Nothing of the job is needed any more.
    bool dropState { false };
};

/// Changes that are written together, all or none.
struct JournalBatch {
    std::vector<JournalChange> changes;
    /// Progress of the engine that the changes contain.
    std::vector<ProgressChanged> progress;
    std::vector<JobId> accepted;
    std::vector<JobId> ended;
};

/// An occurrence for the engine to run.
struct DueOccurrence {
    OccurrenceKey key;
    std::shared_ptr<const JobSpec> spec;
    /// Unix time in milliseconds from which its response time counts; 0 if that is now.
    std::int64_t dueUnixMs { 0 };
    /// Present if an earlier owner may have begun it.
    std::optional<JobProgress> inherited {};
};

/// The durable jobs of one shard: their states, and what of them the store does not have yet. A job is accepted, and
/// shown to have ended, only once that is in the store. It reads no clock and does no I/O.
class JobBook {
public:
    struct Options {
        /// How long the state of a job that has ended is kept.
        Duration retention { std::chrono::seconds(120) };
        /// Bounds of a batch by what one transaction of the store may hold.
        std::size_t maxRows { 96 };
        std::size_t maxBytes { 500'000 };
    };
    using ProgressReader = std::function<std::optional<JobProgress>(const OccurrenceKey&)>;

    JobBook();
    explicit JobBook(const Options&);
    ~JobBook();
    JobBook(JobBook&&) noexcept;
    JobBook& operator=(JobBook&&) noexcept;

    /// Adopts what the store has of a job.
    void restore(const JobId&, std::shared_ptr<const JobSpec>, const std::optional<JobStateRecord>&);

    /// Returns false if the job is known already and accepted.
    bool submit(std::shared_ptr<const JobSpec>);
    /// True if the job is known, accepted or about to be.
    bool knows(const JobId&) const;
    /// Empty if there is no accepted job of that id.
    std::optional<JobState> stateOf(const JobId&) const;
    /// Returns false if the job has ended already; true if a batch has to be written first.
    bool cancel(const JobId&, std::int64_t nowUnixMs);

    void noteStarted(const JobId&);
    void noteProgress(const ProgressChanged&);
    void noteFinished(const OccurrenceKey&, JobResult, std::int64_t nowUnixMs);

    /// Occurrences whose time has come; each is returned once.
    std::vector<DueOccurrence> takeDue(std::int64_t nowUnixMs);
    /// Forgets jobs that ended long ago; the next batch removes them from the store.
    void expire(std::int64_t nowUnixMs);

    /// What has to be written now; empty if there is nothing. One batch at a time may be outstanding.
    JournalBatch takeBatch(const ProgressReader&);
    /// The batch is in the store.
    void handleWritten(const JournalBatch&);
    /// The batch was not written and never will be. Jobs that it would have accepted are forgotten.
    void handleRefused(const JournalBatch&);

    bool hasChanges() const { return !dirty_.empty(); }
    /// Somebody waits for one of the changes: a job to be accepted, or one that has ended.
    bool hasUrgentChanges() const { return hasChanges() && urgent_; }
    /// Accepted jobs of the queue of which no task has started.
    const std::map<QueueName, std::uint32_t>& waitingByQueue() const { return waiting_; }
    /// Accepted jobs that are not shown to have ended.
    std::size_t unfinishedJobs() const { return unfinished_; }

private:
    struct Entry;
    Entry* find(const JobId&);
    const Entry* find(const JobId&) const;
    void finish(Entry&, JobState, std::int64_t nowUnixMs);
    void setState(Entry&, JobState);
    void setAccepted(Entry&);
    void countWaiting(const Entry&, bool before, bool after);
    static JobStateRecord recordOf(const Entry&);

    Options options_;
    std::map<JobId, std::unique_ptr<Entry>> entries_;
    // Jobs with something to write.
    std::set<JobId> dirty_;
    // Accepted jobs with occurrences that have not been handed out.
    std::set<JobId> unreleased_;
    // Jobs that have ended, by the time.
    std::multimap<std::int64_t, JobId> ended_;
    std::map<QueueName, std::uint32_t> waiting_;
    std::size_t unfinished_ { 0 };
    bool urgent_ { false };
};

} // namespace Balsammill::Shards
