#pragma once

#include "DurableJobs.h"
#include "NodeContext.h"
#include "OwnerAnswer.h"
#include "PeerLink.h"
#include "UpstreamSession.h"

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

/// A submission at the owner: who is answered, under which number of theirs.
struct Submitter {
    /// Null if the submission came from this process.
    const PeerLink* link { nullptr };
    std::uint64_t number { 0 };

    auto operator<=>(const Submitter&) const = default;
};

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
    };
    struct Options {
        Shards::ShardName name;
        Epoch epoch;
        /// The entry that hands the shard over and may still use upstreams; empty if there is none.
        PeerId predecessor {};
        /// The shard has durable jobs in the store.
        bool keepsJobs { false };
    };

    ShardServer(NodeContext&, Platform::Store&, const Options&, Handlers);
    ~ShardServer();

    const Shards::ShardName& name() const { return name_; }
    Epoch epoch() const { return epoch_; }

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
    /// Cancels every submission that came over a connection.
    void cancelAllOf(const PeerLink&);
    const PeerId& predecessor() const { return predecessor_; }
    /// The predecessor still uses the held upstreams; all others may be used here. On those left, tasks of durable jobs
    /// run on that the predecessor started.
    void handlePredecessorHolds(const std::set<Shards::UpstreamId>& held, const std::set<Shards::UpstreamId>& left);
    /// The predecessor is gone; what runs on its upstreams is stopped.
    void handlePredecessorGone();

    /// Another entry owns the shard now. Submissions are answered with NotOwner; jobs that were accepted go on on the
    /// upstreams that are held until nothing runs on them.
    void retire();
    std::vector<Shards::UpstreamId> heldUpstreams() const;
    /// Upstreams on which tasks of durable jobs went on when this entry retired.
    const std::set<Shards::UpstreamId>& leftUpstreams() const { return leftUpstreams_; }
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
    Shards::AdmissionDecision admit(const Shards::JobSpec&, const Shards::JobForecast&, bool mayRedirect) const;
    void submitDurable(Shards::JobSpec, OwnerAnswerCallback);
    void openAllSessions();
    /// True if another entry may be using the upstream, or it cannot be known what is to go on there.
    bool isWithheld(const Shards::UpstreamId&) const;
    void handleFenced();
    void settleInheritance(TimePoint now);
    UpstreamSession* session(const Shards::UpstreamId&);
    void openSession(const Shards::UpstreamInfo&);
    void releaseIdle();

    NodeContext& context_;
    Shards::ShardName name_;
    Epoch epoch_;
    TimePoint startedAt_;
    Handlers handlers_;
    Shards::ShardEngine engine_;
    DurableJobs durable_;
    std::map<Shards::UpstreamId, std::shared_ptr<UpstreamSession>> sessions_;
    std::map<Shards::UpstreamId, Shards::UpstreamInfo> upstreams_;
    std::unordered_map<Shards::SubmissionId, Open> open_;
    std::map<Submitter, Shards::SubmissionId> bySubmitter_;
    std::uint64_t lastSubmission_ { 0 };
    PeerId predecessor_;
    // Empty while the predecessor has not said what it holds.
    std::optional<std::set<Shards::UpstreamId>> heldByPredecessor_;
    // Upstreams that the predecessor has named: what it started there is known once they have reported.
    std::set<Shards::UpstreamId> namedByPredecessor_;
    std::set<Shards::UpstreamId> leftUpstreams_;
    // The predecessor has said that it uses nothing any more, and its upstreams have not all reported yet.
    bool settling_ { false };
    bool retiring_ { false };
    bool progressing_ { false };
    bool progressAgain_ { false };
    bool abandoned_ { false };
    std::shared_ptr<bool> alive_;
};

} // namespace Balsammill
