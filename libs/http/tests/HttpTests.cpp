#include "balsammill/http/HttpClient.h"
#include "balsammill/http/HttpServer.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <thread>

using namespace Balsammill;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

// Runs the loop until the condition holds; returns false after ten seconds.
template <typename Condition> bool runUntil(asio::io_context& loop, Condition condition)
{
    const auto deadline = monotonicNow() + 10s;
    while (!condition() && monotonicNow() < deadline) {
        loop.restart();
        loop.run_for(5ms);
    }
    return condition();
}

HttpRequest post(const std::string& body)
{
    return { .method = "POST", .target = "/x", .host = {}, .fields = { { "X-Note", "n" } }, .body = body };
}

} // namespace

// Guards against truncated or altered requests and responses, and against a new connection for each request.
TEST_CASE("A request reaches the handler completely and its response reaches the client")
{
    asio::io_context loop;
    HttpRequest receivedRequest;
    HttpServer server(
        loop, NetworkAddress("127.0.0.1:0"), [&](HttpRequest request, const std::shared_ptr<HttpExchange>& exchange) {
            receivedRequest = std::move(request);
            exchange->respond({ .status = 429, .fields = { { "Retry-After", "2" } }, .body = "busy" });
        });
    HttpClient client(loop, server.localAddress(), 1);
    for (int i = 0; i < 3; ++i) {
        std::optional<HttpResult> result;
        const std::string body(20'000, static_cast<char>('a' + i));
        client.send(post(body), monotonicNow() + 5s, [&](HttpResult received) { result = std::move(received); });
        REQUIRE(runUntil(loop, [&] { return result.has_value(); }));
        REQUIRE(result->response.has_value());
        CHECK_EQ(result->response->status, 429);
        CHECK_EQ(result->response->body, "busy");
        CHECK_EQ(receivedRequest.body, body);
        CHECK_EQ(receivedRequest.field("x-note"), "n");
        CHECK_EQ(server.openConnections(), 1);
    }
}

// Guards against a task that is started twice: a busy event loop can process the timeout before the completion of the
// write. If the request is then reported as not sent, it is retried on another upstream although the first received it.
TEST_CASE("A request that was handed to the socket is never reported as not sent")
{
    asio::io_context loop;
    int requests = 0;
    HttpServer server(loop, NetworkAddress("127.0.0.1:0"),
        [&](const HttpRequest&, const std::shared_ptr<HttpExchange>&) { ++requests; });
    HttpClient client(loop, server.localAddress(), 1);
    std::optional<HttpResult> result;
    client.send(post("1"), monotonicNow() + 20ms, [&](HttpResult received) { result = std::move(received); });
    // The connection is established and the deadline passes before the loop runs again.
    std::this_thread::sleep_for(60ms);
    REQUIRE(runUntil(loop, [&] { return result.has_value(); }));
    CHECK_FALSE(result->response.has_value());
    REQUIRE(runUntil(loop, [&] { return requests == 1 || result->neverSent; }));
    CHECK_FALSE((requests == 1 && result->neverSent));
    loop.restart();
    loop.run_for(50ms);
    CHECK_FALSE((requests == 1 && result->neverSent));
}

// Guards against a call that never ends because its response has begun.
TEST_CASE("A response that stops arriving ends the request with a timeout")
{
    asio::io_context loop;
    asio::ip::tcp::acceptor acceptor(loop, { asio::ip::address_v4::loopback(), 0 });
    asio::ip::tcp::socket accepted(loop);
    acceptor.async_accept(accepted, [&](const boost::system::error_code& error) {
        REQUIRE_FALSE(error);
        asio::write(accepted, asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")));
    });
    HttpClient client(loop, NetworkAddress("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())), 1);
    std::optional<HttpResult> result;
    client.send(post("1"), monotonicNow() + 100ms, [&](HttpResult received) { result = std::move(received); },
        { .extendsWhileReceiving = true });
    REQUIRE(runUntil(loop, [&] { return result.has_value(); }));
    CHECK_FALSE(result->response.has_value());
    CHECK_EQ(result->error, "timeout");
}

// Guards against a lost retry: no upstream can have received a request whose connection was refused.
TEST_CASE("A request on a refused connection is reported as not sent")
{
    asio::io_context loop;
    asio::ip::tcp::acceptor closedAcceptor(loop, { asio::ip::address_v4::loopback(), 0 });
    const auto port = closedAcceptor.local_endpoint().port();
    closedAcceptor.close();
    HttpClient client(loop, NetworkAddress("127.0.0.1:" + std::to_string(port)), 1);
    std::optional<HttpResult> result;
    client.send(post("1"), monotonicNow() + 5s, [&](HttpResult received) { result = std::move(received); });
    REQUIRE(runUntil(loop, [&] { return result.has_value(); }));
    CHECK(result->neverSent);
}

// Guards against jobs that keep running after their client has disconnected.
TEST_CASE("A client disconnect is detected before the response is sent")
{
    asio::io_context loop;
    std::shared_ptr<HttpExchange> exchangeInProgress;
    bool abandoned = false;
    HttpServer server(
        loop, NetworkAddress("127.0.0.1:0"), [&](const HttpRequest&, const std::shared_ptr<HttpExchange>& exchange) {
            exchangeInProgress = exchange;
            exchange->onAbandoned([&] { abandoned = true; });
        });
    asio::ip::tcp::socket socket(loop);
    socket.connect(parseEndpoint(server.localAddress()));
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    REQUIRE(runUntil(loop, [&] { return exchangeInProgress != nullptr; }));
    CHECK_EQ(server.openRequests(), 1);
    socket.close();
    CHECK(runUntil(loop, [&] { return abandoned; }));
    CHECK_EQ(server.openRequests(), 0);
    exchangeInProgress->respond({ .status = 200, .fields = {}, .body = {} });
}

TEST_CASE("The end of a connection that arrived with its request is visible to the handler")
{
    asio::io_context loop;
    std::optional<bool> left;
    HttpServer server(loop, NetworkAddress("127.0.0.1:0"),
        [&](const HttpRequest&, const std::shared_ptr<HttpExchange>& exchange) { left = exchange->hasClientLeft(); });
    for (const bool closes : { false, true }) {
        left.reset();
        asio::ip::tcp::socket socket(loop);
        socket.connect(parseEndpoint(server.localAddress()));
        asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
        if (closes)
            socket.close();
        REQUIRE(runUntil(loop, [&] { return left.has_value(); }));
        CHECK_EQ(*left, closes);
    }
}

// Guards against malformed client input that crashes or blocks the process.
TEST_CASE("Malformed requests get an error status and the server keeps serving")
{
    asio::io_context loop;
    HttpServer server(
        loop, NetworkAddress("127.0.0.1:0"), [](const HttpRequest&, const std::shared_ptr<HttpExchange>& exchange) {
            exchange->respond({ .status = 200, .fields = {}, .body = {} });
        });
    server.setLimits({ .maxHeaderBytes = 1024, .maxBodyBytes = 100, .requestTimeout = 5s, .idleTimeout = 5s });
    struct Case {
        std::string bytes;
        std::string expected;
    };
    const std::array cases { Case { "nonsense\r\n\r\n", "HTTP/1.1 400" },
        Case { "GET / HTTP/1.1\r\nHost a\r\n\r\n", "HTTP/1.1 400" },
        Case { "GET / HTTP/1.1\r\nX: " + std::string(4000, 'x') + "\r\n\r\n", "HTTP/1.1 431" },
        Case { "POST / HTTP/1.1\r\nContent-Length: 500\r\n\r\n" + std::string(500, 'x'), "HTTP/1.1 413" },
        Case { "POST / HTTP/1.1\r\nContent-Length: -4\r\n\r\n", "HTTP/1.1 400" },
        Case { "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 200" } };
    for (const auto& testCase : cases) {
        asio::ip::tcp::socket socket(loop);
        socket.connect(parseEndpoint(server.localAddress()));
        asio::write(socket, asio::buffer(testCase.bytes));
        std::string received;
        std::array<char, 4096> block {};
        std::function<void()> read = [&] {
            socket.async_read_some(asio::buffer(block), [&](boost::system::error_code error, std::size_t count) {
                received.append(block.data(), count);
                if (!error)
                    read();
            });
        };
        read();
        INFO("expected ", testCase.expected, ", actual ", received);
        CHECK(runUntil(loop, [&] { return received.find("\r\n\r\n") != std::string::npos; }));
        CHECK_EQ(received.substr(0, testCase.expected.size()), testCase.expected);
        socket.close();
        loop.restart();
        loop.run_for(5ms);
    }
}

// Guards against a head without end whose lines are parsed and kept as they arrive: the parser compares its limit only
// with the bytes of one call.
TEST_CASE("The limit of a request head holds for all of its segments together")
{
    asio::io_context loop;
    HttpServer server(
        loop, NetworkAddress("127.0.0.1:0"), [](const HttpRequest&, const std::shared_ptr<HttpExchange>& exchange) {
            exchange->respond({ .status = 200, .fields = {}, .body = {} });
        });
    server.setLimits({ .maxHeaderBytes = 1024, .maxBodyBytes = 100, .requestTimeout = 60s, .idleTimeout = 60s });
    asio::ip::tcp::socket socket(loop);
    socket.connect(parseEndpoint(server.localAddress()));
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\na")));
    std::string segment;
    for (int i = 0; i < 100; ++i)
        segment += ":\r\na";
    // The answer may be lost, because the server closes the connection with unread bytes.
    bool ended = false;
    std::array<char, 4096> block {};
    socket.async_read_some(asio::buffer(block), [&](boost::system::error_code, std::size_t) { ended = true; });
    for (int i = 0; i < 10 && !ended; ++i) {
        boost::system::error_code ignored;
        asio::write(socket, asio::buffer(segment), ignored);
        loop.restart();
        loop.run_for(20ms);
    }
    CHECK(ended);
    CHECK_EQ(server.openConnections(), 0);
}

namespace {

// A server that answers each request at once, and a client whose bytes are read by the test.
struct RawClient {
    asio::io_context loop;
    int requests { 0 };
    HttpServer server { loop, NetworkAddress("127.0.0.1:0"),
        [this](const HttpRequest&, const std::shared_ptr<HttpExchange>& exchange) {
            ++requests;
            exchange->respond({ .status = 200, .fields = {}, .body = {} });
        } };
    asio::ip::tcp::socket socket { loop };
    std::string received;
    bool ended { false };

    RawClient() { socket.connect(parseEndpoint(server.localAddress())); }

    void send(int count)
    {
        std::string text;
        for (int i = 0; i < count; ++i)
            text += "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        asio::write(socket, asio::buffer(text));
    }
    void read()
    {
        socket.async_read_some(asio::buffer(block_), [this](boost::system::error_code error, std::size_t count) {
            received.append(block_.data(), count);
            ended = ended || error == asio::error::eof;
            if (!error)
                read();
        });
    }
    std::size_t responses() const
    {
        std::size_t found = 0;
        for (auto at = received.find("HTTP/1.1 200"); at != std::string::npos;
             at = received.find("HTTP/1.1 200", at + 1))
            ++found;
        return found;
    }

private:
    std::array<char, 4096> block_ {};
};

} // namespace

// Guards against a request that has been received and gets no answer, because its connection was idle so far.
TEST_CASE("Only idle connections without unread bytes are closed")
{
    RawClient client;
    REQUIRE(runUntil(client.loop, [&] { return client.server.openConnections() == 1; }));
    client.send(1);
    client.server.closeIdle(monotonicNow());
    client.read();
    CHECK(runUntil(client.loop, [&] { return client.responses() == 1; }));
    client.server.closeIdle(monotonicNow() - 1h);
    CHECK_FALSE(client.server.isQuiet());
    client.server.closeIdle(monotonicNow());
    CHECK(client.server.isQuiet());
    CHECK(runUntil(client.loop, [&] { return client.ended; }));
}

// Guards against dropping a request that was read together with the one before it.
TEST_CASE("While a server drains, requests that were sent in advance are answered before the connection closes")
{
    RawClient client;
    client.server.drain();
    client.send(3);
    client.read();
    CHECK(runUntil(client.loop, [&] { return client.ended; }));
    CHECK_EQ(client.responses(), 3);
    CHECK_EQ(client.received.find("Connection: close"), client.received.rfind("Connection: close"));
    CHECK_NE(client.received.find("Connection: close"), std::string::npos);
}

// Guards against a reset that destroys the last response: the client has sent more bytes, and the socket is closed
// before they are read.
TEST_CASE("After the last response, a connection is closed once its client has closed it")
{
    RawClient client;
    client.server.drain();
    client.send(1);
    REQUIRE(runUntil(client.loop, [&] { return client.server.isQuiet() && client.requests == 1; }));
    CHECK_EQ(client.server.openConnections(), 1);
    client.send(1);
    client.read();
    CHECK(runUntil(client.loop, [&] { return client.ended; }));
    CHECK_EQ(client.responses(), 1);
    CHECK_EQ(client.requests, 1);
    client.socket.close();
    CHECK(runUntil(client.loop, [&] { return client.server.openConnections() == 0; }));
}

// Guards against a connection that the system has accepted and the process has not: its client would wait in vain.
TEST_CASE("A server that stops accepting serves the connections that are already established")
{
    RawClient client;
    client.send(1);
    client.server.stopAccepting();
    client.read();
    CHECK(runUntil(client.loop, [&] { return client.responses() == 1; }));
    asio::ip::tcp::socket late(client.loop);
    boost::system::error_code error;
    late.connect(client.socket.remote_endpoint(), error);
    CHECK(error == asio::error::connection_refused);
}
