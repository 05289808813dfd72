#pragma once

#include "NodeContext.h"
#include "ownership/ShardDirectory.h"
#include "ownership/ShardOwnership.h"
#include "peers/PeerNetwork.h"

#include <functional>
#include <map>
#include <unordered_map>
#include <variant>

namespace Balsammill {

/// Answer to a client's request about a job.
struct JobAnswer {
    enum class Kind {
        Completed,
        Failed,
        /// The job has not run and will not run.
        Refused,
        /// The job has not run and will not run, because the store cannot hold it.
        NotStorable,
        /// The job may have run in part, or may have been accepted.
        InDoubt,
        /// A durable job has been stored.
        Accepted,
        /// The state of a durable job.
        Known,
        UnknownJob,
        /// The owner of the job's shard cannot be reached at present.
        Unreachable,
    };
    Kind kind { Kind::InDoubt };
    Duration retryAfter {};
    Shards::JobState state { Shards::JobState::Queued };
};

using JobAnswerCallback = std::function<void(const JobAnswer&)>;
using RequestNumber = StrongNumber<struct RequestNumberTag>;

/// Forwards clients' requests to the owners of shards and returns the answers. A job goes to the reachable shard of
/// this failure domain with the most free capacity, or to one in another domain if none of this domain can be reached.
/// A durable job and requests about it go to the home shard that the job id determines. While that shard has no
/// reachable owner, the request waits for a short time, which a planned handover takes; if the shard has been without
/// one for longer, the request fails at once.
class JobClient {
public:
    JobClient(NodeContext&, PeerNetwork&, ShardDirectory&, ShardOwnership&);

    /// Submits a job. The callback is called exactly once and never from within this call, unless the request is
    /// cancelled. responseDeadline: when the client's timeout expires; TimePoint::max() if the client has set none.
    RequestNumber submit(Shards::JobSpec, TimePoint responseDeadline, JobAnswerCallback);
    /// Requests the state of a durable job.
    RequestNumber query(const JobId&, TimePoint responseDeadline, JobAnswerCallback);
    /// Requests the cancellation of a durable job.
    RequestNumber cancelJob(const JobId&, TimePoint responseDeadline, JobAnswerCallback);
    /// Cancels a request whose client has disconnected. The callback is not called.
    void cancel(RequestNumber);
    void handleAnswer(RequestNumber attempt, const OwnerAnswer&);
    /// The request's shard was handed over; the new owner will answer the request once it is confirmed.
    void handleMoved(RequestNumber, const Shards::ShardName&, const ShardLocation& owner);
    /// True if the request has neither been answered nor cancelled.
    bool holds(RequestNumber number) const { return requests_.contains(number); }
    void handlePeerClosed(const PeerLink&);
    /// Number of accepted durable jobs of a queue without a started task; empty if a shard's count is missing or stale.
    std::optional<std::uint32_t> waitingJobs(const Shards::QueueName&) const;
    /// Answers every open request with InDoubt and cancels it.
    void abandonAll();
    /// Keeps connections to the owners of all shards open, and retries or times out waiting requests.
    void advance(TimePoint now);
    /// Confirms to the owner at the other end of a connection that the clients of its open submissions still wait:
    /// sends a message without content, which returns the time of the owner's last message. Sends nothing if there are
    /// none.
    void confirmSubmissions(PeerLink&) const;
    /// True if the owner of at least one shard can be reached.
    bool canServe() const;
    std::size_t openRequests() const { return requests_.size(); }

private:
    struct Submission {
        Shards::JobSpec spec;
    };
    struct JobQuery {
        JobId job;
        bool cancel { false };
    };
    struct Request {
        std::variant<Submission, JobQuery> operation;
        JobAnswerCallback callback {};
        TimePoint arrivedAt {};
        Shards::ShardName shard {};
        TimePoint responseDeadline {};
        // End of the wait for a reachable owner, for a job that is not durable.
        TimePoint ownerWaitDeadline {};
        // Connection to the owner; empty if the owner is this process.
        std::weak_ptr<PeerLink> link {};
        unsigned attempts { 0 };
        bool redirected { false };
        // Number under which the request was last sent to an owner.
        RequestNumber attempt {};
        // An earlier owner was lost and may have acted on the request.
        bool inDoubt { false };
        // Start of the wait for a reachable owner; empty if the request is not waiting.
        std::optional<TimePoint> waitingForOwnerSince {};
        std::vector<Shards::ShardName> triedShards {};
        // Epoch of the owner that the latest notice of a handover named; 0 before any.
        Epoch ownerEpoch {};
        // New owner to which no connection is open yet; empty if there is none.
        NetworkAddress newOwnerAddress {};
        TimePoint newOwnerDeadline {};
    };

    struct Target {
        Shards::ShardName shard {};
        std::shared_ptr<PeerLink> link;
        ShardServer* local { nullptr };
    };

    std::optional<Target> findTarget(const Shards::ShardName&) const;
    /// True if the shard has an owner that this process is or is connected to.
    bool isReachable(const Shards::ShardName&) const;
    void noteReachability(TimePoint now);
    std::optional<Target> chooseTarget(const Request&) const;
    RequestNumber add(Request);
    /// Number for the next attempt of a request. Each attempt of a request for a home shard has its own, because an
    /// owner may answer one after the request has been sent again.
    RequestNumber beginAttempt(RequestNumber, Request&);
    /// The request whose current attempt has this number; empty if the attempt is outdated.
    std::optional<RequestNumber> requestOfAttempt(RequestNumber attempt) const;
    /// Removes a request. It must exist.
    Request take(RequestNumber);
    static const JobId& jobIdOf(const Request&);
    static bool hasHomeShard(const Request&);
    void dispatch(RequestNumber);
    void dispatchToHomeShard(RequestNumber);
    void send(RequestNumber, Request&, const Target&);
    void sendSubmission(RequestNumber, Request&, const Target&, const Submission&);
    void sendQuery(RequestNumber, const Target&, const JobQuery&);
    void failUnreachable(RequestNumber, const Request&);
    static void waitForOwner(Request&, TimePoint now);
    void connectToNewOwner(RequestNumber, Request&, TimePoint now);
    /// Tells the owner at this address, if a connection to it is open, that the request is not held here.
    void cancelAt(const NetworkAddress& owner, RequestNumber);
    void answer(RequestNumber, const JobAnswer&);
    /// Answers that the job is in doubt, and cancels it wherever it may still be held.
    void answerInDoubt(RequestNumber);

    NodeContext& context_;
    PeerNetwork& peers_;
    ShardDirectory& directory_;
    ShardOwnership& ownership_;
    std::unordered_map<RequestNumber, Request> requests_;
    // Requests by the number of their current attempt, where it is not the request's own.
    std::unordered_map<RequestNumber, RequestNumber> attempts_;
    // Since when shards have no reachable owner.
    std::map<Shards::ShardName, TimePoint> unreachableSince_;
    std::uint64_t lastRequest_ { 0 };
};

} // namespace Balsammill
