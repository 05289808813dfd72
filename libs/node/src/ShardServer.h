#pragma once

#include "NodeContext.h"
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

/// What the owner of a shard answers to a submission.
struct OwnerAnswer {
    enum class Kind {
        Completed,
        Failed,
        Refused,
        Redirected,
        /// The job may have run in part.
        InDoubt,
        /// This process does not own the shard; the job has not run here.
        NotOwner,
    };
    Kind kind { Kind::InDoubt };
    Duration retryAfter {};
    Shards::ShardName redirect;
};

using OwnerAnswerCallback = std::function<void(const OwnerAnswer&)>;

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
    };

    /// predecessor: the entry that hands the shard over and may still use upstreams; empty if there is none.
    ShardServer(NodeContext&, Shards::ShardName, Epoch, PeerId predecessor, Handlers);
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
    /// Cancels every submission that came over a connection.
    void cancelAllOf(const PeerLink&);
    const PeerId& predecessor() const { return predecessor_; }
    /// The predecessor still uses these upstreams; all others may be used here.
    void handlePredecessorHolds(const std::set<Shards::UpstreamId>&);
    /// The predecessor is gone; what runs on its upstreams is stopped.
    void handlePredecessorGone();

    /// Another entry owns the shard now. Submissions are answered with NotOwner; jobs that were accepted go on on the
    /// upstreams that are held until nothing runs on them.
    void retire();
    std::vector<Shards::UpstreamId> heldUpstreams() const;
    /// Answers every open submission with InDoubt and stops talking to upstreams.
    void abandon();

    Shards::ShardLoad load() const { return engine_.load(); }
    std::size_t unfinishedJobs() const { return engine_.unfinishedJobs(); }
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
    UpstreamSession* session(const Shards::UpstreamId&);
    void openSession(const Shards::UpstreamInfo&);
    void releaseIdle();

    NodeContext& context_;
    Shards::ShardName name_;
    Epoch epoch_;
    TimePoint startedAt_;
    Handlers handlers_;
    Shards::ShardEngine engine_;
    std::map<Shards::UpstreamId, std::shared_ptr<UpstreamSession>> sessions_;
    std::map<Shards::UpstreamId, Shards::UpstreamInfo> upstreams_;
    std::unordered_map<Shards::SubmissionId, Open> open_;
    std::map<Submitter, Shards::SubmissionId> bySubmitter_;
    std::uint64_t lastSubmission_ { 0 };
    PeerId predecessor_;
    // Empty while the predecessor has not said what it holds.
    std::optional<std::set<Shards::UpstreamId>> heldByPredecessor_;
    bool retiring_ { false };
    bool progressing_ { false };
    bool progressAgain_ { false };
    bool abandoned_ { false };
    std::shared_ptr<bool> alive_;
};

} // namespace Balsammill
