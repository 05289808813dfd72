#include "Fleet.h"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <thread>
#include <vector>

using namespace PlatformTest;
using namespace std::chrono_literals;

namespace {

constexpr int clients = 5;
constexpr int jobsPerClient = 40;
constexpr int tasksPerJob = 2;
constexpr int runMs = 200;
// Response time objective of the operators' most common kind of job: 1.6 times the work and 60 ms.
constexpr std::chrono::milliseconds objective { runMs * 16 / 10 + 60 };
constexpr auto pause = 100ms;

struct Outcome {
    int inTime { 0 };
    int answered { 0 };
};

// Plays a load that needs about half of the fleet's capacity, and counts what its clients get.
Outcome play(const Fleet& fleet, int firstJob)
{
    std::atomic<int> inTime { 0 };
    std::atomic<int> answered { 0 };
    std::vector<std::thread> threads;
    for (int client = 0; client < clients; ++client) {
        threads.emplace_back([&, client] {
            for (int i = 0; i < jobsPerClient; ++i) {
                const auto begin = std::chrono::steady_clock::now();
                const auto id = jobId(firstJob + client * jobsPerClient + i);
                const auto answer = fleet.submit(static_cast<std::size_t>(client) % 2, id, tasksPerJob);
                const bool completed = answer.status == 200;
                answered += completed ? 1 : 0;
                inTime += completed && std::chrono::steady_clock::now() - begin <= objective ? 1 : 0;
                std::this_thread::sleep_for(pause);
            }
        });
    }
    for (auto& thread : threads)
        thread.join();
    return { .inTime = inTime, .answered = answered };
}

// Plays the load without and with lost orders. Returns the share of the jobs in time, relative to that without.
double shareInTime(const std::string& name, double lostShare)
{
    Fleet fleet({ .name = name, .upstreamsPerDomain = 4, .runMs = runMs });
    REQUIRE(fleet.waitUntilReady());
    const auto before = play(fleet, 1);
    for (std::size_t i = 0; i < fleet.upstreamCount(); ++i)
        fleet.upstream(i).delayShareOfOrders(lostShare);
    const auto during = play(fleet, 100'000);
    MESSAGE("in time without lost orders ", before.inTime, ", with ", during.inTime, ", answered ", during.answered,
        " of ", clients * jobsPerClient);
    CHECK_EQ(fleet.violations(), "");
    REQUIRE_GT(before.inTime, 0);
    return static_cast<double>(during.inTime) / before.inTime;
}

} // namespace

// Guards against a collapse in which a few lost orders take their upstreams out of use.
TEST_CASE("The loss of a twentieth of the orders to upstreams costs at most a tenth of the jobs in time [node]")
{
    CHECK_GE(shareInTime("node-lost-orders-twentieth", 0.05), 0.9);
}

TEST_CASE("The loss of a fifth of the orders to upstreams leaves at least seven tenths of the jobs in time [node]")
{
    CHECK_GE(shareInTime("node-lost-orders-fifth", 0.2), 0.7);
}
