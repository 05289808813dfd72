#pragma once

#include "balsammill/base/Units.h"

#include <optional>

namespace Balsammill {

struct Pause {
    TimePoint from;
    TimePoint until;
};

/// Detects from the gaps between its ticks that this process did not run for a while.
class PauseDetector {
public:
    explicit PauseDetector(Duration limit = std::chrono::seconds(1))
        : limit_(limit)
    {
    }

    /// The pause that ended with this tick, if the gap since the previous tick exceeds the limit.
    std::optional<Pause> tick(TimePoint now);

private:
    Duration limit_;
    std::optional<TimePoint> lastTick_;
};

} // namespace Balsammill
