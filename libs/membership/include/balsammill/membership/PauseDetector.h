#pragma once

#include "balsammill/base/Units.h"

#include <optional>

namespace Balsammill {

/// Period in which this process did not run.
struct Pause {
    TimePoint from;
    TimePoint until;
};

/// Detects pauses of this process by gaps between its ticks.
class PauseDetector {
public:
    explicit PauseDetector(Duration limit = std::chrono::seconds(1))
        : limit_(limit)
    {
    }

    /// Returns the pause that ended with this tick if the gap since the previous tick exceeds the limit.
    std::optional<Pause> tick(TimePoint now);

private:
    Duration limit_;
    std::optional<TimePoint> lastTick_;
};

} // namespace Balsammill
