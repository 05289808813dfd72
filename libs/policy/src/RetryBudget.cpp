#include "balsammill/policy/RetryBudget.h"

#include <algorithm>

namespace Balsammill {

RetryBudget::Bucket& RetryBudget::currentBucket(TimePoint now)
{
    const auto second = now.time_since_epoch() / std::chrono::seconds(1);
    const auto steps = std::min<std::int64_t>(second - lastSecond_, windowSeconds);
    for (std::int64_t i = 0; i < steps; ++i)
        buckets_[static_cast<std::size_t>(second - i) % windowSeconds] = {};
    lastSecond_ = std::max<std::int64_t>(lastSecond_, second);
    return buckets_[static_cast<std::size_t>(lastSecond_) % windowSeconds];
}

void RetryBudget::recordCall(TimePoint now) { ++currentBucket(now).calls; }

bool RetryBudget::tryAcquireRetry(TimePoint now)
{
    auto& latest = currentBucket(now);
    std::uint64_t calls = 0;
    std::uint64_t retries = 0;
    for (const auto& bucket : buckets_) {
        calls += bucket.calls;
        retries += bucket.retries;
    }
    const bool withinShare = static_cast<double>(retries + 1) <= options_.share * static_cast<double>(calls);
    const bool withinMinimum = latest.retries + 1 <= options_.minPerSecond;
    if (!withinShare && !withinMinimum)
        return false;
    ++latest.retries;
    return true;
}

} // namespace Balsammill
