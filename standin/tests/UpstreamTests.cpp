#include "LoadCaller.h"
#include "UpstreamService.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <doctest/doctest.h>

#include <future>

using namespace Balsammill;
using namespace Balsammill::Standin;

namespace {

struct RunningUpstream {
    Duration runTime { std::chrono::milliseconds(20) };
    std::shared_ptr<const EchoMessages> messages { std::make_shared<const EchoMessages>(
        Schema::compile({ { .path = "t.proto", .text = R"(syntax = "proto3"; package t;
            service S { rpc Do(Message) returns (Message); } message Message { string id = 1; })" } })) };
    StartLog log { 0, nullptr };
    UpstreamService service { { .messages = messages, .slots = Slots { 2 }, .runTime = FixedRunTime { runTime } },
        log };
    HttpService http { { .handler = [this](auto& request, auto& response) { service.handle(request, response); } } };
    LoadCaller caller { { .entries = { NetworkAddress("127.0.0.1:" + std::to_string(http.port())) } }, messages, 1 };
    LoadClass load { .name = "a", .method = MethodName("t.S/Do"), .rate = 1 };

    CallOutcome call(std::uint64_t number) { return caller.call(load, caller.methodOf(load), number).outcome; }
    void setMode(const std::string& json) const
    {
        Poco::Net::HTTPClientSession session("127.0.0.1", http.port());
        Poco::Net::HTTPRequest request("PUT", "/control/mode", "HTTP/1.1");
        request.setContentLength(static_cast<std::streamsize>(json.size()));
        session.sendRequest(request) << json;
        Poco::Net::HTTPResponse response;
        session.receiveResponse(response);
        REQUIRE(response.getStatus() == 200);
    }
};

} // namespace

// Guards against modes that start a task without recording it, or record a task that did not start.
TEST_CASE("Each mode of an upstream leads to its outcome and records the started tasks")
{
    RunningUpstream upstream;
    CHECK(upstream.call(1) == CallOutcome::Completed);
    upstream.setMode(R"({"mode":"fail-all"})");
    CHECK(upstream.call(2) == CallOutcome::FailedRan);
    upstream.setMode(R"({"mode":"close-after-request"})");
    CHECK(upstream.call(3) == CallOutcome::NoAnswer);
    CHECK(upstream.log.count() == 3);
    upstream.setMode(R"({"mode":"dead"})");
    CHECK(upstream.call(4) == CallOutcome::NoAnswer);
    upstream.setMode(R"({"mode":"lie-slots","factor":0.4})");
    CHECK(upstream.call(5) == CallOutcome::RefusedNotRun);
    CHECK(upstream.log.count() == 3);
}

// Guards against an upstream that still answers the calls of running tasks after the mode dead is set.
TEST_CASE("Running tasks of an upstream get no answer once the mode dead is set")
{
    RunningUpstream upstream { std::chrono::seconds(60) };
    auto running = std::async(std::launch::async, [&] { return upstream.call(1); });
    const auto deadline = monotonicNow() + std::chrono::seconds(10);
    while (upstream.log.count() == 0 && monotonicNow() < deadline)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    upstream.setMode(R"({"mode":"dead"})");
    CHECK(running.get() == CallOutcome::NoAnswer);
    CHECK(upstream.log.toJsonLines().find(R"("outcome":"reset")") != std::string::npos);
}
