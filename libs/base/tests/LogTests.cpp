#include "balsammill/base/Log.h"

#include <doctest/doctest.h>

using namespace Balsammill;

// Guards against a recurring error that floods the log with one line per occurrence.
TEST_CASE("A log limiter allows one line per interval and counts the suppressed ones")
{
    LogLimiter limiter(std::chrono::seconds(1));
    TimePoint start { std::chrono::seconds(100) };
    CHECK(limiter.allow(start));
    CHECK_FALSE(limiter.allow(start + std::chrono::milliseconds(10)));
    CHECK_FALSE(limiter.allow(start + std::chrono::milliseconds(999)));
    CHECK(limiter.allow(start + std::chrono::seconds(1)));
    CHECK(limiter.suppressed() == 2);
}
