#include "TimeBudgets.h"

#include <doctest/doctest.h>

using namespace Balsammill;
using std::chrono::milliseconds;

namespace {

NodeSettings makeSettings()
{
    NodeSettings settings;
    settings.maxLease = milliseconds(1000);
    settings.stopGrace = milliseconds(50);
    settings.clientResendDelay = milliseconds(1300);
    return settings;
}

} // namespace

TEST_CASE("The operators' settings keep every time budget") { CHECK(exceededBudgets(makeSettings()).empty()); }

TEST_CASE("A resend delay that is too short for the lease on a slow clock is reported")
{
    auto settings = makeSettings();
    SUBCASE("the resend delay is shorter") { settings.clientResendDelay = milliseconds(1210); }
    SUBCASE("the lease is longer") { settings.maxLease = milliseconds(1100); }
    SUBCASE("there is no time for a last start")
    {
        settings.maxLease = milliseconds(100);
        settings.clientResendDelay = milliseconds(1100);
    }
    const auto exceeded = exceededBudgets(settings);
    REQUIRE_EQ(exceeded.size(), 1);
    CHECK_EQ(exceeded[0].setting, "bounds.resend_ms");
    CHECK_LT(exceeded[0].available, exceeded[0].needed);
}

TEST_CASE("A stop grace period that makes every stop look overdue is reported")
{
    auto settings = makeSettings();
    settings.stopGrace = milliseconds(100);
    const auto exceeded = exceededBudgets(settings);
    REQUIRE_EQ(exceeded.size(), 1);
    CHECK_EQ(exceeded[0].setting, "bounds.stop_grace_ms");
}
