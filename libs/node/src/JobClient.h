#pragma once

#include "NodeContext.h"
#include "PeerNetwork.h"
#include "ShardDirectory.h"
#include "ShardOwnership.h"

#include <functional>
#include <unordered_map>

namespace balsammill::internal {
class ShardJobAnswer;
}

namespace Balsammill {

/// What a client is told about its job.
struct JobAnswer {
    enum class Kind {
        Completed,
        Failed,
        /// The job has not run and will not.
        Refused,
        /// The job may have run in part.
        InDoubt,
    };
    Kind kind { Kind::InDoubt };
    Duration retryAfter {};
};

using JobAnswerCallback = std::function<void(const JobAnswer&)>;
using RequestNumber = StrongNumber<struct RequestNumberTag>;

/// Takes jobs from clients to the owner of a shard and brings the answers back. A job goes to a shard of this failure
/// domain, or to the one with the most room elsewhere if none of this domain can be reached.
class JobClient {
public:
    JobClient(NodeContext&, PeerNetwork&, ShardDirectory&, ShardOwnership&);

    /// The callback is called once, never from within this call, unless the request is cancelled.
    /// answerBy: until when the client waits.
    RequestNumber submit(Shards::JobSpec, TimePoint answerBy, JobAnswerCallback);
    /// The client has gone.
    void cancel(RequestNumber);
    void handleAnswer(const balsammill::internal::ShardJobAnswer&);
    void handlePeerClosed(const PeerLink&);
    /// Answers every open request with InDoubt and cancels its job.
    void abandonAll();
    /// Opens connections to the owners of all shards.
    void advance(TimePoint now);
    /// True if a job could be handed to some owner now.
    bool canServe() const;
    std::size_t openRequests() const { return requests_.size(); }

private:
    struct Request {
        Shards::JobSpec spec {};
        JobAnswerCallback callback {};
        TimePoint arrivedAt {};
        Shards::ShardName shard {};
        TimePoint answerBy {};
        // Empty if the owner is this process.
        std::weak_ptr<PeerLink> link {};
        unsigned attempts { 0 };
        bool redirected { false };
        std::vector<Shards::ShardName> refusedBy {};
    };

    struct Target {
        Shards::ShardName shard {};
        std::shared_ptr<PeerLink> link;
        ShardServer* local { nullptr };
    };

    std::optional<Target> reach(const Shards::ShardName&) const;
    std::optional<Target> choose(const Request&) const;
    void dispatch(RequestNumber);
    void handleOwnerAnswer(RequestNumber, const OwnerAnswer&);
    void answer(RequestNumber, const JobAnswer&);

    NodeContext& context_;
    PeerNetwork& peers_;
    ShardDirectory& directory_;
    ShardOwnership& ownership_;
    std::unordered_map<RequestNumber, Request> requests_;
    std::uint64_t lastRequest_ { 0 };
};

} // namespace Balsammill
