#pragma once

#include "balsammill/membership/MemberView.h"

#include <deque>
#include <vector>

namespace Balsammill::Detail {

struct ForwardTargetOptions {
    /// Time that a forward to another failure domain adds: the way there and back, and the handling.
    Duration otherDomainDelay { std::chrono::milliseconds(4) };
    /// Reported loads are as old as a heartbeat, so slots given away since then are counted as taken.
    Duration reportAge { std::chrono::milliseconds(250) };
};

/// The sender's own queue of the service.
struct OwnQueue {
    Slots totalSlots;
    Duration expectedWait {};
};

/// Chooses the receivers for a task that has to wait here. Not thread-safe; holds no clock.
class ForwardTargetChoice {
public:
    explicit ForwardTargetChoice(ForwardTargetOptions options)
        : options_(options)
    {
    }

    /// Members with room, best first: of the own domain, most free slots first; then of other domains if their delay is
    /// less than the wait that they save. A process without slots of its own also gets members without room, least wait
    /// first, because the task could never start here.
    std::vector<ProcessId> candidates(
        const MemberView&, const ServiceName&, Slots needed, const OwnQueue&, TimePoint now);
    void noteSent(RequestId, const VmName&, const ServiceName&, Slots, TimePoint now);
    /// The task ended or was not sent, so its slots are free again.
    void noteEnded(RequestId);

private:
    struct Sent {
        RequestId id;
        TimePoint at;
        VmName vm;
        ServiceName service;
        Slots slots;
    };

    std::int64_t roomOf(const Member&, const ReportedLoad&) const;

    ForwardTargetOptions options_;
    std::deque<Sent> recent_;
};

} // namespace Balsammill::Detail
