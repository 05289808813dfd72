#pragma once

#include "balsammill/shards/JobState.h"
#include "balsammill/shards/ShardActions.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace Balsammill::Shards {

/// Rows of one job that have to be written to or removed from the store.
struct JournalChange {
    JobId job;
    /// Null if the stored specification does not change.
    std::shared_ptr<const JobSpec> newSpec {};
    std::optional<JobStateRecord> newState {};
    /// Remove the stored specification.
    bool removeSpec { false };
    /// Remove the stored state of an expired job.
    bool removeState { false };

    /// The state has the compact form, which former versions cannot read.
    bool hasCompactState() const { return newState && newState->completions; }
};

/// Changes that are written in one transaction.
struct JournalBatch {
    std::vector<JournalChange> changes;
    /// Progress marks that are recorded once the batch is written.
    std::vector<ProgressChanged> progress;
    /// Jobs that are accepted, or visible as ended, once the batch is written.
    std::vector<JobId> accepted;
    std::vector<JobId> ended;
    /// Each job has at most StoredStateLimits::maxOpenOccurrences open occurrences, as the store knows them.
    bool withinOpenLimits { true };
};

/// An occurrence that the engine has to run.
struct DueOccurrence {
    OccurrenceKey key;
    std::shared_ptr<const JobSpec> spec;
    /// Unix time in milliseconds from which its response time is measured; 0 means now.
    std::int64_t dueUnixMs { 0 };
    /// Recorded progress; set if an earlier owner may have started the occurrence.
    std::optional<JobProgress> inherited {};
};

/// The durable jobs of one shard: their states, and the changes that are not written to the store yet. A job becomes
/// accepted, and its final state visible, only once the store has confirmed the write. The class reads no clock and
/// does no I/O.
class DurableJobTable {
public:
    struct Options {
        /// How long the state of an ended job is kept.
        Duration retention { std::chrono::seconds(120) };
        /// Rows of a batch; the limit follows from that of a transaction of the store.
        std::size_t maxRows { 96 };
        /// Limits of the stored state of a job; null if there are none.
        std::function<StoredStateLimits(const JobSpec&)> stateLimits {};
    };
    using ProgressReader = std::function<std::optional<JobProgress>(const OccurrenceKey&)>;
    /// Adds a change to a transaction. Returns false if the change does not fit into it beside those added before.
    using ChangeSink = std::function<bool(const JournalChange&)>;

    /// What becomes of a job whose change the store rejects.
    enum class RejectionEffect {
        /// The job was not accepted yet and is dropped.
        SubmissionDropped,
        /// The job is ended as failed; the write of that state is still to come.
        JobFailed,
        /// The final state of the job cannot be stored either. Nothing is written for the job any more.
        JobSetAside,
    };

    DurableJobTable();
    explicit DurableJobTable(const Options&);
    ~DurableJobTable();
    DurableJobTable(DurableJobTable&&) noexcept;
    DurableJobTable& operator=(DurableJobTable&&) noexcept;

    /// Loads a job from the store.
    void restore(const JobId&, std::shared_ptr<const JobSpec>, const std::optional<JobStateRecord>&);
    /// The former owner of the restored jobs may have started any occurrence that was due, without regard to
    /// StoredStateLimits::maxOpenOccurrences. To be called after restore().
    void expectStartsBeyondLimits(std::int64_t nowUnixMs);

    /// The former owner has started this occurrence, so it is due, even if the clock of this process is behind. No
    /// effect if the job is unknown.
    void expectStarted(const OccurrenceKey&);

    /// Returns false if the job is already accepted, true if a batch has to be written first.
    bool submit(std::shared_ptr<const JobSpec>);
    /// True if the job is accepted, or submitted and not written yet.
    bool contains(const JobId&) const;
    /// Empty if there is no accepted job with this id.
    std::optional<JobState> stateOf(const JobId&) const;
    /// Returns false if the job is unknown or visible as ended, true if a batch has to be written first.
    bool cancel(const JobId&, std::int64_t nowUnixMs);

