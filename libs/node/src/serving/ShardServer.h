#pragma once

#include "NodeContext.h"
#include "PlacementAdvisor.h"
#include "UpstreamSession.h"
#include "clients/OwnerAnswer.h"
#include "durable/DurableJobs.h"
#include "ownership/HandOver.h"

#include "balsammill/shards/Admission.h"
#include "balsammill/shards/OwnershipPolicy.h"
#include "balsammill/shards/ShardEngine.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>

namespace Balsammill {

/// Serves one shard while this process owns it: admits jobs, runs the scheduling engine, and communicates with the
/// shard's upstreams.
class ShardServer {
public:
    struct Handlers {
        /// Returns the free capacity of the other shards, to which jobs can be redirected.
        std::function<std::vector<Shards::OtherShard>()> otherShards;
        /// Called when another process has taken over the shard.
        std::function<void()> fenced;
        /// Called when the shard's record has to be marked as having durable jobs.
        std::function<void()> recordDurableJobs;
        /// Answers a submission that an earlier owner accepted.
        std::function<void(const Submitter&, const OwnerAnswer&)> answer;
        /// Asks the origin of an inherited submission whether it still waits for the answer.
        std::function<void(const Submitter&)> requestConfirmation;
        /// True if this process still holds the request of its own submission with this number.
        std::function<bool(std::uint64_t number)> holdsRequest;
    };
    struct Options {
        Shards::ShardName name;
        Epoch epoch;
        /// The entry that hands the shard over; empty if the former owner is lost.
        PeerId predecessor {};
        /// The shard's record is marked as having durable jobs.
        bool hasDurableJobs { false };
        /// When the write of the record that made this process the owner was sent.
        TimePoint ownershipConfirmedAt {};
    };

    ShardServer(NodeContext&, Platform::Store&, const Options&, Handlers);
    ~ShardServer();

    const Shards::ShardName& name() const { return name_; }
    Epoch epoch() const { return epoch_; }
    TimePoint startedAt() const { return startedAt_; }

    /// A write of the shard's record that was sent at this time has succeeded.
    void confirmOwnership(TimePoint sentAt);

    void updateUpstream(const Shards::UpstreamInfo&);
    void removeUpstream(const Shards::UpstreamId&);

    /// age: time since the client's request arrived. timeout: remaining time for which the client waits; 0 if the
    /// client has set none. link: the connection on which the submission arrived; null if this process is its origin.
    /// The callback is called exactly once, unless the submission is cancelled or handed over, or the server is
    /// destroyed.
    void submit(const Submitter&, const PeerLink* link, Shards::JobSpec, Duration age, Duration timeout,
        bool mayRedirect, OwnerAnswerCallback);
    void cancel(const Submitter&);
    /// Queries the state of a durable job, or cancels the job.
    void query(const JobId&, OwnerAnswerCallback);
    void cancelJob(const JobId&, OwnerAnswerCallback);
    /// The shard's record has been marked as having durable jobs.
    void handleDurableJobsRecorded() { durable_.handleRecordUpdated(); }
    /// Sets the number of shards that share the store's write rate.
    void setShardCount(std::size_t count) { durable_.setShardCount(count); }
    /// Cancels all submissions that arrived on a connection, because their entry treats them as lost once it closes.
    void cancelAllFrom(const PeerLink&);
    bool holds(const Submitter& submitter) const { return bySubmitter_.contains(submitter); }
    /// The origin of a submission waits for the answer on this connection. Returns false if the submission is not
    /// known.
    bool confirm(const Submitter&, const PeerLink&, OwnerAnswerCallback);
    const PeerId& predecessor() const { return predecessor_; }
    /// Continues with the state that the predecessor has handed over.
    void takeOver(const HandOver&);
    /// The predecessor was lost before it sent its state. Its runs are found through the upstreams' reports.
    void handlePredecessorGone();

    /// Stops serving the shard and returns the state for its next owner. Callbacks of open submissions are dropped.
    HandOver handOver();
    /// Answers every open submission with InDoubt and closes the sessions with upstreams.
    void abandon();

