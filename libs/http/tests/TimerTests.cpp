#include "balsammill/base/Units.h"
#include "balsammill/http/Timer.h"

#include <doctest/doctest.h>

#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>

#include <vector>

using namespace Balsammill;
using namespace std::chrono_literals;

// Guards against timers that fire at another time than the clock of the deadlines shows.
TEST_CASE("Timers fire in the order of their times, and none before its time")
{
    boost::asio::io_context loop;
    std::vector<int> fired;
    const auto start = monotonicNow();
    Timer late(loop, start + 60ms);
    Timer early(loop, start + 20ms);
    Timer cancelled(loop, start + 1h);
    late.async_wait([&](const boost::system::error_code& error) {
        CHECK_FALSE(error);
        CHECK_GE(monotonicNow(), start + 60ms);
        fired.push_back(2);
    });
    early.async_wait([&](const boost::system::error_code& error) {
        CHECK_FALSE(error);
        CHECK_GE(monotonicNow(), start + 20ms);
        CHECK_EQ(cancelled.cancel(), 1);
        fired.push_back(1);
    });
    cancelled.async_wait(
        [&](const boost::system::error_code& error) { CHECK_EQ(error, boost::asio::error::operation_aborted); });
    loop.run();
    CHECK_EQ(fired, std::vector { 1, 2 });
}
