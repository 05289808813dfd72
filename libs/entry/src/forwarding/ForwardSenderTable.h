#pragma once

#include "balsammill/entry/Dispatcher.h"
#include "balsammill/membership/MemberView.h"

#include <map>
#include <optional>
#include <vector>

namespace Balsammill::Detail {

struct ForwardTimeouts {
    /// If the receiver has not answered within this time, it is asked to revoke the task, even before the deadline.
    Duration answerTimeout { std::chrono::seconds(2) };
    /// Time between two requests to revoke the same task.
    Duration revokeInterval { std::chrono::milliseconds(500) };
    /// How long to wait for an answer after the deadline of the task or after the receiver stopped responding.
    Duration gracePeriod { std::chrono::seconds(1) };
};

/// A forwarded task that ended without a result: unanswered, or confirmed by the receiver as not started.
struct EndedForward {
    DispatchCompletion completion;
    RpcErrorDetails error;
};

struct RevocationRequest {
    ProcessId receiver;
    RequestId id;
    TimePoint deadline;
};

/// Forwarded tasks of this process that have not completed. Not thread-safe; the caller passes the current time.
///
/// A task is reported as not-run only if the incarnation of the receiver that it was sent to confirms it.
class ForwardSenderTable {
public:
    explicit ForwardSenderTable(ForwardTimeouts timeouts)
        : timeouts_(timeouts)
    {
    }

    RequestId add(const ProcessId& receiver, TimePoint deadline, DispatchCompletion, TimePoint now);
    /// Removes a task that was not sent or whose answer arrived, and returns its completion. Empty if the task has
    /// already completed.
    std::optional<DispatchCompletion> take(RequestId);
    /// Like take(), but for an answer. Empty also if the sender of the answer is not the receiver of the task.
    std::optional<DispatchCompletion> takeAnswered(RequestId, const ProcessId& sender);
    std::optional<EndedForward> applyRevoked(RequestId, const ProcessId& sender, bool started, TimePoint now);

    struct Due {
        std::vector<RevocationRequest> revocations;
        std::vector<EndedForward> ended;
    };
    /// Returns the revocations to send and the tasks to give up on, based on the liveness of the receivers.
    Due tick(const MemberView&, TimePoint now);

    std::size_t size() const { return pending_.size(); }

private:
    struct Pending {
        ProcessId receiver;
        TimePoint deadline;
        DispatchCompletion completion;
        TimePoint nextRevokeAt;
        /// Without an answer by this time, the task ends as may-have-run.
        TimePoint giveUpAt;
        bool receiverUnresponsive { false };
    };

    void markReceiverUnresponsive(Pending&, TimePoint now) const;

    ForwardTimeouts timeouts_;
    std::map<RequestId, Pending> pending_;
    std::uint64_t lastId_ { 0 };
};

} // namespace Balsammill::Detail
