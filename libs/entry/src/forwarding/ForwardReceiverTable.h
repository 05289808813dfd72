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

/// A forwarded task: the sender's run and the number that it chose.
struct ForwardKey {
    ProcessId sender;
    RequestId id;

    auto operator<=>(const ForwardKey&) const = default;
};

struct ForwardMemory {
    std::size_t maxTasks { 65'536 };
    std::size_t maxReplyBytes { 16 * 1024 * 1024 };
    /// Ended and revoked tasks are remembered for at least this long, because a ForwardTask that waits in a socket
    /// states its remaining time as of its sending.
    Duration retention { std::chrono::seconds(60) };
};

enum class ForwardAcceptance {
    Submit,
    /// Seen before, or revoked.
    Duplicate,
    /// There is no room to remember the task, so it must not start.
    Full,
};

struct NotStarted { };
struct MayHaveStarted { };
/// The answer is given again, because the first one may be lost.
struct Answered {
    std::shared_ptr<const balsammill::internal::TaskDone> reply;
};
/// The task is with the dispatcher; whether it can be cancelled decides.
struct TryCancel {
    TaskId task;
};
using RevocationDecision = std::variant<NotStarted, MayHaveStarted, Answered, TryCancel>;

/// Tasks that other processes forwarded to this one. Not thread-safe; holds no clock.
class ForwardReceiverTable {
public:
    explicit ForwardReceiverTable(ForwardMemory memory)
        : memory_(memory)
    {
    }

    ForwardAcceptance accept(const ForwardKey&, TimePoint deadline);
    void submitted(const ForwardKey&, TaskId);
    void finish(const ForwardKey&, std::shared_ptr<const balsammill::internal::TaskDone>, TimePoint now);
    /// A NotStarted decision makes sure that a late ForwardTask will be a duplicate until the deadline at least.
    RevocationDecision revoke(const ForwardKey&, TimePoint deadline, TimePoint now);
    /// Forgets what is older than its retention.
    void tick(TimePoint now);

    std::size_t size() const { return tasks_.size(); }

private:
    struct Task {
        TimePoint deadline;
        std::optional<TaskId> dispatched {};
        bool ended { false };
        /// Ended, or revoked before it arrived, without having started.
        bool notStarted { false };
        TimePoint forgetAt {};
        std::shared_ptr<const balsammill::internal::TaskDone> reply {};
    };

    void storeReply(const ForwardKey&, Task&, std::shared_ptr<const balsammill::internal::TaskDone>);

    ForwardMemory memory_;
    std::map<ForwardKey, Task> tasks_;
    /// Tasks with a stored reply, oldest first.
    std::deque<ForwardKey> replies_;
    std::size_t replyBytes_ { 0 };
};

} // namespace Balsammill::Detail
