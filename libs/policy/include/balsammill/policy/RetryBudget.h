#pragma once

#include "balsammill/base/Units.h"

#include <array>

namespace Balsammill {

struct RetryBudgetOptions {
    /// Largest ratio of retries to calls over the last ten seconds.
    double share { 0.1 };
    /// Retries per second that are allowed regardless of the number of calls.
    double minPerSecond { 3 };
};

/// Limits retries of calls that may have run, so that retries cannot multiply the load on failing upstreams. Not
/// thread-safe; callers pass the current time. Every operation takes constant time.
class RetryBudget {
public:
    explicit RetryBudget(RetryBudgetOptions options = {})
        : options_(options)
    {
    }

    /// Counts the first attempt of a call.
    void recordCall(TimePoint now);
    /// Returns true and counts a retry if the budget allows one now.
    bool tryAcquireRetry(TimePoint now);

private:
    static constexpr std::size_t windowSeconds = 10;
    struct Bucket {
        std::uint32_t calls { 0 };
        std::uint32_t retries { 0 };
    };

    Bucket& currentBucket(TimePoint now);

    RetryBudgetOptions options_;
    std::array<Bucket, windowSeconds> buckets_ {};
    std::int64_t lastSecond_ { 0 };
};

} // namespace Balsammill
