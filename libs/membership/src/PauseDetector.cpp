#include "balsammill/membership/PauseDetector.h"

namespace Balsammill {

std::optional<Pause> PauseDetector::tick(TimePoint now)
{
    const auto previous = lastTick_;
    lastTick_ = now;
    if (!previous || now - *previous <= limit_)
        return std::nullopt;
    return Pause { *previous, now };
}

} // namespace Balsammill
