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
        tasks[i].runTimes = &estimates.of(MethodName("method"));
    }
    return tasks;
}

/// Points the links of all records but the middle one and its neighbours to nowhere, so that a walk along the list
/// would crash, and restores them at the end.
template <ListLink<TaskRecord> TaskRecord::*Link> class BrokenLinks {
public:
    explicit BrokenLinks(std::vector<TaskRecord>& tasks)
        : tasks_(tasks)
    {
        for (auto& task : tasks_) {
            saved_.push_back(task.*Link);
            const auto index = static_cast<std::size_t>(&task - tasks_.data());
            if (index + 1 < middle || index > middle + 1)
                task.*Link = { nowhere(), nowhere() };
        }
    }
    ~BrokenLinks()
    {
        for (std::size_t i = 0; i < tasks_.size(); ++i) {
            if (i + 1 < middle || i > middle + 1)
                tasks_[i].*Link = saved_[i];
        }
    }
    BrokenLinks(const BrokenLinks&) = delete;
    BrokenLinks& operator=(const BrokenLinks&) = delete;

private:
    // NOLINTNEXTLINE(performance-no-int-to-ptr): an address that must not be read
    static TaskRecord* nowhere() { return reinterpret_cast<TaskRecord*>(std::uintptr_t { 64 }); }

    std::vector<TaskRecord>& tasks_;
    std::vector<ListLink<TaskRecord>> saved_;
};

template <typename Queue> void checkRemoval(Queue& queue, RunTimeEstimates& estimates)
{
    auto tasks = records(estimates);
    const TaskSpec spec { .method = MethodName("method"), .clientAccount = ClientAccountName("team") };
    for (auto& task : tasks) {
        queue.bind(task, spec);
        queue.push(task);
    }
    {
        BrokenLinks<&TaskRecord::queueLink> broken(tasks);
        queue.remove(tasks[middle]);
    }
    for (std::size_t i = 0; i < queueLength; ++i) {
        if (i != middle)
            REQUIRE(queue.pop(at(0s)) == &tasks[i]);
    }
    CHECK(queue.pop(at(0s)) == nullptr);
}

} // namespace

// Guards against a cancellation whose cost grows with the queue, which a wave of cancellations would turn into a stall.
// The records that a removal has no business with are made unreadable.
TEST_CASE("Removing a queued task touches only its neighbours")
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
        BrokenLinks<&TaskRecord::deadlineLink> broken(tasks);
        wheel.remove(tasks[middle]);
    }
    CHECK(wheel.advance(at(2s)).size() == queueLength - 1);
}

// Guards against shares that follow declarations instead of the slot time that was used, and against charges for tasks
// that never ran.
TEST_CASE("A flow is charged for the slot time that its tasks used")
{
    RunTimeEstimates estimates;
    FairQueue queue(estimates, {});
    auto tasks = records(estimates);
    for (std::size_t i = 0; i < queueLength; ++i) {
        estimates.declare(*tasks[i].runTimes, tasks[i].sizeClass, 100ms);
        queue.bind(tasks[i],
            { .method = MethodName("method"), .clientAccount = ClientAccountName(i % 2 == 0 ? "even" : "odd") });
        queue.push(tasks[i]);
    }
    const auto popsOfOther = [&](const TaskRecord& first) {
        for (std::size_t count = 0;; ++count) {
            if (queue.pop(at(0s))->flow == first.flow)
                return count;
        }
    };
    auto* longTask = queue.pop(at(0s));
    queue.settle(*longTask, 1'000'000, 100);
    CHECK(popsOfOther(*longTask) >= 9);

    auto* unused = queue.pop(at(0s));
    queue.settle(*unused, 0, 100);
    CHECK(popsOfOther(*unused) == 0);
}

// Guards against deadlines that are lost, reported early or reported twice when they lie beyond one turn of the wheel
// or when the process was paused for longer than a turn.
TEST_CASE("The wheel reports each deadline once, within a bucket after it")
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

// Guards against memory that grows with the client account names that callers send.
TEST_CASE("Client accounts without tasks are dropped beyond the limit")
{
    RunTimeEstimates estimates;
    FairQueue queue(estimates, {});
    auto tasks = records(estimates);
    for (std::size_t i = 0; i < 5000; ++i) {
        auto& task = tasks[i % queueLength];
        queue.bind(
            task, { .method = MethodName("method"), .clientAccount = ClientAccountName("team-" + std::to_string(i)) });
        queue.push(task);
        REQUIRE(queue.pop(at(0s)) == &task);
        queue.settle(task, 1, 1);
    }
    CHECK(queue.clientAccountCount() <= 1024);
}
