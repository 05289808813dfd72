#pragma once

#include "balsammill/base/Units.h"

#include <cstdint>
#include <vector>

namespace Balsammill::Shards {

/// Work that waits for room: tasks that run for about the same time and may run in parallel.
struct WaitingWork {
    std::uint32_t tasks { 0 };
    Duration runTime {};
};

/// Predicts when work would end, by list scheduling over the places where a task can run.
class Forecast {
public:
    /// placesFreeAt: for each place that can hold a task, when it becomes free; times in the past count as now.
    Forecast(std::vector<TimePoint> placesFreeAt, TimePoint now);

    /// Adds work behind all that was added before, not starting before notBefore. Returns when its last task ends, or
    /// TimePoint::max() if there is no place.
    TimePoint add(const WaitingWork&, TimePoint notBefore);
    /// When the next task would start; TimePoint::max() if there is no place.
    TimePoint nextStart() const;

private:
    // A min-heap.
    std::vector<TimePoint> free_;
};

} // namespace Balsammill::Shards
