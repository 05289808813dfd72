#pragma once

#include "JournalCodec.h"
#include "NodeContext.h"
#include "ShardJournal.h"
#include "clients/OwnerAnswer.h"

#include "balsammill/shards/JobBook.h"
#include "balsammill/shards/ShardEngine.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace Balsammill {

/// The durable jobs of a shard that this process owns: keeps the journal in step with the engine, hands due jobs to the
/// engine, and answers what clients ask about them.
class DurableJobs {
public:
    struct Handlers {
        /// The engine has work to schedule.
        std::function<void()> progressed;
        /// Another process owns the shard.
        std::function<void()> fenced;
        /// The shard's record has to say that the shard keeps jobs, before the first one is accepted.
        std::function<void()> declare;
        /// What the store holds is known now.
        std::function<void()> opened;
    };

    /// declared: the shard's record says that the shard keeps jobs.
    DurableJobs(
        NodeContext&, Platform::Store&, Shards::ShardEngine&, const Shards::ShardName&, Epoch, bool declared, Handlers);
    ~DurableJobs();
    DurableJobs(const DurableJobs&) = delete;
    DurableJobs& operator=(const DurableJobs&) = delete;

    /// Opens the journal if the shard keeps jobs.
    void start();
    /// The shard's record says so now.
    void handleDeclared();
    /// True if no job of an earlier owner can be unknown here.
    bool knowsAll() const { return state_ != State::OpeningInherited; }

    /// True if the job is accepted or about to be, so that it needs no admission.
    bool knows(const JobId&) const;
    /// Answers with Accepted, Refused or InDoubt.
    void submit(std::shared_ptr<const Shards::JobSpec>, OwnerAnswerCallback);
    /// Answers with Known or UnknownJob.
    void query(const JobId&, OwnerAnswerCallback);
    /// Answers with Known once the cancellation lasts, or with UnknownJob.
    void cancel(const JobId&, OwnerAnswerCallback);

    void noteStarted(const JobId&);
    void noteProgress(const Shards::ProgressChanged&);
    void noteFinished(const Shards::FinishJob&);
    /// Writes what was noted. To be called once all actions of the engine have been noted.
    void write();
    void advance();
    /// Number of shards that share the store.
    void setShardCount(std::size_t count) { shardCount_ = count; }
    /// Answers everything that is open with InDoubt. Nothing is written any more.
    void close();

    const std::map<Shards::QueueName, std::uint32_t>& waitingByQueue() const { return book_.waitingByQueue(); }
    std::size_t unfinishedJobs() const { return book_.unfinishedJobs(); }

private:
    enum class State {
        /// The shard has never kept a job.
        Undeclared,
        Declaring,
        /// The first journal of this shard is being opened.
        OpeningFirst,
        /// The journal of an earlier owner is being read.
        OpeningInherited,
        Open,
        Closed,
    };

    void openJournal();
    void handleOpened(const std::vector<ShardJournal::Row>&);
    void whenOpen(std::function<void()>);
    void writeNow();
    void handleWritten(const Shards::JournalBatch&, TimePoint sentAt);
    void handleRefused(const Shards::JournalBatch&);
    void releaseDue();
    void answer(std::multimap<JobId, OwnerAnswerCallback>&, const JobId&, const OwnerAnswer&);

    NodeContext& context_;
    Shards::ShardEngine& engine_;
    Shards::ShardName shard_;
    Handlers handlers_;
    State state_;
    Shards::JobBook book_;
    ShardJournal journal_;
    std::vector<std::function<void()>> onceOpen_;
    std::multimap<JobId, OwnerAnswerCallback> submitters_;
    std::multimap<JobId, OwnerAnswerCallback> cancellers_;
    boost::asio::steady_timer writeTimer_;
    std::size_t shardCount_ { 1 };
    bool writing_ { false };
    // When the timer fires; TimePoint::max() if it does not run.
    TimePoint plannedAt_ { TimePoint::max() };
    TimePoint lastWriteAt_ {};
    // While the store refuses writes, jobs are refused at once.
    TimePoint refusingUntil_ {};
    TimePoint retryAt_ {};
    std::shared_ptr<bool> alive_;
};

} // namespace Balsammill
