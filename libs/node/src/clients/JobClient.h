#pragma once

#include "NodeContext.h"
#include "ownership/ShardDirectory.h"
#include "ownership/ShardOwnership.h"
#include "peers/PeerNetwork.h"

#include <functional>
#include <unordered_map>
#include <variant>

namespace Balsammill {

/// What a client is told about its job.
struct JobAnswer {
    enum class Kind {
        Completed,
        Failed,
        /// The job has not run and will not.
        Refused,
        /// The job may have run in part, or may have been accepted.
        InDoubt,
        /// A durable job is stored.
        Accepted,
        /// The state of a durable job.
        Known,
        UnknownJob,
        /// The owner of the job cannot be asked now.
        Unreachable,
    };
    Kind kind { Kind::InDoubt };
    Duration retryAfter {};
    Shards::JobState state { Shards::JobState::Queued };
};

using JobAnswerCallback = std::function<void(const JobAnswer&)>;
using RequestNumber = StrongNumber<struct RequestNumberTag>;

/// Takes jobs from clients to the owner of a shard and brings the answers back. A job goes to a shard of this failure
/// domain, or to the one with the most room elsewhere if none of this domain can be reached. A durable job, and what is
/// asked about it, goes to the shard that its id determines; while that shard changes its owner the request waits.
class JobClient {
public:
    JobClient(NodeContext&, PeerNetwork&, ShardDirectory&, ShardOwnership&);

    /// The callback is called once, never from within this call, unless the request is cancelled.
    /// answerBy: until when the client waits.
    RequestNumber submit(Shards::JobSpec, TimePoint answerBy, JobAnswerCallback);
    /// Asks for the state of a durable job.
    RequestNumber query(const JobId&, TimePoint answerBy, JobAnswerCallback);
    /// Asks to cancel a durable job.
    RequestNumber cancelJob(const JobId&, TimePoint answerBy, JobAnswerCallback);
    /// The client has gone.
    void cancel(RequestNumber);
    void handleAnswer(RequestNumber, const OwnerAnswer&);
    /// Another process answers the request from now on.
    void handleMoved(RequestNumber, const Shards::ShardName&, const NetworkAddress& owner);
    void handlePeerClosed(const PeerLink&);
    /// Accepted durable jobs of a queue of which no task has started; empty if that is not known now.
    std::optional<std::uint32_t> waitingJobs(const Shards::QueueName&) const;
    /// Answers every open request with InDoubt and cancels its job.
    void abandonAll();
    /// Opens connections to the owners of all shards, and sends what had to wait for one.
    void advance(TimePoint now);
    /// True if a job could be handed to some owner now.
    bool canServe() const;
    std::size_t openRequests() const { return requests_.size(); }

private:
    struct Submission {
        Shards::JobSpec spec;
    };
    struct Question {
        JobId job;
        bool cancel { false };
    };
    struct Request {
        std::variant<Submission, Question> what;
        JobAnswerCallback callback {};
        TimePoint arrivedAt {};
        Shards::ShardName shard {};
        TimePoint answerBy {};
        // Until when a job that is not durable waits for any owner.
        TimePoint waitsUntil {};
        // Empty if the owner is this process.
        std::weak_ptr<PeerLink> link {};
        unsigned attempts { 0 };
        bool redirected { false };
        // An owner that is gone may have acted on the request.
        bool inDoubt { false };
        // Since when it waits for its shard to have an owner that can be reached; empty if it does not.
        std::optional<TimePoint> parkedAt {};
        std::vector<Shards::ShardName> refusedBy {};
        // The owner that answers now but is not connected to yet; empty if there is none.
        NetworkAddress movedTo {};
        TimePoint movedUntil {};
    };

    struct Target {
        Shards::ShardName shard {};
        std::shared_ptr<PeerLink> link;
        ShardServer* local { nullptr };
    };

    std::optional<Target> reach(const Shards::ShardName&) const;
    std::optional<Target> choose(const Request&) const;
    RequestNumber add(Request);
    static const JobId& jobOf(const Request&);
    static bool isHomed(const Request&);
    void dispatch(RequestNumber);
    void dispatchHome(RequestNumber);
    void send(RequestNumber, Request&, const Target&);
    void sendSubmission(RequestNumber, Request&, const Target&, const Submission&);
    void sendQuestion(RequestNumber, const Target&, const Question&);
    void giveUp(RequestNumber, const Request&);
    static void park(Request&, TimePoint now);
    void followMoved(Request&, TimePoint now);
    void answer(RequestNumber, const JobAnswer&);

    NodeContext& context_;
    PeerNetwork& peers_;
    ShardDirectory& directory_;
    ShardOwnership& ownership_;
    std::unordered_map<RequestNumber, Request> requests_;
    std::uint64_t lastRequest_ { 0 };
};

} // namespace Balsammill
