#pragma once

#include "balsammill/base/ProcessId.h"
#include "balsammill/base/RcuCell.h"
#include "balsammill/config/ActiveConfig.h"
#include "balsammill/entry/Dispatcher.h"
#include "balsammill/entry/PeerSender.h"
#include "balsammill/membership/MemberView.h"

#include <memory>

namespace Balsammill {

struct TaskForwardingOptions {
    ProcessId self;
    PeerSender send;
    /// Silence after which a receiver is asked to revoke a task.
    Duration answerTimeout { std::chrono::seconds(2) };
    /// Time that a forward to another failure domain adds.
    Duration otherDomainDelay { std::chrono::milliseconds(4) };
};

/// Forwards tasks to entry processes with free slots and runs the tasks that others forward here. Thread-safe.
///
/// The dispatcher has to be stopped before this object is destroyed.
class TaskForwarding {
public:
    TaskForwarding(TaskForwardingOptions, Dispatcher&, const RcuCell<ActiveConfig>&, const RcuCell<MemberView>&);
    ~TaskForwarding();

    /// Forwards a task to a member with room, for Dispatcher::setForwarder().
    bool forward(const DispatchTask&, const DispatchCompletion&);

    /// Handles ForwardTask, TaskDone, RevokeTask and Revoked; ignores other messages.
    void handlePeerMessage(const ProcessId& sender, const balsammill::internal::PeerMessage&);

    /// Revokes overdue tasks and forgets old ones; to be called about every 50 ms.
    void tick(TimePoint now);

    /// Tasks that were forwarded and are not completed.
    std::size_t pendingForwards() const;

private:
    struct Detail;
    std::shared_ptr<Detail> detail_;
};

} // namespace Balsammill
