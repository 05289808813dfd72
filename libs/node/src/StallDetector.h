#pragma once

#include "balsammill/base/Units.h"

namespace Balsammill {

/// Detects that this process stood still, because it was stopped, suspended or got no processor time. What it reads
/// from its sockets right afterwards can be as old as that time, and a client's request can be followed by the end of
/// its connection that has not been read yet. So nothing is begun for clients before all that has been read.
class StallDetector {
public:
    /// Records that the event loop runs. Called at each tick. Returns how long the process stood still, or zero if it
    /// did not.
    Duration noteProgress(TimePoint now);
    /// False right after the process stood still.
    bool isSettled(TimePoint now) const;

private:
    TimePoint progressAt_ { TimePoint::min() };
    TimePoint settledAt_ {};
};

} // namespace Balsammill
