#include "balsammill/observe/Metrics.h"

#include "QuantileEstimator.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <thread>
#include <vector>

using namespace Balsammill;

namespace {

CallSample sampleOf(const std::string& clientAccount)
{
    return { MethodName("tanim/BulaklakCheck"), ClientAccountName(clientAccount), std::chrono::milliseconds(100),
        std::chrono::milliseconds(20), std::chrono::milliseconds(50), Verdict::Ran, true };
}

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

} // namespace

// Guards against an estimator that is inaccurate in the tail, or wrong for the first few samples, where P-square has no
// estimate yet.
TEST_CASE("Quantile estimates agree with the quantiles of the sorted samples")
{
    for (const std::size_t count : { 5, 64, 65, 20'000 }) {
        Detail::QuantileEstimator estimator;
        std::mt19937 random(7);
        std::lognormal_distribution<double> distribution(0, 1);
        std::vector<double> samples;
        for (std::size_t i = 0; i < count; ++i) {
            samples.push_back(distribution(random));
            estimator.add(samples.back());
        }
        std::sort(samples.begin(), samples.end());
        // With few samples, the 99th percentile is an extreme sample, which varies too much for a useful tolerance.
        for (const double probability : count < 1000 ? std::vector { 0.5 } : std::vector { 0.5, 0.9, 0.99 }) {
            const auto exact = samples.at(static_cast<std::size_t>(probability * static_cast<double>(count)));
            CAPTURE(count);
            CAPTURE(probability);
            CHECK(estimator.quantile(probability) == doctest::Approx(exact).epsilon(count < 1000 ? 0.15 : 0.05));
        }
    }
}

// Guards against output that a scraper rejects because a client account name contains quotes, backslashes or line
// breaks.
TEST_CASE("The exposition has one type line per metric and escaped labels")
{
    Metrics metrics;
    metrics.recordCall(sampleOf("a\"b\\c\nd"));
    metrics.add("balsammill_retries_total", "cause=\"refused\"", 2);
    metrics.add("balsammill_retries_total", "cause=\"refused\"", 3);
    metrics.set("balsammill_free_slots", "", 12.5);
    const auto text = metrics.exposition();
    CHECK(contains(text,
        R"(balsammill_calls_total{method="tanim/BulaklakCheck",team="a\"b\\c\nd",verdict="ran",succeeded="true"} 1)"));
    CHECK(contains(text, R"(quantile="0.99"} 0.1)"));
    CHECK(contains(text, "# TYPE balsammill_retries_total counter\nbalsammill_retries_total{cause=\"refused\"} 5\n"));
    CHECK(contains(text, "# TYPE balsammill_free_slots gauge\nbalsammill_free_slots 12.5\n"));
    CHECK(contains(text, R"(balsammill_slowdown{method="tanim/BulaklakCheck",team="a\"b\\c\nd",quantile="0.5"} 2)"));
    CHECK_THROWS_AS(metrics.add("bad name", "", 1), std::invalid_argument);
}

// Guards against clients that exhaust the memory by sending a new client account name with each call.
TEST_CASE("Calls of client accounts beyond the series limit share one series")
{
    Metrics metrics;
    for (int i = 0; i < 3000; ++i)
        metrics.recordCall(sampleOf("team-" + std::to_string(i)));
    const auto text = metrics.exposition();
    CHECK(contains(text, R"(balsammill_response_seconds_count{method="other",team="other"} 1976)"));
    CHECK_FALSE(contains(text, "team-2999"));
}

// Guards against lost updates and data races between the request path and a scraper.
TEST_CASE("Counts are exact under concurrent use")
{
    Metrics metrics;
    std::vector<std::thread> threads;
    for (int t = 0; t < 4; ++t) {
        threads.emplace_back([&metrics] {
            for (int i = 0; i < 2000; ++i) {
                metrics.recordCall(sampleOf("team"));
                metrics.add("balsammill_events_total", "", 1);
                if (i % 500 == 0)
                    (void)metrics.exposition();
            }
        });
    }
    for (auto& thread : threads)
        thread.join();
    const auto text = metrics.exposition();
    CHECK(contains(text, R"(balsammill_response_seconds_count{method="tanim/BulaklakCheck",team="team"} 8000)"));
    CHECK(contains(text, "balsammill_events_total 8000\n"));
}

// Guards against buckets that are not cumulative, which dashboards would show as negative rates.
TEST_CASE("A histogram counts each sample in its bucket and in all larger buckets")
{
    Metrics metrics;
    for (const double time : { 0.5, 1.0, 1.5, 300.0, 10'000.0 })
        metrics.observe("balsammill_test_ms", "kind=\"a\"", time);
    metrics.observe("balsammill_plain_ms", {}, 7);
    const auto text = metrics.exposition();
    for (const auto* line :
        { "balsammill_test_ms_bucket{kind=\"a\",le=\"1\"} 2\n", "balsammill_test_ms_bucket{kind=\"a\",le=\"2\"} 3\n",
            "balsammill_test_ms_bucket{kind=\"a\",le=\"400\"} 4\n",
            "balsammill_test_ms_bucket{kind=\"a\",le=\"6400\"} 4\n",
            "balsammill_test_ms_bucket{kind=\"a\",le=\"+Inf\"} 5\n", "balsammill_test_ms_count{kind=\"a\"} 5\n",
            "balsammill_plain_ms_bucket{le=\"10\"} 1\n", "balsammill_plain_ms_sum 7\n" })
        CHECK_MESSAGE(text.find(line) != std::string::npos, line, " is missing in ", text);
    CHECK_THROWS_AS(metrics.observe("bad name", {}, 1), std::invalid_argument);
}
