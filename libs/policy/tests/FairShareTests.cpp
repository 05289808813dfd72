#include "Simulation.h"

#include <doctest/doctest.h>

using namespace Balsammill;
using namespace Balsammill::Testing;
using namespace std::chrono_literals;

namespace {

// In tasks/s: 10 upstreams with 8 slots each and run times of 100 ms complete 800 tasks/s.
constexpr double capacity = 800;

struct Comparison {
    std::vector<WorkloadResult> withoutFlood;
    std::vector<WorkloadResult> fair;
    std::vector<WorkloadResult> firstComeFirstServed;
};

std::vector<WorkloadResult> simulate(QueueOrder order, const std::vector<Workload>& workloads)
{
    Simulation simulation({ .order = order }, 10, 8, 7);
    return simulation.run(workloads, 20s);
}

/// Runs the workloads without the last one, which is the flood, and then with the flood in both queue orders.
Comparison compare(const std::vector<Workload>& workloads)
{
    return { simulate(QueueOrder::Fair, { workloads.begin(), workloads.end() - 1 }),
        simulate(QueueOrder::Fair, workloads), simulate(QueueOrder::FirstComeFirstServed, workloads) };
}

void checkUnaffectedByFlood(Comparison comparison, std::size_t workload)
{
    auto& withoutFlood = comparison.withoutFlood[workload];
    auto& fair = comparison.fair[workload];
    CAPTURE(workload);
    CHECK(fair.completedShare() >= 0.95 * withoutFlood.completedShare());
    CHECK(fair.slowdownQuantile(0.99) <= 2 * withoutFlood.slowdownQuantile(0.99));
    CHECK(comparison.firstComeFirstServed[workload].completedShare() < 0.5);
}

double utilization(const std::vector<WorkloadResult>& results)
{
    std::int64_t slotMicros = 0;
    for (const auto& result : results)
        slotMicros += result.slotMicros;
    return static_cast<double>(slotMicros) / (80 * 20e6);
}

} // namespace

// Guards against a flood of one method that displaces the other methods of its client account. The weight of the flood
// is first below and then above those of the other methods.
TEST_CASE("Other methods keep their share when one method floods with ten times the capacity")
{
    for (std::uint32_t floodWeight : { 2U, 4U }) {
        CAPTURE(floodWeight);
        const auto otherWeight = 6 - floodWeight;
        const auto comparison = compare({
            { .method = MethodName("check"), .urgencyWeight = otherWeight, .tasksPerSecond = 0.15 * capacity },
            { .method = MethodName("assign"), .urgencyWeight = 3, .tasksPerSecond = 0.15 * capacity },
            { .method = MethodName("log"), .urgencyWeight = floodWeight, .tasksPerSecond = 10 * capacity },
        });
        checkUnaffectedByFlood(comparison, 0);
        checkUnaffectedByFlood(comparison, 1);
        CHECK(utilization(comparison.fair) >= 0.9);
    }
}

// Guards against a flood of one client account that displaces the other client accounts, whatever urgency it declares.
TEST_CASE("Other client accounts keep their share when one client account floods with ten times the capacity")
{
    for (std::uint32_t floodWeight : { 2U, 4U }) {
        CAPTURE(floodWeight);
        const auto comparison = compare({
            { .method = MethodName("check"),
                .clientAccount = ClientAccountName("north"),
                .urgencyWeight = 2,
                .tasksPerSecond = 0.25 * capacity },
            { .method = MethodName("check"),
                .clientAccount = ClientAccountName("south"),
                .urgencyWeight = 2,
                .tasksPerSecond = 0.25 * capacity },
            { .method = MethodName("check"),
                .clientAccount = ClientAccountName("flood"),
                .urgencyWeight = floodWeight,
                .tasksPerSecond = 10 * capacity },
        });
        checkUnaffectedByFlood(comparison, 0);
        checkUnaffectedByFlood(comparison, 1);
        CHECK(utilization(comparison.fair) >= 0.9);
    }
}
