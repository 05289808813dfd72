#include "ownership/EvacuationTable.h"

#include <doctest/doctest.h>

using namespace Balsammill;

// Guards against a request that is written again and extends the time in which tasks may be started.
TEST_CASE("An evacuation that is requested again keeps the earlier time")
{
    EvacuationTable table;
    const FailureDomain domain("valencia");
    const TimePoint early { std::chrono::seconds(10) };
    const TimePoint late { std::chrono::seconds(20) };
    CHECK(table.start(domain, early));
    CHECK_FALSE(table.start(domain, late));
    CHECK_EQ(table.noStartsFrom(domain), early);
    CHECK_FALSE(table.contains(FailureDomain("lantapan")));
    CHECK(table.end(domain));
    CHECK_FALSE(table.end(domain));
    CHECK_FALSE(table.noStartsFrom(domain).has_value());
    CHECK(table.start(domain, late));
    CHECK_EQ(table.noStartsFrom(domain), late);
}
