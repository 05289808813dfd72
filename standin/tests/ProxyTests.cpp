#include "ProxyLoop.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <doctest/doctest.h>

using namespace Balsammill;
using namespace Balsammill::Standin;

namespace {

/// A connection through a proxy; the test owns the sockets at both ends.
struct ProxiedConnection {
    Poco::Net::ServerSocket listener { Poco::Net::SocketAddress("127.0.0.1", 0) };
    ProxyLoop loop { 1 };
    std::uint16_t port { loop.addRoute("r", listener.address().toString()) };
    Poco::Net::StreamSocket client { Poco::Net::SocketAddress("127.0.0.1", port) };
    Poco::Net::StreamSocket target { listener.acceptConnection() };

    ProxiedConnection()
    {
        client.setReceiveTimeout(Poco::Timespan(10, 0));
        target.setReceiveTimeout(Poco::Timespan(10, 0));
    }
    bool refusesConnections() const
    {
        try {
            const Poco::Net::StreamSocket another(Poco::Net::SocketAddress("127.0.0.1", port));
            return false;
        } catch (const Poco::Net::ConnectionRefusedException&) {
            return true;
        }
    }
};

void send(Poco::Net::StreamSocket& socket, const std::string& text)
{
    socket.sendBytes(text.data(), static_cast<int>(text.size()));
}

/// Reads the given number of bytes. If the connection ends before, appends "<end>" or "<reset>" to the received text.
std::string receive(Poco::Net::StreamSocket& socket, std::size_t size)
{
    std::string text;
    try {
        while (text.size() < size) {
            char byte = 0;
            if (socket.receiveBytes(&byte, 1) == 0)
                return text + "<end>";
            text += byte;
        }
    } catch (const Poco::Net::ConnectionResetException&) {
        return text + "<reset>";
    }
    return text;
}

bool hasInput(Poco::Net::StreamSocket& socket)
{
    return socket.poll(Poco::Timespan(0, 50'000), Poco::Net::Socket::SELECT_READ);
}

} // namespace

// Guards against a proxy that alters or loses bytes although no fault is set.
TEST_CASE("A route without faults forwards bytes and the end of the stream in both directions")
{
    ProxiedConnection connection;
    const std::string large(3'000'000, 'x');
    std::thread sender([&] { send(connection.client, large); });
    CHECK(receive(connection.target, large.size()) == large);
    sender.join();
    send(connection.target, "answer");
    connection.target.shutdownSend();
    CHECK(receive(connection.client, 100) == "answer<end>");
    connection.client.close();
    CHECK(receive(connection.target, 1) == "<end>");
}

// Guards against a cut that leaves connections usable, or that keeps the port closed after the cut is cleared.
TEST_CASE("A cut resets connections and refuses new ones until it is cleared")
{
    ProxiedConnection connection;
    connection.loop.setFaults("r", { .cut = true });
    CHECK(receive(connection.client, 1) == "<reset>");
    CHECK(receive(connection.target, 1) == "<reset>");
    CHECK(connection.refusesConnections());
    connection.loop.setFaults("r", {});
    CHECK_FALSE(connection.refusesConnections());
    CHECK_THROWS_AS(connection.loop.setFaults("unknown", {}), std::out_of_range);
}

// Guards against one-way loss that also affects the other direction, or that leaves a gap in a stream.
TEST_CASE("One-way loss discards the bytes of one direction and resets the connection when it is cleared")
{
    ProxiedConnection connection;
    RouteFaults faults;
    faults.toTarget.drop = true;
    connection.loop.setFaults("r", faults);
    send(connection.client, "lost");
    send(connection.target, "kept");
    CHECK(receive(connection.client, 4) == "kept");
    CHECK_FALSE(hasInput(connection.target));
    connection.loop.setFaults("r", {});
    CHECK(receive(connection.target, 1) == "<reset>");
}

// Guards against held bytes that are lost, or that are delivered before the hold is cleared.
TEST_CASE("Held bytes arrive when the hold is cleared")
{
    ProxiedConnection connection;
    RouteFaults faults;
    faults.toTarget.hold = true;
    connection.loop.setFaults("r", faults);
    send(connection.client, "late");
    connection.client.shutdownSend();
    CHECK_FALSE(hasInput(connection.target));
    connection.loop.setFaults("r", {});
    CHECK(receive(connection.target, 5) == "late<end>");
}

// Guards against connections that close after another number of bytes than the configured one.
TEST_CASE("A connection closes after the configured number of bytes")
{
    ProxiedConnection connection;
    send(connection.client, "before");
    CHECK(receive(connection.target, 6) == "before");
    connection.loop.setFaults("r", { .closeAfterBytes = 5 });
    send(connection.client, "abc");
    CHECK(receive(connection.target, 3) == "abc");
    send(connection.target, "defg");
    CHECK(receive(connection.client, 10).substr(0, 2) == "de");
    CHECK(receive(connection.target, 1).starts_with("<"));
}

// Guards against delays that reorder bytes.
TEST_CASE("Delayed bytes become ready at their time and in order")
{
    std::mt19937_64 random(1);
    ProxyPipe pipe;
    const TimePoint start(std::chrono::seconds(1));
    const DirectionFaults slow { .delay = std::chrono::milliseconds(10), .jitter = std::chrono::milliseconds(5) };
    pipe.push("first", start, slow, random);
    const auto first = pipe.nextDelivery(start, slow);
    REQUIRE(first.has_value());
    CHECK(*first >= start + slow.delay);
    CHECK(*first <= start + slow.delay + slow.jitter);
    CHECK(pipe.readyBytes(*first - Duration(1), slow).empty());
    pipe.push("second", start, {}, random);
    CHECK(pipe.readyBytes(*first, slow) == "first");
    pipe.consume(5);
    CHECK(pipe.readyBytes(*first, slow) == "second");
}
