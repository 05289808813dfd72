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

/// What came of one request: an answer, or the process that is to be asked instead.
using JobReply = std::variant<balsammill::v1::JobResult, RpcErrorDetails, ProcessId>;

/// A request of another entry, under the id that the entry gave it.
struct PeerRequest {
    ProcessId peer;
    std::uint64_t requestId { 0 };

    bool operator<(const PeerRequest& other) const
    {
        return std::tie(peer, requestId) < std::tie(other.peer, other.requestId);
    }
};

/// Blocks threads of callers until their reply arrives, and remembers which requests came from other entries.
class JobWaiters {
public:
    explicit JobWaiters(std::uint64_t firstId);

    RequestId addThread();
    /// Empty if the same request is already waiting, because a message was repeated.
    std::optional<RequestId> addPeer(const PeerRequest&);

    /// The reply of a thread's request; empty once the deadline has passed.
    std::optional<JobReply> wait(RequestId, TimePoint deadline);
    void remove(RequestId);
    /// Wakes the thread; for a request of another entry, returns where the reply has to be sent.
    std::optional<PeerRequest> reply(RequestId, JobReply);
    /// Ends every wait with this error, also later ones.
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
