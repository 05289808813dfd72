#pragma once

#include "balsammill/base/ProcessId.h"
#include "balsammill/jobs/JobActions.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <tuple>
#include <variant>

namespace Balsammill::Detail {

/// Outcome of one request: a result, an error, or the process that the request is redirected to.
using JobReply = std::variant<balsammill::v1::JobResult, RpcErrorDetails, ProcessId>;

/// Identifies a request from another entry by the id that the entry assigned.
struct PeerRequest {
    ProcessId peer;
    std::uint64_t requestId { 0 };

    bool operator<(const PeerRequest& other) const
    {
        return std::tie(peer, requestId) < std::tie(other.peer, other.requestId);
    }
};

/// Blocks caller threads until their replies arrive, and tracks requests received from other entries. Thread-safe.
class JobWaiters {
public:
    explicit JobWaiters(std::uint64_t firstId);

    RequestId addThread();
    /// Empty if the same request is already waiting, which happens when a message was resent.
    std::optional<RequestId> addPeer(const PeerRequest&);

    /// Waits for the reply to a thread's request; empty if the deadline passed first.
    std::optional<JobReply> wait(RequestId, TimePoint deadline);
    void remove(RequestId);
    /// Delivers a reply to the waiting thread. For a request from another entry, returns the request to reply to.
    std::optional<PeerRequest> reply(RequestId, JobReply);
    /// Ends all current and future waits with this error.
    void shutDown(const RpcErrorDetails&);

private:
    struct Waiter {
        std::condition_variable arrived;
        std::optional<JobReply> reply;
        std::optional<PeerRequest> peer;
    };

    std::mutex mutex_;
    std::uint64_t nextId_;
    std::map<RequestId, Waiter> waiters_;
    std::map<PeerRequest, RequestId> peers_;
    std::optional<RpcErrorDetails> shutDown_;
};

} // namespace Balsammill::Detail
