#include "StallDetector.h"

namespace Balsammill {

namespace {

// Shorter than the time for which an entry waits for an owner, and longer than the delay of a tick on a slow VM.
constexpr Duration stallThreshold = std::chrono::milliseconds(250);
// Time in which everything that waited in the sockets is read.
constexpr Duration settlePeriod = std::chrono::milliseconds(100);

} // namespace

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
