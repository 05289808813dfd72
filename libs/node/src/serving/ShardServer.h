#pragma once

#include "NodeContext.h"
#include "PlacementAdvisor.h"
#include "UpstreamSession.h"
#include "clients/OwnerAnswer.h"
#include "durable/DurableJobs.h"
#include "ownership/HandOver.h"

#include "balsammill/shards/Admission.h"
#include "balsammill/shards/ShardEngine.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>

namespace Balsammill {

/// Serves one shard while this process owns it: admits jobs, drives the engine, and talks to the shard's upstreams.
class ShardServer {
public:
    struct Handlers {
        /// Rooms of the other shards, for jobs that this one has no room for.
        std::function<std::vector<Shards::OtherShard>()> otherShards;
        /// Another process has taken over the shard.
        std::function<void()> fenced;
        /// The shard's record has to say that the shard keeps durable jobs.
        std::function<void()> declareJobs;
        /// Answers a submission that another owner has accepted.
        std::function<void(const Submitter&, const OwnerAnswer&)> answer;
    };
    struct Options {
        Shards::ShardName name;
        Epoch epoch;
        /// The entry that hands the shard over; empty if the former owner is gone.
        PeerId predecessor {};
        /// The shard has durable jobs in the store.
        bool keepsJobs { false };
    };

    ShardServer(NodeContext&, Platform::Store&, const Options&, Handlers);
    ~ShardServer();

    const Shards::ShardName& name() const { return name_; }
    Epoch epoch() const { return epoch_; }
    TimePoint startedAt() const { return startedAt_; }

    void updateUpstream(const Shards::UpstreamInfo&);
    void removeUpstream(const Shards::UpstreamId&);

    /// age: time since the client's request arrived. The callback is called exactly once, unless the submission is
    /// cancelled or the server destroyed.
    void submit(
        const Submitter&, Shards::JobSpec, Duration age, Duration patience, bool mayRedirect, OwnerAnswerCallback);
    void cancel(const Submitter&);
    /// Asks about a durable job, or cancels it.
    void query(const JobId& id, OwnerAnswerCallback callback) { durable_.query(id, std::move(callback)); }
    void cancelJob(const JobId& id, OwnerAnswerCallback callback) { durable_.cancel(id, std::move(callback)); }
    /// The shard's record says that the shard keeps durable jobs.
    void handleJobsDeclared() { durable_.handleDeclared(); }
    /// Number of shards that share the store.
    void setShardCount(std::size_t count) { durable_.setShardCount(count); }
    /// Cancels every submission of an entry.
    void cancelAllOf(const PeerId&);
    /// Cancels the jobs of entries that have had no connection to this process for a while, such as one that is lost
    /// before it connects to the next owner of a shard.
    void cancelAbandoned(const std::function<bool(const PeerId&)>& isConnected, TimePoint now);
    const PeerId& predecessor() const { return predecessor_; }
    /// Goes on where the predecessor has stopped.
    void takeOver(const HandOver&);
    /// The predecessor is gone without a word; what it left on the upstreams is found by their reports.
    void handlePredecessorGone();

    /// Stops doing anything for the shard, and returns what its next owner needs. Callbacks are dropped.
    HandOver handOver();
    /// Answers every open submission with InDoubt and stops talking to upstreams.
    void abandon();

    Shards::ShardLoad load() const { return engine_.load(); }
    std::size_t unfinishedJobs() const { return engine_.unfinishedJobs(); }
    /// Empty while the durable jobs are not known yet.
    std::optional<std::map<Shards::QueueName, std::uint32_t>> waitingByQueue() const
    {
        return durable_.knowsAll() ? std::optional(durable_.waitingByQueue()) : std::nullopt;
    }
    void advance();

private:
    struct Open {
        Submitter submitter;
        OwnerAnswerCallback callback;
        JobId job;
        std::string queue;
        TimePoint acceptedAt {};
    };

    void progress();
    void carryOut(const Shards::ShardActions&);
    void carryOut(const Shards::StartTask&);
    void carryOut(const Shards::StopTask&);
    void carryOut(const Shards::FinishJob&);
    void carryOut(const Shards::TaskFailed&);
    void carryOut(const Shards::UpstreamSuspected&);
    void carryOut(const Shards::ProgressChanged&);
    void carryOut(const Shards::TaskAdopted&);
    void carryOut(const Shards::AskPermits&);
    Shards::AdmissionDecision admit(const Shards::JobSpec&, const Shards::JobForecast&, bool mayRedirect) const;
    void submitDurable(Shards::JobSpec, OwnerAnswerCallback);
    void openAllSessions();
    /// The journal has been read, or the predecessor has told or is gone.
    void handleJobsKnown();
    /// True once it is known which runs on the upstreams are to go on.
    bool knowsWhatGoesOn() const;
    void handleFenced();
    Shards::SubmissionId open(const Submitter&, const JobId&, const Shards::QueueName&, OwnerAnswerCallback);
    UpstreamSession* session(const Shards::UpstreamId&);
    void openSession(const Shards::UpstreamInfo&);

    NodeContext& context_;
    Shards::ShardName name_;
    Epoch epoch_;
    TimePoint startedAt_;
    Handlers handlers_;
    Shards::ShardEngine engine_;
    DurableJobs durable_;
    PlacementAdvisor advisor_;
    std::map<Shards::UpstreamId, std::shared_ptr<UpstreamSession>> sessions_;
    std::map<Shards::UpstreamId, Shards::UpstreamInfo> upstreams_;
    std::unordered_map<Shards::SubmissionId, Open> open_;
    std::map<Submitter, Shards::SubmissionId> bySubmitter_;
    // When the jobs of an entry without a connection are cancelled.
    std::map<PeerId, TimePoint> absentUntil_;
    std::uint64_t lastSubmission_ { 0 };
    PeerId predecessor_;
    // What the predecessor knew of durable jobs, until the journal has been read.
    std::vector<Shards::TransferredJob> durableLeft_;
    bool progressing_ { false };
    bool progressAgain_ { false };
    bool abandoned_ { false };
    std::shared_ptr<bool> alive_;
};

} // namespace Balsammill
