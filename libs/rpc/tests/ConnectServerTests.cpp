#include "RawConnection.h"
#include "ServerFixture.h"

#include <doctest/doctest.h>

#include <condition_variable>
#include <mutex>
#include <thread>

using namespace Balsammill;

// Guards against headers or bodies that are lost or changed between client and handler.
TEST_CASE("A call reaches the handler with its headers and body")
{
    RpcRequest seen;
    ServerFixture fixture({ .handler = [&](const RpcRequest& request) {
        seen = request;
        return RpcAnswer { .encoding = Encoding::Binary, .body = std::string("a\0b", 3) };
    } });
    const auto response = callOnce({ .address = fixture.address(),
        .method = MethodName("test.Echo/Say"),
        .encoding = Encoding::Binary,
        .body = "request",
        .clientAccount = ClientAccountName("red"),
        .bearerToken = "secret",
        .deadline = secondsFromNow(10) });
    CHECK(response.body == std::string("a\0b", 3));
    CHECK(response.verdict == Verdict::Ran);
    CHECK(seen.method.value == "test.Echo/Say");
    CHECK(seen.body == "request");
    CHECK(seen.clientAccount.value == "red");
    CHECK(seen.bearerToken == "secret");
    CHECK(seen.deadline.has_value());
}

// Guards against an error whose code, message, verdict, field or retry delay is lost between handler and client.
TEST_CASE("A handler's error reaches the client with all its details")
{
    const RpcErrorDetails sent { .code = ErrorCode::ResourceExhausted,
        .message = "queue \"full\"",
        .verdict = Verdict::NotRun,
        .field = "items[1].row",
        .retryAfter = std::chrono::milliseconds(250) };
    ServerFixture fixture({ .handler = [&](const RpcRequest&) -> RpcAnswer { throw RpcError(sent); } });
    try {
        fixture.call("{}");
        FAIL("expected an error");
    } catch (const RpcError& error) {
        CHECK(error.details().code == sent.code);
        CHECK(error.details().message == sent.message);
        CHECK(error.details().verdict == sent.verdict);
        CHECK(error.details().field == sent.field);
        CHECK(error.details().retryAfter == sent.retryAfter);
    }
}

// Guards against a drain that aborts a request in flight or still admits new ones.
TEST_CASE("A draining server refuses new calls and completes the call in flight")
{
    std::mutex mutex;
    std::condition_variable changed;
    bool entered = false;
    bool release = false;
    ConnectServerOptions options;
    options.handler = [&](const RpcRequest& request) {
        std::unique_lock lock(mutex);
        entered = true;
        changed.notify_all();
        changed.wait_for(lock, std::chrono::seconds(10), [&] { return release; });
        return echo(request);
    };
    options.pages["/healthz"] = [] { return PageAnswer { .body = "ok" }; };
    ServerFixture fixture(options);
    std::string body;
    std::thread caller([&] { body = fixture.call("{}").body; });
    {
        std::unique_lock lock(mutex);
        REQUIRE(changed.wait_for(lock, std::chrono::seconds(10), [&] { return entered; }));
    }
    fixture.server().beginDrain();
    CHECK(fixture.server().requestsInFlight() == 1);
    CHECK_FALSE(fixture.server().waitUntilIdle(monotonicNow()));
    try {
        fixture.call("{}");
        FAIL("expected an error");
    } catch (const RpcError& error) {
        CHECK(error.details().code == ErrorCode::Unavailable);
        CHECK(error.details().verdict == Verdict::NotRun);
    }
    CHECK(fetchPage(fixture.address(), "/healthz", secondsFromNow(10)).body == "ok");
    {
        std::lock_guard lock(mutex);
        release = true;
        changed.notify_all();
    }
    CHECK(fixture.server().waitUntilIdle(secondsFromNow(10)));
    caller.join();
    CHECK(body == "{}");
}

// Guards against a second process that binds the same address without an error, and against errors that do not tell
// which address is meant.
TEST_CASE("An address that cannot be bound is named in the error")
{
    ServerFixture fixture;
    ConnectServer second({ .listenAddress = fixture.address(), .handler = echo });
    CHECK_THROWS_WITH(second.start(), doctest::Contains(fixture.address().value.c_str()));
    ConnectServer unnamed({ .listenAddress = NetworkAddress("localhost:0"), .handler = echo });
    CHECK_THROWS_WITH(unnamed.start(), doctest::Contains("localhost:0"));
}

// Guards against a refused connection that is reported as a call that may have run.
TEST_CASE("A call on a refused connection has the verdict not-run")
{
    NetworkAddress address;
    {
        ServerFixture fixture;
        address = fixture.address();
    }
    try {
        fetchPage(address, "/healthz", secondsFromNow(10));
        FAIL("expected an error");
    } catch (const RpcError& error) {
        CHECK(error.details().code == ErrorCode::Unavailable);
        CHECK(error.details().verdict == Verdict::NotRun);
    }
}

// Guards against a stop that aborts a call in flight, or that waits until clients close their idle connections.
TEST_CASE("Stopping completes the call in flight and closes idle connections")
{
    std::mutex mutex;
    std::condition_variable changed;
    bool entered = false;
    bool release = false;
    ServerFixture fixture({ .handler = [&](const RpcRequest& request) {
        std::unique_lock lock(mutex);
        entered = true;
        changed.notify_all();
        changed.wait_for(lock, std::chrono::seconds(10), [&] { return release; });
        return echo(request);
    } });
    RawConnection idle(fixture.port());
    std::string body;
    std::thread caller([&] { body = fixture.call("{}").body; });
    {
        std::unique_lock lock(mutex);
        REQUIRE(changed.wait_for(lock, std::chrono::seconds(10), [&] { return entered; }));
    }
    std::thread stopper([&] { fixture.server().stop(); });
    CHECK(idle.receiveAll().empty());
    {
        std::lock_guard lock(mutex);
        release = true;
        changed.notify_all();
    }
    stopper.join();
    caller.join();
    CHECK(body == "{}");
}
