#include "ScriptedUpstream.h"
#include "ServerFixture.h"

#include <doctest/doctest.h>

#include <condition_variable>
#include <mutex>

using namespace Balsammill;

namespace {

using Poco::Net::StreamSocket;

UpstreamRequest request(const NetworkAddress& address, Duration timeout = std::chrono::seconds(10))
{
    return { .address = address,
        .method = MethodName("test.Echo/Say"),
        .body = "payload#end",
        .taskId = "task-1",
        .deadline = monotonicNow() + timeout };
}

std::string response(const std::string& body, const std::string& headers = {}, const std::string& status = "200 OK")
{
    return "HTTP/1.1 " + status + "\r\nContent-Type: application/proto\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n" + headers + "\r\n" + body;
}

struct FaultyResponse {
    const char* description;
    std::string bytes;
    ErrorCode code;
    Verdict verdict;
    bool answered;
    std::string expectedText;
};

const auto notRunHeader = std::string("Balsammill-Verdict: not-run\r\n");
const auto errorBody = std::string(R"({"code":"unavailable","message":"full"})");

std::string jsonError(const std::string& headers, const std::string& body, const std::string& status)
{
    return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n" + headers + "\r\n" + body;
}

std::vector<FaultyResponse> faultyResponses()
{
    const auto mayHaveRun = Verdict::MayHaveRun;
    return {
        { "no response", "", ErrorCode::Unavailable, mayHaveRun, false, "closed" },
        { "garbage", "\x01\x02\x03\r\n\r\n", ErrorCode::Internal, mayHaveRun, false, "not an HTTP" },
        { "truncated header", "HTTP/1.1 200 OK\r\nContent-", ErrorCode::Unavailable, mayHaveRun, false, "closed" },
        { "truncated body", response("0123456789").substr(0, response("0123456789").size() - 5), ErrorCode::Unavailable,
            mayHaveRun, false, "closed" },
        { "truncated body after a verdict header",
            response("0123456789", notRunHeader).substr(0, response("0123456789", notRunHeader).size() - 5),
            ErrorCode::Unavailable, mayHaveRun, false, "closed" },
        { "truncated chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", ErrorCode::Unavailable,
            mayHaveRun, false, "closed" },
        { "chunked body without a last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
            ErrorCode::Unavailable, mayHaveRun, false, "closed" },
        { "no length", "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n\r\nbody", ErrorCode::Internal,
            mayHaveRun, false, "no length" },
        { "two lengths", response("ab", "Content-Length: 1\r\n"), ErrorCode::Internal, mayHaveRun, false, "twice" },
        { "oversized response", "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", ErrorCode::Internal, mayHaveRun,
            false, "at most 1024" },
        { "oversized header", "HTTP/1.1 200 OK\r\nX: " + std::string(20000, 'x'), ErrorCode::Internal, mayHaveRun,
            false, "larger than 16384" },
        { "unexpected content type", "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: 2\r\n\r\nhi",
            ErrorCode::Internal, mayHaveRun, true, "text/html" },
        { "error without a verdict", jsonError("", errorBody, "503 Busy"), ErrorCode::Unavailable, mayHaveRun, true,
            "full" },
        { "error with a verdict", jsonError(notRunHeader, errorBody, "503 Busy"), ErrorCode::Unavailable,
            Verdict::NotRun, true, "full" },
        { "error with an unknown verdict", jsonError("Balsammill-Verdict: maybe\r\n", errorBody, "503 Busy"),
            ErrorCode::Unavailable, mayHaveRun, true, "full" },
        { "error body that is not JSON", jsonError("", "<html>", "404 Not Found"), ErrorCode::Unimplemented, mayHaveRun,
            true, "HTTP status 404" },
        { "error body with deeply nested JSON", jsonError("", std::string(1000, '['), "500 Oops"), ErrorCode::Unknown,
            mayHaveRun, true, "HTTP status 500" },
    };
}

void respondToAll(StreamSocket& socket, const std::string& bytes)
{
    std::string received;
    while (ScriptedUpstream::readRequest(socket, received))
        ScriptedUpstream::send(socket, bytes);
}

} // namespace

