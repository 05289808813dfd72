#include "serving/UpstreamSession.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>

using namespace Balsammill;
using namespace std::chrono_literals;

// Guards against a task that is started elsewhere while its run goes on: the clock of an idle upstream was read long
// ago, and a slow one has fallen behind the estimate since, so a deadline by the estimate is reached later.
TEST_CASE("A lease by an old reading of a slow clock is not taken for over too early")
{
    NodeSettings settings;
    settings.maxLease = 1000ms;
    const auto longest = static_cast<double>(settings.maxLease.count()) / 0.98;
    for (const Duration sinceReading : { Duration(0s), Duration(5s), Duration(30s), Duration(300s), Duration(2h) }) {
        for (const Duration length : { Duration(600ms), Duration(1000ms) }) {
            // The upstream's clock shows 0.98 of the time since the reading; the deadline is on the estimate, and the
            // upstream shortens a lease to the longest one.
            const double clockNow = 0.98 * static_cast<double>(sinceReading.count());
            const auto deadline = static_cast<double>((sinceReading + length).count());
            const auto lasts
                = Duration(static_cast<Duration::rep>(std::ceil(std::min((deadline - clockNow) / 0.98, longest))));
            INFO("since the reading, s: ", sinceReading / 1s);
            CHECK_GE(UpstreamSession::longestLease(settings).count(), lasts.count());
        }
    }
}

// Guards against upstreams whose loss is noticed late, the later the longer they had been idle.
TEST_CASE("The wait for the end of a lease is bounded by the longest lease")
{
    NodeSettings settings;
    settings.maxLease = 1000ms;
    settings.stopGrace = 50ms;
    CHECK_LE(UpstreamSession::longestLease(settings), Duration(1200ms));
}
