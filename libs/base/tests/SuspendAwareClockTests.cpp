#include "balsammill/base/Units.h"

#include <doctest/doctest.h>

#include <ctime>

using namespace Balsammill;

namespace {

TimePoint bootTime()
{
    timespec time {};
    REQUIRE_EQ(::clock_gettime(CLOCK_BOOTTIME, &time), 0);
    return TimePoint(std::chrono::duration_cast<Duration>(
        std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

} // namespace

// Guards against timeouts that a suspended VM misses, because its clock does not count the suspension.
TEST_CASE("The clock of all decisions shows the time since the start of the system, suspensions included")
{
    for (int i = 0; i < 1000; ++i) {
        const auto before = bootTime();
        const auto now = monotonicNow();
        const auto after = bootTime();
        CHECK_LE(before, now);
        CHECK_LE(now, after);
    }
}
