#include "support/Deployment.h"

#include <doctest/doctest.h>

#include <atomic>

using namespace IntegrationTest;
using namespace std::chrono_literals;
using Balsammill::Verdict;

// Guards against an answer that is delivered to the wrong request. It could happen when answers arrive out of order, or
// after their request has timed out on a connection that is then reused.
TEST_CASE("Each answer reaches its own request when answers are late or out of order [answers]")
{
    Deployment deployment({ .name = "crossed", .domains = { "malaybalay" }, .runMs = 10, .upstreamProxies = true });
    for (const auto& upstream : deployment.upstreams())
        deployment.setRoute("upstream-" + upstream.vm, R"({"delay_ms":5,"jitter_ms":60})");

    constexpr int callers = 40;
    constexpr int callsPerCaller = 60;
    std::atomic<int> answered { 0 };
    std::atomic<int> mismatched { 0 };
    std::atomic<int> timedOut { 0 };
    std::vector<std::thread> threads;
    for (int c = 0; c < callers; ++c) {
        threads.emplace_back([&, c] {
            for (int i = 0; i < callsPerCaller; ++i) {
                const auto id = "cross-" + std::to_string(c) + "-" + std::to_string(i);
                const auto& entry = deployment.entries()[static_cast<std::size_t>((c + i) % 2)];
                // Every third call times out before its answer arrives.
                const Balsammill::Duration timeout = i % 3 == 0 ? 60ms : 10s;
                const auto outcome = deployment.call(entry, "banhay.Tanim/TalaLog",
                    R"({"requestId":")" + id + R"(","flower":)" + std::to_string(i) + "}", timeout);
                if (!outcome.ok) {
                    ++timedOut;
                    continue;
                }
                ++answered;
                if (outcome.answer.find("\"" + id + "\"") == std::string::npos)
                    ++mismatched;
            }
        });
    }
    for (auto& thread : threads)
        thread.join();
    MESSAGE(answered.load() << " calls answered, " << timedOut.load() << " failed or timed out");
    CHECK(answered.load() > 0);
    CHECK(timedOut.load() > 0);
    CHECK_MESSAGE(mismatched.load() == 0, mismatched.load() << " answers delivered to the wrong request, expected 0");
    CHECK(deployment.repeatedStarts() == "");
}

// Guards against a second run of a call that is not idempotent: the upstream closes the connection after it has read
// the request, and the entry sends the request again.
TEST_CASE("A call that is not idempotent runs at most once when its connection breaks after the request [answers]")
{
    Deployment deployment({ .name = "broken-connections", .domains = { "malaybalay" }, .entriesPerDomain = 1 });
    for (const auto& upstream : deployment.upstreams())
        deployment.setUpstreamMode(upstream, R"({"mode":"close-after-request"})");
    for (int i = 0; i < 10; ++i) {
        const auto outcome
            = deployment.call(deployment.entries().front(), "banhay.Tanim/TalaLog", R"({"requestId":"broken"})");
        CHECK_FALSE(outcome.ok);
        const bool reportedNotRun = outcome.error.verdict == Verdict::NotRun;
        if (reportedNotRun)
            CHECK_MESSAGE(outcome.error.code == Balsammill::ErrorCode::Unavailable, outcome.error.message);
    }
    CHECK(deployment.repeatedStarts() == "");
    for (const auto& upstream : deployment.upstreams())
        deployment.setUpstreamMode(upstream, R"({"mode":"ok"})");
    CHECK(waitUntil(in(20s), [&] {
        return deployment.call(deployment.entries().front(), "banhay.Tanim/TalaLog", R"({"requestId":"mended"})").ok;
    }));
}
