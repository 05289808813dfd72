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

// Runs the loop until the condition holds; false after ten seconds.
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

TEST_CASE("A request reaches the handler whole and its response comes back")
{
    asio::io_context loop;
    HttpRequest seen;
    HttpServer server(
        loop, NetworkAddress("127.0.0.1:0"), [&](HttpRequest request, const std::shared_ptr<HttpExchange>& exchange) {
            seen = std::move(request);
            exchange->respond({ .status = 429, .fields = { { "Retry-After", "2" } }, .body = "busy" });
        });
    HttpClient client(loop, server.localAddress(), 1);
    for (int i = 0; i < 3; ++i) {
        std::optional<HttpResult> result;
        const std::string body(20'000, static_cast<char>('a' + i));
        client.send(post(body), monotonicNow() + 5s, [&](HttpResult answer) { result = std::move(answer); });
        REQUIRE(runUntil(loop, [&] { return result.has_value(); }));
        REQUIRE(result->response.has_value());
        CHECK_EQ(result->response->status, 429);
        CHECK_EQ(result->response->body, "busy");
        CHECK_EQ(seen.body, body);
        CHECK_EQ(seen.field("x-note"), "n");
        CHECK_EQ(server.openConnections(), 1);
    }
}

// Guards against a start that is repeated elsewhere although the upstream has it: a slow event loop can reach the
// timeout before it learns that the system has sent the request.
TEST_CASE("A request that was handed to the socket is never reported as not sent")
{
    asio::io_context loop;
    int requests = 0;
    HttpServer server(loop, NetworkAddress("127.0.0.1:0"),
        [&](const HttpRequest&, const std::shared_ptr<HttpExchange>&) { ++requests; });
    HttpClient client(loop, server.localAddress(), 1);
    std::optional<HttpResult> result;
    client.send(post("1"), monotonicNow() + 20ms, [&](HttpResult answer) { result = std::move(answer); });
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

TEST_CASE("A refused connection is reported as not sent")
{
    asio::io_context loop;
    asio::ip::tcp::acceptor closed(loop, { asio::ip::address_v4::loopback(), 0 });
    const auto port = closed.local_endpoint().port();
    closed.close();
    HttpClient client(loop, NetworkAddress("127.0.0.1:" + std::to_string(port)), 1);
    std::optional<HttpResult> result;
    client.send(post("1"), monotonicNow() + 5s, [&](HttpResult answer) { result = std::move(answer); });
    REQUIRE(runUntil(loop, [&] { return result.has_value(); }));
    CHECK(result->neverSent);
}

// Guards against jobs that run on for clients that have gone.
TEST_CASE("A client that closes its connection is noticed before the response")
{
    asio::io_context loop;
    std::shared_ptr<HttpExchange> open;
    bool abandoned = false;
    HttpServer server(
        loop, NetworkAddress("127.0.0.1:0"), [&](const HttpRequest&, const std::shared_ptr<HttpExchange>& exchange) {
            open = exchange;
            exchange->onAbandoned([&] { abandoned = true; });
        });
    asio::ip::tcp::socket socket(loop);
    socket.connect(parseEndpoint(server.localAddress()));
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    REQUIRE(runUntil(loop, [&] { return open != nullptr; }));
    CHECK_EQ(server.openRequests(), 1);
    socket.close();
    CHECK(runUntil(loop, [&] { return abandoned; }));
    CHECK_EQ(server.openRequests(), 0);
    open->respond({ .status = 200, .fields = {}, .body = {} });
}

// Guards against a process that ends or hangs on what a client may send.
TEST_CASE("Malformed requests get a clear answer and the server goes on")
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
    for (const auto& each : cases) {
        asio::ip::tcp::socket socket(loop);
        socket.connect(parseEndpoint(server.localAddress()));
        asio::write(socket, asio::buffer(each.bytes));
        std::string answer;
        std::array<char, 4096> block {};
        std::function<void()> read = [&] {
            socket.async_read_some(asio::buffer(block), [&](boost::system::error_code error, std::size_t count) {
                answer.append(block.data(), count);
                if (!error)
                    read();
            });
        };
        read();
        INFO("expected ", each.expected, ", actual ", answer);
        CHECK(runUntil(loop, [&] { return answer.find("\r\n\r\n") != std::string::npos; }));
        CHECK_EQ(answer.substr(0, each.expected.size()), each.expected);
        socket.close();
        loop.restart();
        loop.run_for(5ms);
    }
}
