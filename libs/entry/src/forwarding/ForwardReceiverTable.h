#pragma once

#include "balsammill/base/ProcessId.h"
#include "balsammill/base/Units.h"

#include <balsammill/internal/peer.pb.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <variant>

namespace Balsammill::Detail {

/// Identifies a forwarded task: the sending process (VM and incarnation) and the request id it assigned.
struct ForwardKey {
    ProcessId sender;
    RequestId id;

    auto operator<=>(const ForwardKey&) const = default;
};

struct ForwardReceiverLimits {
    std::size_t maxTasks { 65'536 };
    std::size_t maxReplyBytes { 16 * 1024 * 1024 };
    /// Minimum time for which ended and revoked tasks are kept. A ForwardTask may be delayed in a socket, and the
    /// remaining time that it carries is as of its sending.
    Duration retention { std::chrono::seconds(60) };
};

enum class ForwardAcceptance {
    Submit,
    /// Already accepted, or revoked.
    Duplicate,
    /// The table is full, so duplicates could not be detected and the task must not start.
    Full,
};

struct NotStarted { };
struct MayHaveStarted { };
/// The reply must be sent again, because the first one may have been lost.
struct Answered {
    std::shared_ptr<const balsammill::internal::TaskDone> reply;
};
/// The task was submitted to the dispatcher; the revocation succeeds if it can be cancelled there.
struct TryCancel {
    TaskId task;
};
using RevocationDecision = std::variant<NotStarted, MayHaveStarted, Answered, TryCancel>;

/// Tasks that other processes forwarded to this one. Not thread-safe; the caller passes the current time.
class ForwardReceiverTable {
public:
    explicit ForwardReceiverTable(ForwardReceiverLimits limits)
        : limits_(limits)
    {
    }

    ForwardAcceptance accept(const ForwardKey&, TimePoint deadline);
    void submitted(const ForwardKey&, TaskId);
    void finish(const ForwardKey&, std::shared_ptr<const balsammill::internal::TaskDone>, TimePoint now);
    /// After a NotStarted decision, a late ForwardTask is rejected as a duplicate at least until the deadline.
    RevocationDecision revoke(const ForwardKey&, TimePoint deadline, TimePoint now);
    /// Evicts tasks whose retention period has passed.
    void tick(TimePoint now);

    std::size_t size() const { return tasks_.size(); }

private:
    struct Task {
        TimePoint deadline;
        std::optional<TaskId> dispatched {};
        bool ended { false };
        /// Ended, or revoked before it arrived, without having started.
        bool notStarted { false };
        TimePoint evictAt {};
        std::shared_ptr<const balsammill::internal::TaskDone> reply {};
    };

    void storeReply(const ForwardKey&, Task&, std::shared_ptr<const balsammill::internal::TaskDone>);

    ForwardReceiverLimits limits_;
    std::map<ForwardKey, Task> tasks_;
    /// Tasks with a stored reply, oldest first.
    std::deque<ForwardKey> replies_;
    std::size_t replyBytes_ { 0 };
};

} // namespace Balsammill::Detail
