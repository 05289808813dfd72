#include "StallDetector.h"

#include <doctest/doctest.h>

using namespace Balsammill;
using std::chrono::milliseconds;

namespace {

TimePoint at(int ms) { return TimePoint(Duration(milliseconds(1'000'000 + ms))); }

} // namespace

TEST_CASE("A process that stood still is settled only some time after its event loop runs again")
{
    StallDetector detector;
    CHECK(detector.isSettled(at(0)));
    CHECK_EQ(detector.noteProgress(at(0)).count(), 0);
    CHECK(detector.isSettled(at(250)));
    CHECK_FALSE(detector.isSettled(at(251)));
    CHECK_EQ(detector.noteProgress(at(2000)).count(), Duration(milliseconds(2000)).count());
    CHECK_FALSE(detector.isSettled(at(2000)));
    CHECK_FALSE(detector.isSettled(at(2099)));
    CHECK_EQ(detector.noteProgress(at(2050)).count(), 0);
    CHECK(detector.isSettled(at(2100)));
}
