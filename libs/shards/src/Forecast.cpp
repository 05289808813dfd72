#include "balsammill/shards/Forecast.h"

#include <algorithm>
#include <functional>

namespace Balsammill::Shards {

Forecast::Forecast(std::vector<TimePoint> placesFreeAt, TimePoint now)
    : free_(std::move(placesFreeAt))
{
    for (auto& at : free_)
        at = std::max(at, now);
    std::make_heap(free_.begin(), free_.end(), std::greater<> {});
}

TimePoint Forecast::add(const WaitingWork& work, TimePoint notBefore)
{
    if (free_.empty())
        return TimePoint::max();
    TimePoint end = notBefore;
    for (std::uint32_t i = 0; i < work.tasks; ++i) {
        std::pop_heap(free_.begin(), free_.end(), std::greater<> {});
        free_.back() = std::max(free_.back(), notBefore) + work.runTime;
        end = std::max(end, free_.back());
        std::push_heap(free_.begin(), free_.end(), std::greater<> {});
    }
    return end;
}

TimePoint Forecast::nextStart() const { return free_.empty() ? TimePoint::max() : free_.front(); }

} // namespace Balsammill::Shards
