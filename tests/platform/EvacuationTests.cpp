#include "Fleet.h"

#include <doctest/doctest.h>

using namespace PlatformTest;
using IntegrationTest::in;
using IntegrationTest::waitUntil;
using namespace std::chrono_literals;

namespace {

// Entries 0 and 1, and upstreams 0 to 2, are those of valencia.
constexpr std::size_t valenciaUpstreams = 3;
constexpr int jobs = 20;

int startsInValencia(Fleet& fleet)
{
    int starts = 0;
    for (std::size_t i = 0; i < valenciaUpstreams; ++i)
        starts += fleet.upstream(i).starts();
    return starts;
}

bool reportsEvacuation(const Fleet& fleet, std::size_t entry)
{
    return fleet.metrics(entry).find("balsammill_evacuated_domains 1") != std::string::npos;
}

void submitAll(const Fleet& fleet, int first)
{
    for (int i = first; i < first + jobs; ++i)
        CHECK_EQ(fleet.submitUntilAnswered(static_cast<std::size_t>(i) % 2, jobId(i), 2).status, 200);
}

} // namespace

// Guards against tasks that are started in an evacuated failure domain by an owner that takes over or starts in the
// middle of the evacuation, against requests that its entries do not serve any more, and against a domain that stays
// unused after the evacuation.
TEST_CASE("No task starts in an evacuated domain, also after its owner was killed, and its clients are served [node]")
{
    Fleet fleet({ .name = "node-evacuation", .domains = { "valencia", "lantapan" } });
    REQUIRE(fleet.waitUntilReady());
    submitAll(fleet, 1);
    REQUIRE_GT(startsInValencia(fleet), 0);

    fleet.store().put("op", "evacuate/valencia", "{}");
    REQUIRE(waitUntil(in(20s), [&] { return reportsEvacuation(fleet, 0) && reportsEvacuation(fleet, 1); }));
    // Every entry has read the request, and no job of before is open.
    const auto startsBefore = startsInValencia(fleet);
    submitAll(fleet, 101);
    const auto owner = fleet.ownerOf("valencia");
    REQUIRE_LT(owner, 2);
    fleet.restart(owner);
    REQUIRE(fleet.waitUntilReady());
    REQUIRE(waitUntil(in(30s), [&] { return fleet.ownerOf("valencia") < 2; }));
    REQUIRE(waitUntil(in(30s), [&] { return reportsEvacuation(fleet, owner); }));
    submitAll(fleet, 201);
    CHECK_EQ(startsInValencia(fleet), startsBefore);

    fleet.store().remove("op", "evacuate/valencia");
    CHECK(waitUntil(in(30s), [&] {
        static int next = 300;
        fleet.submitUntilAnswered(0, jobId(++next), 2);
        return startsInValencia(fleet) > startsBefore;
    }));
    CHECK_EQ(fleet.violations(), "");
}
