#include "UpstreamHealthWindow.h"

#include <algorithm>

namespace Balsammill::Detail {

namespace {

constexpr std::int64_t bucketMicros = 100'000;
constexpr std::uint32_t maxConsecutiveFailures = 5;
// With fewer results, one or two errors would be enough for a failure rate above one half.
constexpr std::uint32_t minResults = 10;

} // namespace

void UpstreamHealthWindow::advance(TimePoint now)
{
    const auto tick = now.time_since_epoch().count() / bucketMicros;
    const auto steps = std::min<std::int64_t>(tick - lastTick_, bucketCount);
    for (std::int64_t i = 0; i < steps; ++i)
        buckets_[static_cast<std::size_t>(tick - i) % bucketCount] = {};
    lastTick_ = std::max(lastTick_, tick);
}

void UpstreamHealthWindow::record(bool succeeded, TimePoint now)
{
    advance(now);
    auto& bucket = buckets_[static_cast<std::size_t>(lastTick_) % bucketCount];
    ++(succeeded ? bucket.successes : bucket.failures);
    consecutiveFailures_ = succeeded ? 0 : consecutiveFailures_ + 1;
}

bool UpstreamHealthWindow::failing(TimePoint now)
{
    advance(now);
    if (consecutiveFailures_ >= maxConsecutiveFailures)
        return true;
    std::uint32_t successes = 0;
    std::uint32_t failures = 0;
    for (const auto& bucket : buckets_) {
        successes += bucket.successes;
        failures += bucket.failures;
    }
    return successes + failures >= minResults && failures > successes;
}

} // namespace Balsammill::Detail
