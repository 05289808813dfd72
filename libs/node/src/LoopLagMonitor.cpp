#include "LoopLagMonitor.h"

#include "TimeBudgets.h"

#include <algorithm>
#include <bit>

namespace Balsammill {

namespace {

// Ticks in a second.
constexpr auto window = static_cast<unsigned>(std::chrono::seconds(1) / tickInterval);
constexpr std::uint32_t windowMask = (1U << window) - 1;
// A tick is late if the next one was due already.
constexpr Duration lateAfter = tickInterval;

} // namespace

void LoopLagMonitor::noteTick(TimePoint due, TimePoint now)
{
    lastLag_ = std::max(now - due, Duration::zero());
    late_ = ((late_ << 1U) | (lastLag_ > lateAfter ? 1U : 0U)) & windowMask;
    recorded_ = std::min(recorded_ + 1, window);
}

bool LoopLagMonitor::isOverloaded() const
{
    return recorded_ == window && static_cast<unsigned>(std::popcount(late_)) * 2 >= window;
}

} // namespace Balsammill
