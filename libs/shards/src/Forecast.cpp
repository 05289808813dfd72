#include "balsammill/shards/Forecast.h"

#include <algorithm>
#include <functional>

namespace Balsammill::Shards {

Forecast::Forecast(std::vector<TimePoint> slotsFreeAt, TimePoint now)
    : freeAt_(std::move(slotsFreeAt))
{
    for (auto& at : freeAt_)
        at = std::max(at, now);
    std::make_heap(freeAt_.begin(), freeAt_.end(), std::greater<> {});
}

TimePoint Forecast::add(const WaitingWork& work, TimePoint notBefore)
{
    if (freeAt_.empty())
        return TimePoint::max();
    TimePoint end = notBefore;
    for (std::uint32_t i = 0; i < work.tasks; ++i) {
        std::pop_heap(freeAt_.begin(), freeAt_.end(), std::greater<> {});
        freeAt_.back() = std::max(freeAt_.back(), notBefore) + work.runTime;
        end = std::max(end, freeAt_.back());
        std::push_heap(freeAt_.begin(), freeAt_.end(), std::greater<> {});
    }
    return end;
}

TimePoint Forecast::nextStart() const { return freeAt_.empty() ? TimePoint::max() : freeAt_.front(); }

} // namespace Balsammill::Shards
