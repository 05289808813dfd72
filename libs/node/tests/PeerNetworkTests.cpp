#include "peers/PeerNetwork.h"

#include <doctest/doctest.h>

using namespace Balsammill;

// Guards against a record or message with an invalid address that terminates every process that reads it: connections
// are opened on the event loop, where exceptions are not caught.
TEST_CASE("A peer with an invalid address counts as silent and causes no exception")
{
    boost::asio::io_context loop;
    PeerNetwork network(loop,
        { .listen = NetworkAddress("127.0.0.1:0"),
            .self = { .vm = VmName("front-1"), .incarnation = Incarnation(1) },
            .domain = FailureDomain("valencia") },
        { .message = [](PeerLink&, const auto&) {}, .closed = [](PeerLink&) {} });
    const auto now = monotonicNow();
    for (const auto* address :
        { "", "nowhere", "some.host:80", "1.2.3.4", "1.2.3.4:", "1.2.3.4:99999", "1.2.3.4:-1", "[::1", "\xff:1" }) {
        INFO("address ", std::string(address));
        CHECK_NOTHROW(CHECK(network.linkTo(NetworkAddress(address), now) == nullptr));
        CHECK_EQ(network.stateOf(NetworkAddress(address)), Shards::PeerState::Unresponsive);
    }
    CHECK_NOTHROW(network.advance(now));
}
