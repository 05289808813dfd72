#include "LoadReport.h"
#include "UpstreamService.h"

#include <doctest/doctest.h>

#include <cmath>

using namespace Balsammill;
using namespace Balsammill::Standin;

namespace {

std::vector<Duration> arrivalsOf(const LoadClass& load, Duration length, std::uint64_t seed)
{
    ArrivalProcess process(load, length, seed);
    std::vector<Duration> arrivals;
    for (auto next = process.next(); next; next = process.next())
        arrivals.push_back(*next);
    return arrivals;
}

std::shared_ptr<const EchoMessages> testMessages()
{
    return std::make_shared<const EchoMessages>(Schema::compile({ { .path = "t.proto", .text = R"(syntax = "proto3";
        package t;
        service S { rpc Do(Request) returns (Answer); }
        message Request { string id = 1; uint32 row = 2; repeated string colours = 3; string unanswered = 4; }
        message Answer { repeated string colours = 5; string id = 2; uint32 row = 7; bytes image = 9; })" } }));
}

} // namespace

// Guards against arrival rates other than the configured ones, and against loads that a seed does not reproduce.
TEST_CASE("Arrivals are a seeded Poisson process with floods")
{
    LoadClass load { .name = "a", .method = MethodName("t.S/Do"), .rate = 100 };
    const Duration length = std::chrono::seconds(100);
    const auto arrivals = arrivalsOf(load, length, 7);
    CHECK(arrivals == arrivalsOf(load, length, 7));
    CHECK(arrivals != arrivalsOf(load, length, 8));
    // Mean 10,000; five standard deviations are 500.
    CHECK(std::abs(static_cast<double>(arrivals.size()) - 10'000) < 500);
    CHECK(std::is_sorted(arrivals.begin(), arrivals.end()));
    CHECK(arrivals.back() < length);

    load.floodAt = std::chrono::seconds(50);
    load.floodFor = std::chrono::seconds(10);
    const auto flooded = arrivalsOf(load, length, 7);
    const auto inFlood = std::count_if(flooded.begin(), flooded.end(),
        [](Duration time) { return time >= std::chrono::seconds(50) && time < std::chrono::seconds(60); });
    CHECK(std::abs(static_cast<double>(inFlood) - 10'000) < 500);
    CHECK(std::abs(static_cast<double>(flooded.size() - static_cast<std::size_t>(inFlood)) - 9'000) < 475);
}

// Guards against a misspelled, missing or malformed field of a load class that silently changes the load.
TEST_CASE("A load class is parsed completely or rejected")
{
    const auto load
        = parseLoadClass("name=rows,method=t.S/Do,team=north,rate=2.5,jobs=4,flood_at=10,flood_factor=3,ideal_ms=60");
    CHECK(load.clientAccount == ClientAccountName("north"));
    CHECK(load.tasksPerJob == 4);
    CHECK(load.floodAt == std::chrono::seconds(10));
    CHECK(load.ideal == std::chrono::milliseconds(60));
    for (const auto* bad : { "name=a,rate=1", "name=a,method=m", "name=a,method=m,rate=x",
             "name=a,method=m,rate=1,job=3", "name=a,method=m,rate=-1" })
        CHECK_THROWS_AS(parseLoadClass(bad), std::invalid_argument);
}

// Guards against an answer check that accepts the answer to another request.
TEST_CASE("An answer matches its own request only")
{
    const auto messages = testMessages();
    const auto& method = *messages->findMethod("t.S/Do");
    const auto request = messages->makeRequest(method, 17);
    const auto answer = messages->makeAnswer(method, request);
    REQUIRE(answer.has_value());
    CHECK(messages->matches(method, request, *answer));
    CHECK_FALSE(messages->matches(method, messages->makeRequest(method, 18), *answer));
    CHECK_FALSE(messages->matches(method, request, ""));
    CHECK_FALSE(messages->matches(method, request, answer->substr(0, answer->size() - 1)));
    CHECK_FALSE(messages->makeAnswer(method, "\xff").has_value());
}

// Guards against a load generator that waits for answers, loses calls or counts them wrongly.
TEST_CASE("The load generator sends every arrival and counts its outcome")
{
    const auto messages = testMessages();
    StartLog log(0, nullptr);
    UpstreamService upstream(
        { .messages = messages, .slots = Slots { 2 }, .runTime = FixedRunTime { std::chrono::milliseconds(50) } }, log);
    const HttpService http({ .handler = [&](auto& request, auto& response) { upstream.handle(request, response); } });
    LoadCaller caller({ .entries = { NetworkAddress("127.0.0.1:" + std::to_string(http.port())) } }, messages, 1);

    const LoadClass load { .name = "a", .method = MethodName("t.S/Do"), .rate = 200 };
    const Duration length = std::chrono::seconds(1);
    ClassRunner runner(load, caller, { .length = length, .maxInFlight = 64, .seed = 3 });
    runner.run(monotonicNow());

    const auto summary = summarize(load, std::chrono::milliseconds(50), runner.result(), { .length = length });
    CHECK(summary.arrivals == arrivalsOf(load, length, 3).size());
    const auto countOf = [&](CallOutcome outcome) {
        const auto found = summary.outcomes.find(outcome);
        return found == summary.outcomes.end() ? 0U : found->second;
    };
    // Two slots of 50 ms run at most 40 tasks a second; the others are refused immediately instead of queued.
    CHECK(countOf(CallOutcome::Completed) == log.count());
    CHECK(countOf(CallOutcome::Completed) <= 42);
    CHECK(countOf(CallOutcome::Completed) + countOf(CallOutcome::RefusedNotRun) == summary.arrivals);
    CHECK(summary.responseMs.p50 >= 50);
    CHECK(summary.slowdown.p50 >= 1);
}

// Guards against a throughput that includes answers outside the reported period, such as those to the backlog at the
// end of the load.
TEST_CASE("The throughput counts only answers within the reported period")
{
    const LoadClass load { .name = "a", .method = MethodName("t.S/Do"), .rate = 1 };
    const auto sampleAt = [](int arrivalMs, int responseMs) {
        return LoadSample { std::chrono::milliseconds(arrivalMs), std::chrono::milliseconds(responseMs), {} };
    };
    const LoadClassResult result {
        .samples = { sampleAt(0, 900), sampleAt(500, 600), sampleAt(2500, 400), sampleAt(2500, 600) }, .causes = {}
    };
    const ReportRange range { .from = std::chrono::seconds(1), .length = std::chrono::seconds(3) };
    const auto summary = summarize(load, std::chrono::milliseconds(100), result, range);
    CHECK(summary.arrivals == 2);
    CHECK(summary.completedPerSecond == 1);
}

// Guards against interpolated percentiles, which no call has had.
TEST_CASE("Percentiles are values of the sample")
{
    std::vector<double> values;
    for (int i = 100; i >= 1; --i)
        values.push_back(i);
    const auto percentiles = percentilesOf(values);
    CHECK(percentiles.p50 == 50);
    CHECK(percentiles.p90 == 90);
    CHECK(percentiles.p99 == 99);
    CHECK(percentiles.max == 100);
    CHECK(percentilesOf({ 3 }).p99 == 3);
    CHECK(percentilesOf({}).max == 0);
}
