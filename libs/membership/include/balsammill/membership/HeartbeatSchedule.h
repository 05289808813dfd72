#pragma once

#include "balsammill/membership/MemberView.h"

#include <map>
#include <optional>
#include <vector>

namespace Balsammill {

/// Selects the receivers of this process's heartbeats: in each interval every entry of the own failure domain, and one
/// entry of each other domain in round-robin order.
class HeartbeatSchedule {
public:
    explicit HeartbeatSchedule(Duration interval = std::chrono::milliseconds(200))
        : interval_(interval)
    {
    }

    /// Entries to send a heartbeat to now; empty if the interval since the previous heartbeats has not passed.
    std::vector<VmName> due(const MemberView&, TimePoint now);

private:
    VmName nextReceiver(const FailureDomain&, const std::vector<VmName>& members, const VmName& self);

    Duration interval_;
    std::optional<TimePoint> nextAt_;
    /// The most recent receiver in each other domain.
    std::map<FailureDomain, VmName> latestReceivers_;
};

} // namespace Balsammill