// Guards against a wrong not-run verdict, after which a retry could run the call twice, and against truncated responses
// that are accepted as complete.
TEST_CASE("Each invalid or failed response of an upstream yields a clear error and the correct verdict")
{
    for (const auto& bad : faultyResponses()) {
        CAPTURE(std::string(bad.description));
        ScriptedUpstream upstream([&](StreamSocket& socket, int) {
            std::string received;
            if (ScriptedUpstream::readRequest(socket, received))
                ScriptedUpstream::send(socket, bad.bytes);
        });
        UpstreamPool pool({ .maxResponseBytes = 1024 });
        const auto result = pool.exchange(request(upstream.address()));
        const auto* failure = std::get_if<UpstreamFailure>(&result);
        REQUIRE(failure != nullptr);
        CAPTURE(failure->error.message);
        CHECK(nameOf(failure->error.code) == nameOf(bad.code));
        CHECK(nameOf(failure->error.verdict) == nameOf(bad.verdict));
        CHECK(failure->answered == bad.answered);
        CHECK(failure->error.message.find(bad.expectedText) != std::string::npos);
        CHECK(upstream.accepted() == 1);
    }
}

// Guards against the verdict may-have-run for a request of which no byte was sent.
TEST_CASE("A request that was never sent has the verdict not-run")
{
    NetworkAddress closed;
    {
        const ScriptedUpstream upstream([](StreamSocket&, int) {});
        closed = upstream.address();
    }
    UpstreamPool pool({});
    auto withLineBreak = request(closed);
    withLineBreak.taskId = "a\r\nInjected: b";
    const UpstreamRequest requests[] { request(closed), request(closed, -std::chrono::seconds(1)),
        request(NetworkAddress("localhost:80")), request(NetworkAddress("127.0.0.1:99999")), withLineBreak };
    for (const auto& unsent : requests) {
        const auto result = pool.exchange(unsent);
        REQUIRE(std::holds_alternative<UpstreamFailure>(result));
        CHECK(std::get<UpstreamFailure>(result).error.verdict == Verdict::NotRun);
    }
}

// Guards against a call that fails, or is reported as may-have-run, only because the upstream closed an idle
// connection.
TEST_CASE("A pooled connection that the upstream closed is replaced before anything is sent")
{
    std::mutex mutex;
    std::condition_variable changed;
    bool closed = false;
    ScriptedUpstream upstream([&](StreamSocket& socket, int number) {
        std::string received;
        if (number > 0)
            return respondToAll(socket, response("ok"));
        ScriptedUpstream::readRequest(socket, received);
        ScriptedUpstream::send(socket, response("ok"));
        socket.close();
        std::lock_guard lock(mutex);
        closed = true;
        changed.notify_all();
    });
    UpstreamPool pool({});
    REQUIRE(std::holds_alternative<UpstreamAnswer>(pool.exchange(request(upstream.address()))));
    {
        std::unique_lock lock(mutex);
        REQUIRE(changed.wait_for(lock, std::chrono::seconds(10), [&] { return closed; }));
    }
    CHECK(std::holds_alternative<UpstreamAnswer>(pool.exchange(request(upstream.address()))));
    CHECK(upstream.accepted() == 2);
    pool.closeIdleConnections(upstream.address());
}

// Guards against returning a response for the wrong request: one that arrives after the timeout of its request, and one
// that an upstream sends without a request.
TEST_CASE("A late or unsolicited response is never returned for another request")
{
    std::mutex mutex;
    std::condition_variable changed;
    bool sent = false;
    ScriptedUpstream upstream([&](StreamSocket& socket, int number) {
        std::string received;
        if (number == 0) {
            ScriptedUpstream::readRequest(socket, received);
            char byte = 0;
            // Waits until the pool has timed out and closed the connection, then responds too late.
            socket.receiveBytes(&byte, 1);
            ScriptedUpstream::send(socket, response("late"));
        } else if (number == 1) {
            ScriptedUpstream::readRequest(socket, received);
            ScriptedUpstream::send(socket, response("own") + response("surplus"));
            ScriptedUpstream::readRequest(socket, received);
        } else if (number == 2) {
            ScriptedUpstream::readRequest(socket, received);
            ScriptedUpstream::send(socket, response("own"));
            std::unique_lock lock(mutex);
            changed.wait_for(lock, std::chrono::seconds(10), [&] { return sent; });
            ScriptedUpstream::send(socket, response("unsolicited"));
            sent = false;
            changed.notify_all();
            lock.unlock();
            ScriptedUpstream::readRequest(socket, received);
        } else {
            respondToAll(socket, response("own"));
        }
    });
    UpstreamPool pool({});
    CHECK(std::holds_alternative<UpstreamFailure>(
        pool.exchange(request(upstream.address(), std::chrono::milliseconds(50)))));
    for (int i = 0; i < 4; ++i) {
        const auto result = pool.exchange(request(upstream.address()));
        REQUIRE(std::holds_alternative<UpstreamAnswer>(result));
        CHECK(std::get<UpstreamAnswer>(result).body == "own");
        if (upstream.accepted() == 3) {
            std::unique_lock lock(mutex);
            sent = true;
            changed.notify_all();
            CHECK(changed.wait_for(lock, std::chrono::seconds(10), [&] { return !sent; }));
        }
    }
    CHECK(upstream.accepted() == 4);
}

