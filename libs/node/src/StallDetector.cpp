#include "StallDetector.h"

#include "TimeBudgets.h"

namespace Balsammill {

Duration StallDetector::noteProgress(TimePoint now)
{
    const auto gap = progressAt_ == TimePoint::min() ? Duration::zero() : now - progressAt_;
    progressAt_ = now;
    if (gap <= stallThreshold)
        return Duration::zero();
    settledAt_ = now + settlePeriod;
    return gap;
}

bool StallDetector::isSettled(TimePoint now) const
{
    return now >= settledAt_ && (progressAt_ == TimePoint::min() || now - progressAt_ <= stallThreshold);
}

} // namespace Balsammill
