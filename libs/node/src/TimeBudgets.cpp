#include "TimeBudgets.h"

#include <algorithm>

namespace Balsammill {

std::vector<TimeBudget> exceededBudgets(const NodeSettings& settings)
{
    // A task of an entry that was last confirmed this long ago still gets a sufficient lease.
    const auto lastStart = confirmationTimeout + onSlowestClock(Shards::minStartLease);
    // A confirmation, which answers the owner's status, is young enough for a start beside a full lease although both
    // sides are a tick late.
    const auto startBesideFullLease = onSlowestClock(settings.maxLease) + ownerStatusInterval + 2 * tickInterval;
    std::vector<TimeBudget> exceeded;
    const auto check = [&exceeded](std::string_view setting, Duration available, Duration needed) {
        if (available < needed)
            exceeded.push_back({ .setting = setting, .available = available, .needed = needed });
    };
    check("bounds.resend_ms", settings.clientResendDelay, std::max(lastStart, startBesideFullLease));
    // A stop in time does not count as one without effect.
    check("bounds.stop_grace_ms", Shards::stopTimeout, answerTimeout + settings.stopGrace + stopMargin);
    return exceeded;
}

} // namespace Balsammill
