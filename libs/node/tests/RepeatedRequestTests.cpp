#include "serving/RepeatedRequest.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <vector>

using namespace Balsammill;
using namespace std::chrono_literals;

namespace {

// Collects the copies that a request sends; tests answer them.
struct Server {
    boost::asio::io_context loop;
    std::vector<HttpCallback> copies;
    std::size_t accepts { 100 };
    std::vector<HttpResult> results;

    void send(Duration interval, Duration timeout)
    {
        RepeatedRequest::send(loop,
            { .sendCopy =
                    [this](std::size_t, TimePoint, HttpCallback done) {
                        if (copies.size() >= accepts)
                            return false;
                        copies.push_back(std::move(done));
                        return true;
                    },
                .interval = interval,
                .deadline = monotonicNow() + timeout },
            [this](HttpResult result) { results.push_back(std::move(result)); });
    }
    void runUntilCopies(std::size_t count)
    {
        while (copies.size() < count && loop.run_one_for(10s) > 0) { }
        REQUIRE_GE(copies.size(), count);
    }
    static HttpResult answer(unsigned status)
    {
        HttpResult result;
        result.response.emplace();
        result.response->status = status;
        return result;
    }
    static HttpResult failure(bool neverSent)
    {
        return { .response = std::nullopt, .neverSent = neverSent, .error = "timeout" };
    }
};

} // namespace

TEST_CASE("A request without an answer is sent again, and the first answer to any copy counts")
{
    Server server;
    server.send(1ms, 10s);
    server.runUntilCopies(3);
    server.copies[1](Server::answer(200));
    server.copies[0](Server::answer(503));
    REQUIRE_EQ(server.results.size(), 1);
    CHECK_EQ(server.results[0].response->status, 200);
    const auto sent = server.copies.size();
    server.loop.run_for(20ms);
    CHECK_EQ(server.copies.size(), sent);
}

TEST_CASE("A failed copy does not end the request while another one may be answered")
{
    Server server;
    server.send(1ms, 10s);
    server.runUntilCopies(2);
    for (std::size_t i = 0; i + 1 < server.copies.size(); ++i)
        server.copies[i](Server::failure(false));
    CHECK(server.results.empty());
    server.copies.back()(Server::answer(200));
    CHECK_EQ(server.results.size(), 1);
}

// Guards against treating a request as not carried out because its last copy was not sent.
TEST_CASE("A request counts as never sent only if no copy was sent")
{
    Server server;
    server.accepts = 2;
    server.send(1ms, 10s);
    server.runUntilCopies(2);
    server.copies[0](Server::failure(false));
    server.copies[1](Server::failure(true));
    REQUIRE_EQ(server.results.size(), 1);
    CHECK_FALSE(server.results[0].neverSent);
}

TEST_CASE("A connection that is refused at once ends the request, so that a lost server is noticed early")
{
    Server server;
    server.send(10s, 20s);
    server.copies.at(0)(Server::failure(true));
    REQUIRE_EQ(server.results.size(), 1);
    CHECK(server.results[0].neverSent);
}