    void recordStarted(const JobId&);
    void recordProgress(const ProgressChanged&);
    void recordFinished(const OccurrenceKey&, JobResult, std::int64_t nowUnixMs);

    /// Returns the occurrences that are due; each is returned once.
    std::vector<DueOccurrence> takeDue(std::int64_t nowUnixMs);
    /// Marks ended jobs whose retention is over for removal; a later batch removes them from the store.
    void expire(std::int64_t nowUnixMs);

    /// Returns the next batch to write; empty if nothing has changed. Only one batch may be outstanding. The sink, if
    /// there is one, receives each change of the batch; it has to accept the first one.
    JournalBatch takeBatch(const ProgressReader&, const ChangeSink& = {});
    /// The store has confirmed the batch.
    void handleWritten(const JournalBatch&);
    /// The batch was not written and never will be. Jobs that it would have accepted are dropped; the other changes
    /// are written with a later batch.
    void handleWriteFailed(const JournalBatch&);
    /// The store rejects the batch, which has several changes, because of its content. The changes are written again in
    /// two smaller batches, which takes turns with batches of all other changes.
    void splitRejected(const JournalBatch&);
    /// The store rejects the only change of the batch because of its content, and takes other writes.
    RejectionEffect handleChangeRejected(const JournalBatch&, std::int64_t nowUnixMs);
    /// True if the job has ended and the store has rejected its final state.
    bool isSetAside(const JobId&) const;

    bool hasChanges() const { return !dirty_.empty() || !rejectedGroups_.empty(); }
    /// True if a client may be waiting for a change: a job to be accepted, or a job that has ended.
    bool hasUrgentChanges() const { return hasChanges() && urgent_; }
    /// Number of accepted jobs by queue that have no started task.
    const std::map<QueueName, std::uint32_t>& waitingByQueue() const { return waiting_; }
    /// Number of accepted jobs that are not visible as ended.
    std::size_t unfinishedJobs() const { return unfinished_; }

private:
    struct Entry;
    Entry* find(const JobId&);
    const Entry* find(const JobId&) const;
    void finish(Entry&, JobState, std::int64_t nowUnixMs);
    void setState(Entry&, JobState);
    void setAccepted(Entry&);
    void updateWaitingCount(const Entry&, bool before, bool after);
    static JobStateRecord recordOf(const Entry&);
    bool areOpenLimitsKept();
    StoredStateLimits limitsOf(const JobSpec&) const;
    /// Updates the job's progress from the engine. The entry is null if the table no longer has the job.
    void readProgress(const JobId&, Entry*, const ProgressReader&);
    /// Moves the unwritten marks of a job into the batch.
    void takeMarks(const JobId&, JournalBatch&);
    /// Jobs of the next batch, in the order in which they are to be written.
    std::vector<JobId> nextJobs();
    static JournalChange changeOf(const JobId&, const Entry&);
    void putBackMarks(const JournalBatch&);

    Options options_;
    std::map<JobId, std::unique_ptr<Entry>> entries_;
    // Jobs with changes to write.
    std::set<JobId> dirty_;
    // Jobs of batches that the store has rejected; each group is written as a batch of its own.
    std::deque<std::vector<JobId>> rejectedGroups_;
    // All jobs of rejectedGroups_.
    std::set<JobId> suspects_;
    // The last batch was one of rejectedGroups_.
    bool lastBatchWasGroup_ { false };
    // Jobs that may have more open occurrences than their limit.
    std::set<JobId> beyondLimits_;
    // Newest progress mark of the engine for each occurrence, until a batch records it. Kept apart from the entries,
    // since the acknowledgement of ends waits for each mark, whatever happens to its job meanwhile.
    std::map<OccurrenceKey, ProgressMark> unwritten_;
    // Accepted jobs with occurrences that takeDue() has not returned yet.
    std::set<JobId> jobsWithPendingOccurrences_;
    // Ended jobs by Unix time of their end in milliseconds.
    std::multimap<std::int64_t, JobId> ended_;
    std::map<QueueName, std::uint32_t> waiting_;
    std::size_t unfinished_ { 0 };
    bool urgent_ { false };
};

} // namespace Balsammill::Shards
