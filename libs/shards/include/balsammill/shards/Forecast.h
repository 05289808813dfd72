#pragma once

#include "balsammill/base/Units.h"

#include <cstdint>
#include <vector>

namespace Balsammill::Shards {

/// Work that waits for capacity: tasks with about the same run time that may run in parallel.
struct WaitingWork {
    std::uint32_t tasks { 0 };
    Duration runTime {};
};

/// Predicts when work would end, by list scheduling over the slots that can hold a task.
class Forecast {
public:
    /// slotsFreeAt: for each slot, when it becomes free; times in the past count as now.
    Forecast(std::vector<TimePoint> slotsFreeAt, TimePoint now);

    /// Adds work behind all work added before; none of it starts before notBefore. Returns when its last task ends, or
    /// TimePoint::max() if there are no slots.
    TimePoint add(const WaitingWork&, TimePoint notBefore);
    /// When the next task would start; TimePoint::max() if there are no slots.
    TimePoint nextStart() const;

private:
    // Min-heap of the times at which slots become free.
    std::vector<TimePoint> freeAt_;
};

} // namespace Balsammill::Shards
