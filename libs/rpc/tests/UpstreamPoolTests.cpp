#include "ServerFixture.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>

using namespace Balsammill;

namespace {

UpstreamRequest requestTo(const NetworkAddress& address, std::string body, Duration timeout = std::chrono::seconds(10))
{
    return { .address = address,
        .method = MethodName("test.Echo/Say"),
        .body = std::move(body),
        .taskId = "task-1",
        .deadline = monotonicNow() + timeout };
}

} // namespace

// Guards against responses that are returned for another request when several threads reuse connections.
TEST_CASE("Each concurrent exchange gets its own response")
{
    ServerFixture fixture;
    UpstreamPool pool({});
    std::atomic<int> wrong { 0 };
    std::vector<std::thread> threads;
    for (int t = 0; t < 4; ++t) {
        threads.emplace_back([&, t] {
            for (int i = 0; i < 200; ++i) {
                const auto body = std::to_string(t) + ":" + std::to_string(i);
                const auto result = pool.exchange(requestTo(fixture.address(), body));
                const auto* response = std::get_if<UpstreamAnswer>(&result);
                if (response == nullptr || response->body != body)
                    ++wrong;
            }
        });
    }
    for (auto& thread : threads)
        thread.join();
    CHECK(wrong == 0);
}

// Guards against the verdict not-run after the request was sent, with which a client would resend a non-idempotent call
// that may have run.
TEST_CASE("A timeout after the request was sent has the verdict may-have-run")
{
    ServerFixture fixture({ .handler = [](const RpcRequest& request) {
        std::this_thread::sleep_for(std::chrono::milliseconds(request.body == "slow" ? 300 : 0));
        return echo(request);
    } });
    UpstreamPool pool({});
    const auto late = pool.exchange(requestTo(fixture.address(), "slow", std::chrono::milliseconds(100)));
    const auto* failure = std::get_if<UpstreamFailure>(&late);
    REQUIRE(failure != nullptr);
    CHECK(failure->error.code == ErrorCode::DeadlineExceeded);
    CHECK(failure->error.verdict == Verdict::MayHaveRun);
    CHECK_FALSE(failure->answered);
    const auto next = pool.exchange(requestTo(fixture.address(), "next"));
    REQUIRE(std::holds_alternative<UpstreamAnswer>(next));
    CHECK(std::get<UpstreamAnswer>(next).body == "next");
}
