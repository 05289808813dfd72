#include "TimeBudgets.h"
#include "serving/AnswerTimes.h"

#include <doctest/doctest.h>

using namespace Balsammill;
using namespace std::chrono_literals;

TEST_CASE("A request is repeated while its first copy can still be answered, whatever was observed")
{
    AnswerTimes times;
    CHECK_LT(times.repeatInterval(), answerTimeout);
    for (int i = 0; i < 100; ++i)
        times.record(10s);
    CHECK_LT(times.repeatInterval(), answerTimeout);
    CHECK_GT(times.repeatInterval(), Duration::zero());
}

// Guards against requests that are all sent several times to an upstream that answers slowly.
TEST_CASE("The repeat interval exceeds the usual answer time")
{
    AnswerTimes times;
    for (int i = 0; i < 100; ++i)
        times.record(i % 2 == 0 ? 30ms : 50ms);
    CHECK_GT(times.repeatInterval(), Duration(50ms));
    for (int i = 0; i < 200; ++i)
        times.record(2ms);
    CHECK_LT(times.repeatInterval(), Duration(50ms));
}
