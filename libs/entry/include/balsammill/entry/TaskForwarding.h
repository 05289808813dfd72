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
    /// If the receiver has not answered within this time, it is asked to revoke the task.
    Duration answerTimeout { std::chrono::seconds(2) };
    /// Latency added by forwarding to another failure domain.
    Duration otherDomainDelay { std::chrono::milliseconds(4) };
};

/// Forwards tasks to entry processes with free slots, and runs tasks that other entries forward to this one.
/// Thread-safe.
///
/// The dispatcher must be stopped before this object is destroyed.
class TaskForwarding {
public:
    TaskForwarding(TaskForwardingOptions, Dispatcher&, const RcuCell<ActiveConfig>&, const RcuCell<MemberView>&);
    ~TaskForwarding();

    /// Forwards a task to a member with free capacity. To be passed to Dispatcher::setForwarder().
    bool forward(const DispatchTask&, const DispatchCompletion&);

    /// Handles ForwardTask, TaskDone, RevokeTask and Revoked; ignores other messages.
    void handlePeerMessage(const ProcessId& sender, const balsammill::internal::PeerMessage&);

    /// Requests the revocation of overdue tasks and evicts old entries. Must be called about every 50 ms.
    void tick(TimePoint now);

    /// Number of forwarded tasks that have not completed.
    std::size_t pendingForwards() const;

private:
    struct Detail;
    std::shared_ptr<Detail> detail_;
};

} // namespace Balsammill
