#pragma once

#include "JournalCodec.h"
#include "NodeContext.h"
#include "ShardJournal.h"
#include "clients/OwnerAnswer.h"

#include "balsammill/http/Timer.h"
#include "balsammill/shards/DurableJobTable.h"
#include "balsammill/shards/ShardEngine.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace Balsammill {

/// The durable jobs of a shard that this process owns: writes the engine's progress to the journal, submits due jobs to
/// the engine, and answers clients' requests about durable jobs.
class DurableJobs {
public:
    struct Handlers {
        /// Called when the engine has work to schedule.
        std::function<void()> schedulingNeeded;
        /// Called when another process owns the shard.
        std::function<void()> fenced;
        /// Called before the first durable job is accepted: the shard's record must first be marked as having durable
        /// jobs.
        std::function<void()> firstDurableJob;
        /// Called once the journal has been read.
        std::function<void()> opened;
    };

    /// hasDurableJobs: the shard's record is marked as having durable jobs.
    DurableJobs(NodeContext&, Platform::Store&, Shards::ShardEngine&, const Shards::ShardName&, Epoch,
        bool hasDurableJobs, Handlers);
    ~DurableJobs();
    DurableJobs(const DurableJobs&) = delete;
    DurableJobs& operator=(const DurableJobs&) = delete;

    /// Opens the journal if the shard has durable jobs.
    void start();
    /// The shard's record has been marked as having durable jobs.
    void handleRecordUpdated();
    /// True if all durable jobs of earlier owners have been read from the journal, or there are none.
    bool inheritedJobsLoaded() const { return state_ != State::OpeningExisting; }

    /// Submits all occurrences to the engine that a former owner can have started: those that are due, and those that
    /// it has handed over.
    void submitStarted(const std::vector<Shards::TransferredJob>& handedOver);
    /// Calls the action with true once inheritedJobsLoaded() is true or close() was called; with false if the journal
    /// has not been read within a few seconds, because the store does not answer.
    void runWhenInheritedJobsLoaded(std::function<void(bool loaded)> action);

    /// True if the job is already accepted or being stored, so that it needs no admission decision.
    bool knows(const JobId&) const;
    /// Stores the job. Answers with Accepted, Refused, InDoubt, Unavailable or NotOwner. A job that does not fit into
    /// the store is refused as not storable.
    void submit(std::shared_ptr<const Shards::JobSpec>, OwnerAnswerCallback);
    /// Answers with Known, UnknownJob, Unavailable or NotOwner.
    void query(const JobId&, OwnerAnswerCallback);
    /// Answers with Known once the cancellation, or an end of the job that came first, has been written; with
    /// UnknownJob if the store refuses the job's own submission; with InDoubt if close() is called before. Answers as
    /// query() does if the job cannot be cancelled.
    void cancel(const JobId&, OwnerAnswerCallback);

    void recordStarted(const JobId&);
    void recordProgress(const Shards::ProgressChanged&);
    void recordFinished(const Shards::FinishJob&);
    /// Writes the recorded changes. Call it after all actions of the engine have been recorded.
    void write();
    void advance();
    /// Sets the number of shards that share the store's write rate.
    void setShardCount(std::size_t count) { shardCount_ = count; }
    /// Answers all pending requests with InDoubt or NotOwner. Nothing is written afterwards.
    void close();

    const std::map<Shards::QueueName, std::uint32_t>& waitingByQueue() const { return book_.waitingByQueue(); }
    std::size_t unfinishedJobs() const { return book_.unfinishedJobs(); }

private:
    enum class State {
        /// The shard has never had a durable job.
        NoDurableJobs,
        UpdatingRecord,
        /// The shard's journal is being created.
        OpeningNew,
        /// The journal of an earlier owner is being read.
        OpeningExisting,
        Open,
        Closed,
    };

    void openJournal();
    void handleOpened(const std::vector<ShardJournal::Row>&);
    void expireDeferred(TimePoint now);
    /// True if there are changes, or run numbers to reserve.
    bool needsWrite() const;
    /// Highest run number that the next write has to reserve.
    Shards::RunNumber runsToReserve() const;
    void writeNow();
    void handleWritten(const Shards::JournalBatch&, TimePoint sentAt);
    void handleWriteFailed(const Shards::JournalBatch&);
    void handleRejected(const Shards::JournalBatch&);
    /// Finds out whether the store rejects the only change of the batch or each write.
    void probeStore(const Shards::JournalBatch&);
    void handleChangeRejected(const Shards::JournalBatch&);
    void submitDueJobs();
    void answer(std::multimap<JobId, OwnerAnswerCallback>&, const JobId&, const OwnerAnswer&);

    NodeContext& context_;
    Shards::ShardEngine& engine_;
    Shards::ShardName shard_;
    Handlers handlers_;
    // Largest value of a row. Kept when the settings change, as the next owner is told by the fence row.
    const std::size_t maxValueBytes_;
    State state_;
    Shards::DurableJobTable book_;
    ShardJournal journal_;
    struct Deferred {
        std::function<void(bool opened)> action;
        TimePoint expiresAt {};
    };
    std::vector<Deferred> deferredUntilOpen_;
    std::multimap<JobId, OwnerAnswerCallback> submitCallbacks_;
    std::multimap<JobId, OwnerAnswerCallback> cancelCallbacks_;
    Timer writeTimer_;
    std::size_t shardCount_ { 1 };
    bool writing_ { false };
    // Time at which the write timer fires; TimePoint::max() if it is not running.
    TimePoint nextWriteAt_ { TimePoint::max() };
    TimePoint lastWriteAt_ {};
    // New jobs are refused at once until this time, because the store has refused a write.
    TimePoint refuseUntil_ {};
    TimePoint retryAt_ {};
    std::shared_ptr<bool> alive_;
};

} // namespace Balsammill
