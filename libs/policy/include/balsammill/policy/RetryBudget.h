#pragma once

#include "balsammill/base/Units.h"

#include <array>

namespace Balsammill {

struct RetryBudgetOptions {
    /// Retries per call of the last ten seconds.
    double share { 0.1 };
    /// Retries per second that are allowed however few calls there are.
    double minPerSecond { 3 };
};

/// Bounds retries of calls that may have run, so that they cannot multiply the load on upstreams that fail. Not
/// thread-safe; holds no clock. Every operation takes constant time.
class RetryBudget {
public:
    explicit RetryBudget(RetryBudgetOptions options = {})
        : options_(options)
    {
    }

    /// Counts a first attempt.
    void recordCall(TimePoint now);
    /// True if a retry may be made now; it is counted.
    bool takeRetry(TimePoint now);

private:
    static constexpr std::size_t windowSeconds = 10;
    struct Second {
        std::uint32_t calls { 0 };
        std::uint32_t retries { 0 };
    };

    Second& current(TimePoint now);

    RetryBudgetOptions options_;
    std::array<Second, windowSeconds> seconds_ {};
    std::int64_t lastSecond_ { 0 };
};

} // namespace Balsammill
