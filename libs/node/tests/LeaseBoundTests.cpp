#include "serving/UpstreamSession.h"

#include <doctest/doctest.h>

#include <cmath>

using namespace Balsammill;
using namespace std::chrono_literals;

// Guards against a task that is started elsewhere while its run goes on: the clock of an idle upstream was read long
// ago, and a slow one has fallen behind the estimate since, so a deadline by the estimate is reached later.
TEST_CASE("A lease by an old reading of a slow clock is not taken for over too early")
{
    for (const Duration sinceReading : { Duration(0s), Duration(5s), Duration(30s), Duration(300s) }) {
        for (const Duration length : { Duration(600ms), Duration(1000ms) }) {
            // The upstream's clock shows 0.98 of the time since the reading; the deadline is on the estimate.
            const double clockNow = 0.98 * static_cast<double>(sinceReading.count());
            const auto deadline = static_cast<double>((sinceReading + length).count());
            const auto lasts = Duration(static_cast<Duration::rep>(std::ceil((deadline - clockNow) / 0.98)));
            INFO("since the reading, s: ", sinceReading / 1s);
            CHECK_GE(UpstreamSession::longestOf(length, sinceReading).count(), lasts.count());
            CHECK_LE(UpstreamSession::longestOf(length, sinceReading).count(), (lasts + 1ms).count());
        }
    }
}
