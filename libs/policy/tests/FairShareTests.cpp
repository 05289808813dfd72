#include "Simulation.h"

#include <doctest/doctest.h>

using namespace Balsammill;
using namespace Balsammill::Testing;
using namespace std::chrono_literals;

namespace {

// 10 upstreams with 8 slots and runs of 100 ms give a capacity of 800 tasks/s.
constexpr double capacity = 800;

struct Comparison {
    std::vector<WorkloadResult> calm;
    std::vector<WorkloadResult> fair;
    std::vector<WorkloadResult> firstComeFirstServed;
};

std::vector<WorkloadResult> simulate(QueueOrder order, const std::vector<Workload>& workloads)
{
    Simulation simulation({ .order = order }, 10, 8, 7);
    return simulation.run(workloads, 20s);
}

/// Runs the workloads without the flood, which is the last of them, and with it in both orders.
Comparison compare(const std::vector<Workload>& workloads)
{
    return { simulate(QueueOrder::Fair, { workloads.begin(), workloads.end() - 1 }),
        simulate(QueueOrder::Fair, workloads), simulate(QueueOrder::FirstComeFirstServed, workloads) };
}

void checkKeepsShare(Comparison comparison, std::size_t workload)
{
    auto& calm = comparison.calm[workload];
    auto& fair = comparison.fair[workload];
    CAPTURE(workload);
    CHECK(fair.completedShare() >= 0.95 * calm.completedShare());
    CHECK(fair.slowdownQuantile(0.99) <= 2 * calm.slowdownQuantile(0.99));
    CHECK(comparison.firstComeFirstServed[workload].completedShare() < 0.5);
}

double busyShare(const std::vector<WorkloadResult>& results)
{
    std::int64_t slotMicros = 0;
    for (const auto& result : results)
        slotMicros += result.slotMicros;
    return static_cast<double>(slotMicros) / (80 * 20e6);
}

} // namespace

// Guards against a flood of one method that displaces the other methods of its client account. The urgency of the flood
// is first below and then above that of the others.
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
        checkKeepsShare(comparison, 0);
        checkKeepsShare(comparison, 1);
        CHECK(busyShare(comparison.fair) >= 0.9);
    }
}

// Guards against a flood of one client account that displaces the other client accounts, whatever urgency it claims.
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
        checkKeepsShare(comparison, 0);
        checkKeepsShare(comparison, 1);
        CHECK(busyShare(comparison.fair) >= 0.9);
    }
}