    Shards::ShardLoad load() const { return engine_.load(monotonicNow()); }
    std::size_t unfinishedJobs() const { return engine_.unfinishedJobs(); }
    /// Empty until the durable jobs have been read from the journal.
    std::optional<std::map<Shards::QueueName, std::uint32_t>> waitingByQueue() const
    {
        return durable_.inheritedJobsLoaded() ? std::optional(durable_.waitingByQueue()) : std::nullopt;
    }
    void advance();

private:
    struct OpenSubmission {
        Submitter submitter;
        // Connection on which the submission arrived; none if this process is its origin.
        LinkId link {};
        OwnerAnswerCallback callback;
        JobId job;
        std::string queue;
        TimePoint acceptedAt {};
    };

    void runScheduler();
    void updateEvacuation();
    /// Logs and counts what the engine has learned about tasks that slow each other down.
    void reportInterference();
    /// Answers a submission whose job cannot run because the failure domain is evacuated.
    void answerEvacuated(const OpenSubmission&, const Shards::FinishJob&);
    void execute(const Shards::ShardActions&);
    void execute(const Shards::StartTask&);
    void execute(const Shards::StopTask&);
    void execute(const Shards::FinishJob&);
    void execute(const Shards::TaskFailed&);
    void execute(const Shards::UpstreamSuspected&);
    void execute(const Shards::ProgressChanged&);
    void execute(const Shards::TaskAdopted&);
    void execute(const Shards::RunLost&);
    void execute(const Shards::PermitRequest&);
    Shards::AdmissionDecision admit(const Shards::JobSpec&, const Shards::JobForecast&, bool mayRedirect) const;
    /// Submits a durable job once the jobs of earlier owners are known: it may be one of them.
    void deferDurable(const Submitter&, Shards::JobSpec, Duration age, OwnerAnswerCallback);
    void submitDurable(Shards::JobSpec, OwnerAnswerCallback);
    /// True while no other owner acts on the shard's durable jobs.
    bool mayActOnDurableJobs() const { return monotonicNow() < ownershipValidUntil_; }
    void openAllSessions();
    /// The journal has been read, or the predecessor has sent its state or was lost.
    void handleInheritedStateKnown();
    /// True once it is known which runs of earlier owners have to continue on the upstreams.
    bool inheritedStateKnown() const;
    void handleFenced();
    Shards::SubmissionId addSubmission(
        const Submitter&, const PeerLink*, const JobId&, const Shards::QueueName&, OwnerAnswerCallback);
    Shards::OriginId addOrigin(const PeerLink&);
    /// Passes on when each connection with submissions was last confirmed.
    void confirmOrigins();
    /// Cancels a submission in the engine; the caller runs the scheduler afterwards.
    void removeSubmission(const Submitter&);
    void removeAll(const std::vector<Submitter>&, const PeerId& origin, std::string_view reason);
    void adoptSubmission(const HandOver::Job&);
    /// Asks for confirmations of inherited submissions again, and cancels those that got none in time.
    void checkUnconfirmed(TimePoint now);
    UpstreamSession* session(const Shards::UpstreamId&);
    void openSession(const Shards::UpstreamInfo&);

    NodeContext& context_;
    Shards::ShardName name_;
    Epoch epoch_;
    TimePoint startedAt_;
    // When inheritedStateKnown() became true; TimePoint::max() before.
    TimePoint inheritedStateKnownAt_ { TimePoint::max() };
    TimePoint ownershipValidUntil_ {};
    bool ownershipExpiryLogged_ { false };
    Handlers handlers_;
    Shards::ShardEngine engine_;
    DurableJobs durable_;
    PlacementAdvisor advisor_;
    std::map<Shards::UpstreamId, std::shared_ptr<UpstreamSession>> sessions_;
    std::map<Shards::UpstreamId, Shards::UpstreamInfo> upstreams_;
    std::unordered_map<Shards::SubmissionId, OpenSubmission> openSubmissions_;
    std::map<Submitter, Shards::SubmissionId> bySubmitter_;
    // Connections on which submissions have arrived or were confirmed.
    std::map<LinkId, std::weak_ptr<const PeerLink>> originLinks_;
    // Inherited submissions whose origins have not confirmed them yet, and when they are cancelled.
    std::map<Submitter, TimePoint> unconfirmed_;
    std::uint64_t lastSubmission_ { 0 };
    PeerId predecessor_;
    // Progress of durable jobs as sent by the predecessor, kept until the journal has been read.
    std::vector<Shards::TransferredJob> inheritedDurableJobs_;
    std::uint64_t reportedPlacementsApart_ { 0 };
    bool scheduling_ { false };
    bool scheduleAgain_ { false };
    bool abandoned_ { false };
    std::shared_ptr<bool> alive_;
};

} // namespace Balsammill
