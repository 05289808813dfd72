#pragma once

#include "balsammill/membership/MemberView.h"

#include <map>
#include <optional>
#include <vector>

namespace Balsammill {

/// Decides to whom this process sends a heartbeat: to every entry of the own domain and to one entry of each other
/// domain in turn.
class HeartbeatSchedule {
public:
    explicit HeartbeatSchedule(Duration interval = std::chrono::milliseconds(200))
        : interval_(interval)
    {
    }

    /// Receivers that are due now; empty until the interval has passed.
    std::vector<VmName> due(const MemberView&, TimePoint now);

private:
    VmName nextOf(const FailureDomain&, const std::vector<VmName>& members, const VmName& self);

    Duration interval_;
    std::optional<TimePoint> nextAt_;
    /// Latest receiver in each other domain.
    std::map<FailureDomain, VmName> latest_;
};

} // namespace Balsammill
