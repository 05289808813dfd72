#include "UpstreamLeases.h"

#include "TimeBudgets.h"

#include <algorithm>
#include <chrono>

namespace Balsammill {

namespace {

// Added to the lease time on the slowest clock: the grace period of a stop and rounding to milliseconds.
constexpr Duration expiryMargin = std::chrono::milliseconds(80);
// A lease is extended when half of it is left, but not more often than this.
constexpr Duration minRenewalInterval = std::chrono::milliseconds(50);

std::int64_t wholeMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

Duration UpstreamLeases::maxLifetime(const NodeSettings& settings)
{
    const auto realTime = static_cast<double>(settings.maxLease.count()) / minClockRate;
    return Duration(static_cast<Duration::rep>(realTime)) + expiryMargin + settings.stopGrace;
}

void UpstreamLeases::readClock(Platform::UpstreamClock clock, TimePoint readAt)
{
    clock_ = clock;
    clockReadAt_ = readAt;
}

Duration UpstreamLeases::longestWithin(TimePoint limit, Duration wanted, TimePoint now) const
{
    if (limit == TimePoint::max())
        return wanted;
    if (limit <= now)
        return Duration::zero();
    // The upstream shortens every lease to the maximum, whatever its clock shows.
    if (limit - now >= onSlowestClock(settings_.maxLease))
        return wanted;
    // The slowest clock has fallen behind the estimate since it was read, and also runs slowly during the lease.
    const auto onUpstream = minClockRate * static_cast<double>((limit - now).count())
        - (1 - minClockRate) * static_cast<double>((now - clockReadAt_).count());
    return std::min(wanted, Duration(static_cast<Duration::rep>(onUpstream)));
}

Duration UpstreamLeases::longestLifetime(Duration granted, TimePoint now) const
{
    const auto byEstimate
        = static_cast<double>(granted.count()) + (1 - minClockRate) * static_cast<double>((now - clockReadAt_).count());
    const auto onUpstream = std::min(byEstimate, static_cast<double>(settings_.maxLease.count()));
    return Duration(static_cast<Duration::rep>(onUpstream / minClockRate));
}

UpstreamLeases::Grant UpstreamLeases::grant(Duration length, TimePoint now)
{
    // The upstream's clock may have been read long ago or in an earlier incarnation, so the granted deadline may be
    // later than estimated. Only the maximum lease, which the upstream itself enforces, is a safe bound.
    expiresAt_ = std::max(expiresAt_, now + maxLifetime(settings_));
    expiryReported_ = false;
    return { .until = Platform::UpstreamClock(clock_.value + wholeMs(now - clockReadAt_) + wholeMs(length)),
        .endsBy = now + longestLifetime(length, now),
        .renewAt = now + std::max(length / 2, minRenewalInterval) };
}

void UpstreamLeases::confirm(const Grant& grant) { renewAt_ = std::max(renewAt_, grant.renewAt); }

TimePoint UpstreamLeases::inherit(TimePoint now)
{
    if (expiresAt_ != TimePoint {})
        return TimePoint {};
    expiresAt_ = now + maxLifetime(settings_);
    expiryReported_ = false;
    return now + longestLifetime(settings_.maxLease, now);
}

} // namespace Balsammill
