#include "Fleet.h"

#include <doctest/doctest.h>

#include <csignal>

using namespace PlatformTest;
using IntegrationTest::in;
using IntegrationTest::waitUntil;
using namespace std::chrono_literals;

namespace {

constexpr auto largeVm = "cpu_share = 0.5\ncores = 1\nlink_mbps = 200.0\nmemory_mb = 512";
constexpr auto smallVm = "cpu_share = 0.09\ncores = 1\nlink_mbps = 19.0\nmemory_mb = 120";
constexpr std::size_t largeEntry = 0;
constexpr std::size_t smallEntry = 1;
// An owner keeps a shard for 10 s before it offers it to a larger VM.
constexpr auto moveTimeout = 60s;

} // namespace

// Guards against a shard that stays on a small VM after the larger one has returned, and against jobs that the moves
// lose or run twice.
TEST_CASE("A shard goes back to the larger VM after its planned stop, and every job is answered [node]")
{
    Fleet fleet({ .name = "node-unequal-entries", .limits = { largeVm, smallVm } });
    REQUIRE(fleet.waitUntilReady());
    fleet.forbidRepeatedTasks();
    int next = 0;
    const auto waitForOwner = [&](std::size_t entry) {
        return waitUntil(in(moveTimeout), [&] {
            // The small entry is never stopped.
            CHECK_EQ(fleet.submitUntilAnswered(smallEntry, jobId(++next), 2).status, 200);
            return fleet.ownerOf("valencia") == entry;
        });
    };
    REQUIRE(waitForOwner(largeEntry));
    fleet.entry(largeEntry).signal(SIGTERM);
    CHECK(waitForOwner(smallEntry));
    REQUIRE(fleet.entry(largeEntry).waitForExit(in(30s)).has_value());
    fleet.restart(largeEntry);
    CHECK(waitForOwner(largeEntry));
    CHECK_EQ(fleet.violations(), "");
}