// Guards against an unbounded number of connections to one upstream.
TEST_CASE("An exchange over the connection limit is refused as not-run")
{
    std::mutex mutex;
    std::condition_variable changed;
    bool entered = false;
    bool release = false;
    ScriptedUpstream upstream([&](StreamSocket& socket, int) {
        std::string received;
        ScriptedUpstream::readRequest(socket, received);
        {
            std::unique_lock lock(mutex);
            entered = true;
            changed.notify_all();
            changed.wait_for(lock, std::chrono::seconds(10), [&] { return release; });
        }
        ScriptedUpstream::send(socket, response("ok"));
    });
    UpstreamPool pool({ .connectionsPerUpstream = 1 });
    std::thread first(
        [&] { CHECK(std::holds_alternative<UpstreamAnswer>(pool.exchange(request(upstream.address())))); });
    {
        std::unique_lock lock(mutex);
        REQUIRE(changed.wait_for(lock, std::chrono::seconds(10), [&] { return entered; }));
    }
    const auto result = pool.exchange(request(upstream.address()));
    {
        std::lock_guard lock(mutex);
        release = true;
        changed.notify_all();
    }
    first.join();
    REQUIRE(std::holds_alternative<UpstreamFailure>(result));
    CHECK(std::get<UpstreamFailure>(result).error.code == ErrorCode::ResourceExhausted);
    CHECK(std::get<UpstreamFailure>(result).error.verdict == Verdict::NotRun);
}

// Guards against an upstream that occupies a slot beyond the deadline by sending its response byte by byte.
TEST_CASE("An exchange with a slowly sent response ends at the deadline")
{
    ScriptedUpstream upstream([](StreamSocket& socket, int) {
        std::string received;
        ScriptedUpstream::readRequest(socket, received);
        // The pool closes the connection at the deadline, which ends the wait for input.
        for (int i = 0; i < 1000 && !socket.poll(Poco::Timespan(0, 10000), Poco::Net::Socket::SELECT_READ); ++i)
            ScriptedUpstream::send(socket, "H");
    });
    UpstreamPool pool({});
    const auto result = pool.exchange(request(upstream.address(), std::chrono::milliseconds(100)));
    REQUIRE(std::holds_alternative<UpstreamFailure>(result));
    CHECK(std::get<UpstreamFailure>(result).error.code == ErrorCode::DeadlineExceeded);
    CHECK(std::get<UpstreamFailure>(result).error.verdict == Verdict::MayHaveRun);
}

// Guards against a large request that the upstream refuses early and that is then reported as may-have-run, because the
// connection was closed while the request was being sent.
TEST_CASE("A large request that is refused early gets the upstream's verdict")
{
    const ServerFixture fixture({ .maxBodyBytes = 1024 });
    UpstreamPool pool({});
    auto large = request(fixture.address());
    large.body.assign(8 * 1024 * 1024, 'x');
    const auto result = pool.exchange(large);
    REQUIRE(std::holds_alternative<UpstreamFailure>(result));
    CHECK(std::get<UpstreamFailure>(result).error.code == ErrorCode::ResourceExhausted);
    CHECK(std::get<UpstreamFailure>(result).error.verdict == Verdict::NotRun);
    CHECK(std::get<UpstreamFailure>(result).answered);
}
