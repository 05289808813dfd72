#pragma once

#include "balsammill/entry/Dispatcher.h"
#include "balsammill/membership/MemberView.h"

#include <map>
#include <optional>
#include <vector>

namespace Balsammill::Detail {

struct ForwardTimes {
    /// Silence after which the receiver is asked to revoke the task, even if its deadline is later.
    Duration answerTimeout { std::chrono::seconds(2) };
    /// Time between two requests to revoke the same task.
    Duration revokeInterval { std::chrono::milliseconds(500) };
    /// Wait for an answer after the deadline of the task or the death of the receiver.
    Duration grace { std::chrono::seconds(1) };
};

/// A task that ended without an answer of its receiver, or with the confirmation that it did not start.
struct EndedForward {
    DispatchCompletion completion;
    RpcErrorDetails error;
};

struct RevocationRequest {
    ProcessId receiver;
    RequestId id;
    TimePoint deadline;
};

/// Tasks that this process forwarded and that are not completed. Not thread-safe; holds no clock.
///
/// A task is reported as not-run only if the very run of the receiver that it was sent to says so.
class ForwardSenderTable {
public:
    explicit ForwardSenderTable(ForwardTimes times)
        : times_(times)
    {
    }

    RequestId add(const ProcessId& receiver, TimePoint deadline, DispatchCompletion, TimePoint now);
    /// Forgets a task that was not sent or whose answer arrived. Empty if it is completed already.
    std::optional<DispatchCompletion> take(RequestId);
    /// The same for an answer; empty unless it comes from the receiver of the task.
    std::optional<DispatchCompletion> takeAnswered(RequestId, const ProcessId& sender);
    std::optional<EndedForward> applyRevoked(RequestId, const ProcessId& sender, bool started, TimePoint now);

    struct Due {
        std::vector<RevocationRequest> revocations;
        std::vector<EndedForward> ended;
    };
    /// What is due now, given who is alive.
    Due tick(const MemberView&, TimePoint now);

    std::size_t size() const { return pending_.size(); }

private:
    struct Pending {
        ProcessId receiver;
        TimePoint deadline;
        DispatchCompletion completion;
        TimePoint nextRevokeAt;
        /// Without an answer the task then ends as may-have-run.
        TimePoint giveUpAt;
        bool receiverLost { false };
    };

    void noteLostReceiver(Pending&, TimePoint now) const;

    ForwardTimes times_;
    std::map<RequestId, Pending> pending_;
    std::uint64_t lastId_ { 0 };
};

} // namespace Balsammill::Detail
