#include "ConnectionTable.h"

#include <doctest/doctest.h>

using namespace Balsammill;
using Balsammill::Detail::ConnectionTable;
using State = ConnectionTable::State;

namespace {

HttpConnectionId id(std::uint64_t number) { return HttpConnectionId(number); }

} // namespace

// Load: more connections than the limit, some of them with a request in progress. Guards against a request that is
// closed although it was passed on, and against an ordinary client that is closed before a silent one.
TEST_CASE("Above the limit, incomplete requests are closed first, then idle connections, then unread responses")
{
    ConnectionTable table;
    table.setBudget({ .maxConnections = 1, .maxBufferedBytes = 1'000 });
    for (std::uint64_t i = 1; i <= 5; ++i)
        table.add(id(i), "10.0.0." + std::to_string(i));
    table.setState(id(1), State::Busy);
    table.setState(id(2), State::Sending);
    table.setState(id(5), State::Receiving);
    table.setState(id(3), State::Receiving);
    for (const std::uint64_t expected : { 5, 3, 4, 2 }) {
        REQUIRE(table.excessConnection(0).has_value());
        CHECK_EQ(*table.excessConnection(0), id(expected));
        table.remove(id(expected));
    }
    CHECK_FALSE(table.excessConnection(0).has_value());
    table.add(id(9), "10.0.0.9");
    table.setState(id(9), State::Busy);
    // Both have a request in progress.
    CHECK_FALSE(table.excessConnection(0).has_value());
}

// Guards against a crowd behind one address that pushes the connections of all others out.
TEST_CASE("A client with more than half of all connections loses its own first")
{
    ConnectionTable table;
    table.setBudget({ .maxConnections = 6, .maxBufferedBytes = 1'000 });
    for (std::uint64_t i = 1; i <= 3; ++i)
        table.add(id(i), "10.0.0.1" + std::to_string(i));
    for (std::uint64_t i = 4; i <= 8; ++i)
        table.add(id(i), "10.0.0.2");
    REQUIRE(table.excessConnection(0).has_value());
    CHECK_EQ(*table.excessConnection(0), id(4));
    table.remove(id(4));
    REQUIRE(table.excessConnection(0).has_value());
    CHECK_EQ(*table.excessConnection(0), id(5));
    table.remove(id(5));
    CHECK_FALSE(table.excessConnection(0).has_value());
}

// Guards against an ordinary client that is closed in the middle of its request because a crowd only connects.
TEST_CASE("Idle connections of the largest client are closed before the incomplete request of another one")
{
    ConnectionTable table;
    table.setBudget({ .maxConnections = 3, .maxBufferedBytes = 1'000 });
    table.add(id(1), "10.0.0.1");
    table.setState(id(1), State::Receiving);
    table.add(id(2), "10.0.0.2");
    table.add(id(3), "10.0.0.2");
    CHECK_FALSE(table.excessConnection(0).has_value());
    REQUIRE(table.excessConnection(1).has_value());
    CHECK_EQ(*table.excessConnection(1), id(2));
}

// Guards against bytes that stay counted after their connection has been closed, or that are never counted.
TEST_CASE("Buffered bytes are the sum over the open connections, and the oldest incomplete request is closed for them")
{
    ConnectionTable table;
    table.setBudget({ .maxConnections = 100, .maxBufferedBytes = 1'000 });
    for (std::uint64_t i = 1; i <= 3; ++i) {
        table.add(id(i), "10.0.0." + std::to_string(i));
        table.setBytes(id(i), 300);
    }
    table.setState(id(1), State::Busy);
    table.setState(id(3), State::Receiving);
    table.setState(id(2), State::Receiving);
    CHECK_FALSE(table.excessBytes().has_value());
    CHECK_FALSE(table.mayReadAhead());
    CHECK_EQ(table.busyBytes(), 300);
    // Closing others would not free the bytes of requests in progress.
    table.setBytes(id(1), 5'000);
    CHECK_FALSE(table.excessBytes().has_value());
    CHECK_EQ(table.busyBytes(), 5'000);
    table.setBytes(id(1), 300);
    table.setBytes(id(2), 701);
    REQUIRE(table.excessBytes().has_value());
    CHECK_EQ(*table.excessBytes(), id(3));
    table.remove(id(3));
    CHECK_EQ(table.bytes(), 1'001);
    CHECK_FALSE(table.excessBytes().has_value());
    table.remove(id(1));
    CHECK_EQ(table.busyBytes(), 0);
    table.remove(id(1));
    CHECK_EQ(table.bytes(), 701);
    table.setBytes(id(2), 400);
    CHECK(table.mayReadAhead());
}
