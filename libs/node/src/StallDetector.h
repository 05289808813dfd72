#pragma once

#include "balsammill/base/Units.h"

namespace Balsammill {

/// Detects that this process was not running, because it was stopped, suspended or got no processor time. What it reads
/// from its sockets right afterwards can be as old as that time, and the end of a client's connection may wait behind
/// the client's request. So nothing is begun for clients for a short time afterwards.
class StallDetector {
public:
    /// Records that the event loop runs. Called at each tick. Returns how long the process was not running, or zero if
    /// that was within the delay of a tick.
    Duration noteProgress(TimePoint now);
    /// False for a short time after the process was not running, also before the next tick.
    bool isSettled(TimePoint now) const;

private:
    TimePoint progressAt_ { TimePoint::min() };
    TimePoint settledAt_ {};
};

} // namespace Balsammill
