#pragma once

#include "balsammill/base/Units.h"

#include <array>

namespace Balsammill::Detail {

/// Results of one upstream during the last second, and the number of failures since its last success.
class UpstreamHealthWindow {
public:
    void record(bool succeeded, TimePoint now);
    /// Returns true after too many consecutive failures, or if more than half of the results of the last second are
    /// failures.
    bool failing(TimePoint now);
    void reset() { *this = {}; }

private:
    static constexpr std::size_t bucketCount = 10;
    struct Bucket {
        std::uint32_t successes { 0 };
        std::uint32_t failures { 0 };
    };

    void advance(TimePoint now);

    std::array<Bucket, bucketCount> buckets_ {};
    std::int64_t lastTick_ { 0 };
    std::uint32_t consecutiveFailures_ { 0 };
};

} // namespace Balsammill::Detail
