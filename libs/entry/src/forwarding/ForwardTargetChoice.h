#pragma once

#include "balsammill/membership/MemberView.h"

#include <deque>
#include <vector>

namespace Balsammill::Detail {

struct ForwardTargetOptions {
    /// Latency added by forwarding to another failure domain: network round trip and processing.
    Duration otherDomainDelay { std::chrono::milliseconds(4) };
    /// Maximum age of a reported load. Slots of tasks forwarded within this time are counted as in use, because the
    /// report may not include them yet.
    Duration maxReportAge { std::chrono::milliseconds(250) };
};

/// Load of the sender's own queue for the service.
struct LocalQueueLoad {
    Slots totalSlots;
    Duration expectedWait {};
};

/// Chooses the receivers for a task that would have to wait here. Not thread-safe; the caller passes the current time.
class ForwardTargetChoice {
public:
    explicit ForwardTargetChoice(ForwardTargetOptions options)
        : options_(options)
    {
    }

    /// Returns members with enough free slots, best first: members of the same failure domain by most free slots, then
    /// members of other domains if forwarding saves more waiting time than it adds latency. If this process has no
    /// slots, the task could never start here, so members without free slots are included too, shortest expected wait
    /// first.
    std::vector<ProcessId> candidates(
        const MemberView&, const ServiceName&, Slots needed, const LocalQueueLoad&, TimePoint now);
    void recordSent(RequestId, const VmName&, const ServiceName&, Slots, TimePoint now);
    /// Must be called when a task has ended or was not sent, so that its slots count as free again.
    void recordEnded(RequestId);

private:
    struct Sent {
        RequestId id;
        TimePoint at;
        VmName vm;
        ServiceName service;
        Slots slots;
    };

    std::int64_t availableSlots(const Member&, const ReportedLoad&) const;

    ForwardTargetOptions options_;
    std::deque<Sent> recentForwards_;
};

} // namespace Balsammill::Detail
