#include "LoopLagMonitor.h"

#include "TimeBudgets.h"

#include <doctest/doctest.h>

using namespace Balsammill;

namespace {

constexpr int ticksPerSecond = 20;

void record(LoopLagMonitor& monitor, int ticks, Duration lag)
{
    for (int i = 0; i < ticks; ++i) {
        const TimePoint due { std::chrono::seconds(100) + i * tickInterval };
        monitor.noteTick(due, due + lag);
    }
}

} // namespace

// Guards against an owner that does not notice that its VM is too slow, or only after many seconds, and against one
// that gives its shards away after a single pause.
TEST_CASE("A process is overloaded while half of the ticks of the last second are late")
{
    LoopLagMonitor monitor;
    record(monitor, 6, 3 * tickInterval);
    CHECK_FALSE(monitor.isOverloaded());
    record(monitor, 1, 3 * tickInterval);
    CHECK(monitor.isOverloaded());
    record(monitor, ticksPerSecond / 2 + 1, Duration::zero());
    CHECK_FALSE(monitor.isOverloaded());
    record(monitor, ticksPerSecond, Duration::zero());
    record(monitor, 1, 40 * tickInterval);
    CHECK_FALSE(monitor.isOverloaded());
    CHECK_EQ(monitor.lastLag(), 40 * tickInterval);
    record(monitor, 1, 20 * tickInterval);
    CHECK(monitor.isOverloaded());
}
