#include "balsammill/membership/EntryRegistry.h"

#include <doctest/doctest.h>

using namespace Balsammill;
using namespace std::chrono_literals;

namespace {

EntryRegistration row(const std::string& vm, const std::string& version)
{
    return { .entry = { VmName(vm), FailureDomain("valencia"), NetworkAddress("10.0.0.1:1"), false },
        .version = version };
}

TimePoint at(Duration time) { return TimePoint(time); }

} // namespace

// Guards against a list that keeps an entry whose process ended without removing its row, and against a list that drops
// an entry which still renews its row.
TEST_CASE("An entry is listed as long as its row is renewed")
{
    EntryRegistry registry;
    registry.apply({ row("e1", "1"), row("e2", "1") }, at(0s));
    CHECK_EQ(registry.listed(at(1s)).size(), 2);
    registry.apply({ row("e1", "2"), row("e2", "1") }, at(10s));
    CHECK_EQ(registry.listed(at(14s)).size(), 2);
    const auto listed = registry.listed(at(16s));
    REQUIRE_EQ(listed.size(), 1);
    CHECK_EQ(listed[0].vm, VmName("e1"));
    // An expired entry is listed again after its next renewal.
    registry.apply({ row("e1", "3"), row("e2", "2") }, at(20s));
    CHECK_EQ(registry.listed(at(20s)).size(), 2);
}

TEST_CASE("A row that was removed is not listed")
{
    EntryRegistry registry;
    registry.apply({ row("e1", "1") }, at(0s));
    registry.apply({}, at(1s));
    CHECK(registry.listed(at(1s)).empty());
}
