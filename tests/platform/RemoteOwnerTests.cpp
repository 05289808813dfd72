#include "Fleet.h"
#include "NetworkCut.h"

#include "balsammill/shards/OwnershipPolicy.h"

#include <doctest/doctest.h>

#include <csignal>
#include <thread>

using namespace PlatformTest;
using namespace IntegrationTest;
using namespace std::chrono_literals;

namespace {

// The time without a renewal after which another domain claims a shard, and the claim itself.
constexpr auto takeOverTimeout = 40s;

// Entries 0 and 1, and upstreams 0 to 2, are those of valencia.
constexpr std::size_t valenciaEntries = 2;
constexpr std::size_t valenciaUpstreams = 3;

Fleet::Options twoDomains(const std::string& name, int runMs)
{
    return { .name = name,
        .domains = { "valencia", "lantapan" },
        .runMs = runMs,
        .environment = SuspendedTimeMapping::environment() };
}

void storeJobs(const Fleet& fleet, std::size_t entry, int first, int last, const std::string& fields = {})
{
    for (int i = first; i <= last; ++i)
        REQUIRE(
            waitUntil(in(30s), [&] { return fleet.submitDurable(entry, jobId(i), 1, 10'000, fields).status == 200; }));
}

void setRunMs(Fleet& fleet, int runMs)
{
    for (std::size_t i = 0; i < fleet.upstreamCount(); ++i)
        fleet.upstream(i).setRunMs(runMs);
}

bool waitForOwnerIn(Fleet& fleet, bool valencia)
{
    return waitUntil(in(takeOverTimeout), [&] {
        const auto owner = fleet.ownerOf("valencia");
        return owner < fleet.entryCount() && (owner < valenciaEntries) == valencia;
    });
}

int activeRunsInValencia(Fleet& fleet)
{
    int sum = 0;
    for (std::size_t i = 0; i < valenciaUpstreams; ++i)
        sum += fleet.upstream(i).activeRuns();
    return sum;
}

// Jobs whose state an entry reports.
int countKnown(const Fleet& fleet, std::size_t entry, int first, int last)
{
    int known = 0;
    for (int i = first; i <= last; ++i)
        known += fleet.request(entry, "GET", "/check/" + jobId(i), "").status == 200 ? 1 : 0;
    return known;
}

void checkAllComplete(const Fleet& fleet, int first, int last)
{
    for (int i = first; i <= last; ++i)
        CHECK_MESSAGE(fleet.waitForState(jobId(i), "completed"), "job ", i, " is ", fleet.stateOf(2, jobId(i)));
}

int portOf(const std::string& address) { return std::stoi(address.substr(address.rfind(':') + 1)); }

// Cuts valencia off: from the store, from the entries of lantapan, and its upstreams from these entries.
class DomainCut {
public:
    explicit DomainCut(Fleet& fleet)
        : inside_({ &fleet.entry(0), &fleet.entry(1) },
            { portOf(fleet.store().address()), fleet.peerPort(2), fleet.peerPort(3) })
        , outside_({ &fleet.entry(2), &fleet.entry(3) }, portsOfValencia(fleet))
    {
    }

private:
    static std::vector<int> portsOfValencia(Fleet& fleet)
    {
        std::vector<int> ports { fleet.peerPort(0), fleet.peerPort(1) };
        for (std::size_t i = 0; i < valenciaUpstreams; ++i)
            ports.push_back(portOf(fleet.upstream(i).address()));
        return ports;
    }

    NetworkCut inside_;
    NetworkCut outside_;
};

} // namespace

// Guards against stored jobs that nobody knows or runs any more because their shard belongs to a failure domain that
// has lost all its entries (review case 1).
TEST_CASE("Jobs of a failure domain without entries are run by another domain until an entry returns [ownership]")
{
    Fleet fleet(twoDomains("remote-owner", 1'500));
    REQUIRE(fleet.waitUntilReady());
    fleet.forbidRepeatedTasks();
    storeJobs(fleet, 2, 1, 12);
    for (std::size_t i = 0; i < valenciaEntries; ++i)
        fleet.entry(i).kill();
    // While no entry can act for the shard, a request about its jobs is answered at once, and not as unknown or refused
    // for good.
    REQUIRE(waitUntil(in(10s), [&] { return countKnown(fleet, 2, 1, 12) < 12; }));
    for (int i = 1; i <= 12; ++i) {
        const auto status = fleet.request(2, "GET", "/check/" + jobId(i), "").status;
        CHECK_MESSAGE((status == 200 || status == 503), "job ", i, " is answered with ", status);
    }
    REQUIRE(waitForOwnerIn(fleet, false));
    checkAllComplete(fleet, 1, 12);
    CHECK_EQ(fleet.violations(), "");
    // The shard returns with its running tasks.
    const int startsBefore = fleet.starts();
    storeJobs(fleet, 3, 13, 24);
    for (std::size_t i = 0; i < valenciaEntries; ++i)
        fleet.restart(i);
    CHECK(waitForOwnerIn(fleet, true));
    checkAllComplete(fleet, 13, 24);
    CHECK_EQ(fleet.violations(), "");
    CHECK_EQ(fleet.starts(), startsBefore + 12);
}

// Guards against two owners that run the same stored job: the former one in a failure domain that is cut off, and the
// one that has claimed its shard from outside and cannot reach the upstreams to fence it.
TEST_CASE("A domain that is cut off serves its clients and leaves its stored jobs to the next owner [ownership]")
{
    Fleet fleet(twoDomains("domain-cut", 60'000));
    REQUIRE(fleet.waitUntilReady());
    // Their runs last until they are stopped or lose their lease.
    storeJobs(fleet, 2, 1, 10, R"("long_running":true,)");
    REQUIRE(waitUntil(in(20s), [&] { return fleet.activeRuns() == 10; }));
    const int runsInValencia = activeRunsInValencia(fleet);
    REQUIRE_GT(runsInValencia, 0);
    setRunMs(fleet, 100);
    {
        const DomainCut cut(fleet);
        CHECK_EQ(fleet.submitUntilAnswered(0, jobId(101), 1).status, 200);
        REQUIRE(waitForOwnerIn(fleet, false));
        // The former owner has let go of the stored jobs, and says that it cannot tell about them.
        CHECK_EQ(activeRunsInValencia(fleet), 0);
        CHECK_EQ(countKnown(fleet, 0, 1, 10), 0);
        CHECK_EQ(fleet.request(0, "GET", "/check/" + jobId(1), "").status, 503);
        // The next owner knows them.
        CHECK(waitUntil(in(20s), [&] { return countKnown(fleet, 2, 1, 10) == 10; }));
        // The cut-off domain still serves what needs neither the store nor another domain.
        CHECK_EQ(fleet.submitUntilAnswered(0, jobId(102), 1).status, 200);
        setRunMs(fleet, 60'000);
    }
    CHECK(waitForOwnerIn(fleet, true));
    CHECK(waitUntil(in(20s), [&] { return activeRunsInValencia(fleet) == runsInValencia; }));
    CHECK_EQ(fleet.activeRuns(), 10);
    CHECK_EQ(fleet.violations(), "");
}

// Guards against stored jobs that stand still after an outage of the store, in which no owner could renew its record.
TEST_CASE("An owner that could not renew its record for long resumes its stored jobs when it can [ownership]")
{
    Fleet fleet({ .name = "long-outage", .runMs = 300 });
    REQUIRE(fleet.waitUntilReady());
    REQUIRE_EQ(fleet.submitDurable(0, jobId(1), 2, 10'000, R"("long_running":true,)").status, 200);
    REQUIRE(waitUntil(in(20s), [&] { return fleet.starts() >= 2; }));
    fleet.store().setOutage(true);
    const auto owner = fleet.ownerOf("valencia");
    CHECK(waitUntil(in(30s), [&] { return fleet.stateOf(owner, jobId(1)) == "503"; }));
    CHECK(waitUntil(in(10s), [&] { return fleet.activeRuns() == 0; }));
    CHECK_EQ(fleet.submit(1 - owner, jobId(2), 1).status, 200);
    fleet.store().setOutage(false);
    CHECK(fleet.waitForState(jobId(1), "running"));
    const int before = fleet.starts();
    CHECK(waitUntil(in(20s), [&] { return fleet.starts() >= before + 2; }));
    CHECK_EQ(fleet.violations(), "");
}

// Guards against stored jobs that are given up although the owner's renewals take effect, because their answers are
// lost.
TEST_CASE("An owner whose renewals are not answered keeps its stored jobs [ownership]")
{
    Fleet fleet({ .name = "lost-renewals", .runMs = 60'000 });
    REQUIRE(fleet.waitUntilReady());
    REQUIRE_EQ(fleet.submitDurable(0, jobId(1), 2, 10'000, R"("long_running":true,)").status, 200);
    REQUIRE(waitUntil(in(20s), [&] { return fleet.activeRuns() == 2; }));
    fleet.store().setFaults({ .loseAnswers = 1.0 });
    std::this_thread::sleep_for(Balsammill::Shards::ownershipValidity + 3s);
    CHECK_EQ(fleet.stateOf(0, jobId(1)), "running");
    CHECK_EQ(fleet.activeRuns(), 2);
    CHECK_EQ(fleet.starts(), 2);
}
