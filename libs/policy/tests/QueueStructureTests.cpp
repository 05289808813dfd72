#include "DeadlineWheel.h"
#include "FairQueue.h"
#include "FifoQueue.h"
#include "Simulation.h"

#include <doctest/doctest.h>

using namespace Balsammill;
using namespace Balsammill::Detail;
using namespace Balsammill::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t queueLength = 1000;
constexpr std::size_t middle = queueLength / 2;

std::vector<TaskRecord> records(RunTimeEstimates& estimates)
{
    std::vector<TaskRecord> tasks(queueLength);
    for (std::size_t i = 0; i < queueLength; ++i) {
        tasks[i].id = TaskId(i);
        tasks[i].arrival = static_cast<std::int64_t>(i);
        tasks[i].deadline = at(1s);
        tasks[i].runTimes = &estimates.forMethod(MethodName("method"));
    }
    return tasks;
}

/// Sets the links of all records except the middle one and its neighbours to an invalid address, so that traversing
/// the list crashes. The destructor restores them.
template <ListLink<TaskRecord> TaskRecord::*Link> class PoisonedLinks {
public:
    explicit PoisonedLinks(std::vector<TaskRecord>& tasks)
        : tasks_(tasks)
    {
        for (auto& task : tasks_) {
            saved_.push_back(task.*Link);
            const auto index = static_cast<std::size_t>(&task - tasks_.data());
            if (index + 1 < middle || index > middle + 1)
                task.*Link = { poisonPointer(), poisonPointer() };
        }
    }
    ~PoisonedLinks()
    {
        for (std::size_t i = 0; i < tasks_.size(); ++i) {
            if (i + 1 < middle || i > middle + 1)
                tasks_[i].*Link = saved_[i];
        }
    }
    PoisonedLinks(const PoisonedLinks&) = delete;
    PoisonedLinks& operator=(const PoisonedLinks&) = delete;

private:
    // NOLINTNEXTLINE(performance-no-int-to-ptr): an address that must not be read
    static TaskRecord* poisonPointer() { return reinterpret_cast<TaskRecord*>(std::uintptr_t { 64 }); }

    std::vector<TaskRecord>& tasks_;
    std::vector<ListLink<TaskRecord>> saved_;
};

template <typename Queue> void checkRemoval(Queue& queue, RunTimeEstimates& estimates)
{
    auto tasks = records(estimates);
    const TaskSpec spec { .method = MethodName("method"), .clientAccount = ClientAccountName("team") };
    for (auto& task : tasks) {
        queue.assignFlow(task, spec);
        queue.push(task);
    }
    {
        PoisonedLinks<&TaskRecord::queueLink> poisoned(tasks);
        queue.remove(tasks[middle]);
    }
    for (std::size_t i = 0; i < queueLength; ++i) {
        if (i != middle)
            REQUIRE(queue.pop(at(0s)) == &tasks[i]);
    }
    CHECK(queue.pop(at(0s)) == nullptr);
}

} // namespace

// Guards against a cancellation whose cost grows with the length of the queue, so that many cancellations at once would
// stall the scheduler. The links of all records that a removal need not access are made invalid.
TEST_CASE("Removing a queued task accesses only its neighbours")
{
    RunTimeEstimates estimates;
    FairQueue fair(estimates, {});
    checkRemoval(fair, estimates);
    FifoQueue fifo(estimates);
    checkRemoval(fifo, estimates);

    auto tasks = records(estimates);
    DeadlineWheel wheel;
    for (auto& task : tasks)
        wheel.insert(task);
    {
        PoisonedLinks<&TaskRecord::deadlineLink> poisoned(tasks);
        wheel.remove(tasks[middle]);
    }
    CHECK(wheel.advance(at(2s)).size() == queueLength - 1);
}

// Guards against shares that depend on declared run times instead of the slot time that was used, and against charges
// for tasks that never ran.
TEST_CASE("A flow is charged for the slot time that its tasks used")
{
    RunTimeEstimates estimates;
    FairQueue queue(estimates, {});
    auto tasks = records(estimates);
    for (std::size_t i = 0; i < queueLength; ++i) {
        estimates.initializeEstimate(*tasks[i].runTimes, tasks[i].sizeClass, 100ms);
        queue.assignFlow(tasks[i],
            { .method = MethodName("method"), .clientAccount = ClientAccountName(i % 2 == 0 ? "even" : "odd") });
        queue.push(tasks[i]);
    }
    const auto popsFromOtherFlows = [&](const TaskRecord& first) {
        for (std::size_t count = 0;; ++count) {
            if (queue.pop(at(0s))->flow == first.flow)
                return count;
        }
    };
    auto* longTask = queue.pop(at(0s));
    queue.reconcileCharge(*longTask, 1'000'000, 100);
    CHECK(popsFromOtherFlows(*longTask) >= 9);

    auto* unused = queue.pop(at(0s));
    queue.reconcileCharge(*unused, 0, 100);
    CHECK(popsFromOtherFlows(*unused) == 0);
}

// Guards against deadlines that are lost, reported early or reported twice when they lie more than one revolution of
// the wheel ahead or when the process was paused for longer than a revolution.
TEST_CASE("The deadline wheel reports each deadline once, at most one bucket late")
{
    std::mt19937_64 random(13);
    for (auto step : { 1ms, 50ms, 100'000ms }) {
        RunTimeEstimates estimates;
        auto tasks = records(estimates);
        DeadlineWheel wheel;
        for (auto& task : tasks) {
            task.deadline = at(Duration(static_cast<std::int64_t>(random() % 120'000'000)));
            wheel.insert(task);
        }
        std::size_t reported = 0;
        for (auto now = at(0s); now <= at(300s); now += step) {
            for (const auto* task : wheel.advance(now)) {
                ++reported;
                REQUIRE(task->deadline <= now);
                REQUIRE(task->deadline > now - step - 8ms);
            }
            if (const auto due = wheel.nextDue())
                REQUIRE(*due > now);
        }
        CHECK(reported == queueLength);
        CHECK_FALSE(wheel.nextDue().has_value());
    }
}

// Guards against memory use that grows with the number of client account names that callers send.
TEST_CASE("Client accounts without tasks are evicted beyond the limit")
{
    RunTimeEstimates estimates;
    FairQueue queue(estimates, {});
    auto tasks = records(estimates);
    for (std::size_t i = 0; i < 5000; ++i) {
        auto& task = tasks[i % queueLength];
        queue.assignFlow(
            task, { .method = MethodName("method"), .clientAccount = ClientAccountName("team-" + std::to_string(i)) });
        queue.push(task);
        REQUIRE(queue.pop(at(0s)) == &task);
        queue.reconcileCharge(task, 1, 1);
    }
    CHECK(queue.clientAccountCount() <= 1024);
}
