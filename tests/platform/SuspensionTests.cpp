#include "Fleet.h"
#include "Suspension.h"

#include <doctest/doctest.h>

#include <fstream>
#include <optional>
#include <string>
#include <thread>

using namespace PlatformTest;
using namespace IntegrationTest;
using namespace std::chrono_literals;

namespace {

// Time after which the operators' clients send a job again that was answered with 502.
constexpr auto resendDelay = 1300ms;

int countStarts(const Process& entry, const std::string& job)
{
    int starts = 0;
    std::ifstream log(entry.logFile());
    for (std::string line; std::getline(log, line);)
        starts += line.find("event=task.started id=" + job) != std::string::npos ? 1 : 0;
    return starts;
}

// Entries 2 and 3 are those of valencia.
std::size_t otherEntry(std::size_t entry) { return 5 - entry; }

// Waits until the owner of valencia's shard runs the jobs that the other entry submits, and returns its index;
// fleet.entryCount() if it does not.
std::size_t waitForOwner(Fleet& fleet)
{
    static int probes = 1'000;
    std::size_t owner = fleet.entryCount();
    const bool runs = waitUntil(in(20s), [&] {
        owner = fleet.ownerOf("valencia");
        if (owner == fleet.entryCount())
            return false;
        const auto probe = jobId(++probes);
        return fleet.submit(otherEntry(owner), probe, 1).status == 200 && countStarts(fleet.entry(owner), probe) == 1;
    });
    return runs ? owner : fleet.entryCount();
}

void checkSuspendedOwner(const std::string& name, OpenConnections openConnections)
{
    Fleet fleet({ .name = name,
        .domains = { "lantapan", "valencia" },
        .upstreamsPerDomain = 2,
        .runMs = 900,
        .environment = Suspension::environment() });
    REQUIRE(fleet.waitUntilReady());
    constexpr int rounds = 4;
    for (int round = 1; round <= rounds; ++round) {
        const auto owner = waitForOwner(fleet);
        const auto otherOwner = fleet.ownerOf("lantapan");
        REQUIRE_LT(owner, fleet.entryCount());
        REQUIRE_LT(otherOwner, fleet.entryCount());
        const auto origin = otherEntry(owner);
        std::optional<Suspension> suspension(std::in_place, fleet.entry(owner), openConnections);
        const auto first = fleet.submit(origin, jobId(round), 1);
        CHECK_EQ(first.status, 502);
        std::this_thread::sleep_for(resendDelay);
        ClientAnswer second;
        std::thread client([&] { second = fleet.submit(otherOwner, jobId(round), 1); });
        CHECK(waitUntil(in(10s), [&] { return fleet.activeRuns() == 1; }));
        suspension.reset();
        client.join();
        CHECK_EQ(second.status, 200);
        CHECK(waitUntil(
            in(20s), [&] { return fleet.isReady(0) && fleet.isReady(1) && fleet.isReady(2) && fleet.isReady(3); }));
        CHECK(waitUntil(in(20s), [&] { return fleet.submit(origin, jobId(round * 100), 1).status == 200; }));
        CHECK_EQ(countStarts(fleet.entry(owner), jobId(round)), 0);
    }
    CHECK_EQ(fleet.violations(), "");
}

} // namespace

TEST_CASE("An owner whose VM was suspended starts no task of a submission whose entry has given it up [node]")
{
    checkSuspendedOwner("node-suspension", OpenConnections::Continue);
}

TEST_CASE("An owner whose VM was suspended and whose connections went silent starts no task that was given up [node]")
{
    checkSuspendedOwner("node-silent-suspension", OpenConnections::GoSilent);
}
