#include "LoopLagMonitor.h"

#include "TimeBudgets.h"

#include <algorithm>
#include <bit>

namespace Balsammill {

namespace {

// Ticks in a second.
constexpr auto window = static_cast<unsigned>(std::chrono::seconds(1) / tickInterval);
constexpr std::uint32_t windowMask = (1U << window) - 1;
constexpr Duration::rep maxTicksAtOnce = window / 4;
// A tick is late if the next one was due already.
constexpr Duration lateAfter = tickInterval;

} // namespace

void LoopLagMonitor::noteTick(TimePoint due, TimePoint now)
{
    lastLag_ = std::max(now - due, Duration::zero());
    // A late tick stands for those that were due meanwhile, but a single pause is no overload, however long it is.
    const auto ticks = static_cast<unsigned>(std::clamp<Duration::rep>(lastLag_ / tickInterval, 1, maxTicksAtOnce));
    const std::uint32_t bits = lastLag_ > lateAfter ? (1U << ticks) - 1 : 0U;
    late_ = ((late_ << ticks) | bits) & windowMask;
    recorded_ = std::min(recorded_ + ticks, window);
}

bool LoopLagMonitor::isOverloaded() const
{
    return recorded_ == window && static_cast<unsigned>(std::popcount(late_)) * 2 >= window;
}

} // namespace Balsammill
