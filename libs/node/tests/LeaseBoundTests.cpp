#include "serving/UpstreamLeases.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>

using namespace Balsammill;
using namespace std::chrono_literals;

// Guards against starting a task elsewhere while its first run is still active. The clock of an idle upstream was read
// long ago; a slow clock has since fallen behind the owner's estimate, so a deadline set by the estimate is reached
// later than expected.
TEST_CASE("A lease granted from an old reading of a slow clock is not treated as expired too early")
{
    NodeSettings settings;
    settings.maxLease = 1000ms;
    const auto maxLifetime = static_cast<double>(settings.maxLease.count()) / 0.98;
    for (const Duration sinceReading : { Duration(0s), Duration(5s), Duration(30s), Duration(300s), Duration(2h) }) {
        for (const Duration length : { Duration(600ms), Duration(1000ms) }) {
            // The upstream's clock has advanced by 0.98 of the time since the reading. The deadline is set by the
            // estimate, and the upstream caps a lease at the maximum.
            const double clockNow = 0.98 * static_cast<double>(sinceReading.count());
            const auto deadline = static_cast<double>((sinceReading + length).count());
            const auto lifetime
                = Duration(static_cast<Duration::rep>(std::ceil(std::min((deadline - clockNow) / 0.98, maxLifetime))));
            INFO("since the reading, s: ", sinceReading / 1s);
            CHECK_GE(UpstreamLeases::maxLifetime(settings).count(), lifetime.count());
        }
    }
}

// Guards against late detection of a lost upstream, with a delay that grows with the upstream's idle time.
TEST_CASE("The wait for a lease to expire is bounded by the maximum lease")
{
    NodeSettings settings;
    settings.maxLease = 1000ms;
    settings.stopGrace = 50ms;
    CHECK_LE(UpstreamLeases::maxLifetime(settings), Duration(1200ms));
}
