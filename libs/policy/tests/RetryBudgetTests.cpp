#include "balsammill/policy/RetryBudget.h"

#include <doctest/doctest.h>

using namespace Balsammill;
using namespace std::chrono_literals;

// Guards against retries that multiply the load when all calls fail.
TEST_CASE("Retries stay within a tenth of recent calls")
{
    RetryBudget budget;
    auto now = TimePoint(1h);
    std::size_t retries = 0;
    for (int i = 0; i < 10'000; ++i, now += 1ms) {
        budget.recordCall(now);
        retries += budget.tryAcquireRetry(now) ? 1 : 0;
    }
    CHECK(retries >= 950);
    CHECK(retries <= 1030);
}

// Guards against a budget that allows no retries to a service with few calls, or that is never replenished.
TEST_CASE("Three retries per second are allowed regardless of the number of calls")
{
    RetryBudget budget;
    for (auto now : { TimePoint(1h), TimePoint(1h + 1s), TimePoint(2h) }) {
        budget.recordCall(now);
        for (int i = 0; i < 3; ++i)
            CHECK(budget.tryAcquireRetry(now));
        CHECK_FALSE(budget.tryAcquireRetry(now));
    }
}
