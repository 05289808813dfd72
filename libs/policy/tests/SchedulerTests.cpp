#include "SchedulerFixture.h"

#include <doctest/doctest.h>

#include <set>

using namespace Balsammill;
using namespace Balsammill::Testing;
using namespace std::chrono_literals;

// Guards against a task that is queued although no upstream can ever run it.
TEST_CASE("A task is refused at once when no upstream can run it")
{
    Scheduler scheduler({});
    const auto withoutUpstreams = refusalOf(scheduler.submit(task(1), at(0s)));
    CHECK(withoutUpstreams.code == ErrorCode::Unavailable);
    CHECK(withoutUpstreams.verdict == Verdict::NotRun);

    scheduler.setUpstreams({ { .vm = VmName("a"), .leaving = true } }, at(0s));
    CHECK(refusalOf(scheduler.submit(task(1), at(0s))).code == ErrorCode::Unavailable);

    scheduler.setUpstreams(upstreams(2, 8), at(0s));
    auto multiSlotTask = task(1);
    multiSlotTask.slots = Slots(9);
    const auto tooManySlots = refusalOf(scheduler.submit(multiSlotTask, at(0s)));
    CHECK(tooManySlots.code == ErrorCode::FailedPrecondition);
    CHECK(tooManySlots.verdict == Verdict::NotRun);
    CHECK(tooManySlots.message == "task needs 9 slots, the largest upstream has 8");
}

// Guards against tasks that are queued although their deadline will pass before they can start.
TEST_CASE("A task whose expected start is past its deadline is refused early with a retry delay")
{
    for (auto order : { QueueOrder::Fair, QueueOrder::FirstComeFirstServed }) {
        Scheduler scheduler({ .order = order });
        scheduler.setUpstreams(upstreams(1, 1), at(0s));
        std::uint64_t id = 0;
        while (std::holds_alternative<Queued>(scheduler.submit(task(++id, 100ms, 1s), at(0s))))
            startAll(scheduler, at(0s));
        // One task runs, and ten tasks of 100 ms fill the second until the deadline.
        CHECK(id >= 10);
        CHECK(id <= 12);
        const auto refused = refusalOf(scheduler.submit(task(++id, 100ms, 1s), at(0s)));
        CHECK(refused.code == ErrorCode::ResourceExhausted);
        CHECK(refused.verdict == Verdict::NotRun);
        CHECK(refused.retryAfter >= 500ms);
        CHECK(std::holds_alternative<Queued>(scheduler.submit(task(++id, 100ms, 5s), at(0s))));
    }
}

// Guards against queues that grow without bound, and against one flow that fills the whole queue.
TEST_CASE("Queue limits refuse with resource_exhausted and leave room for other client accounts")
{
    Scheduler scheduler({ .maxQueuedTasks = 90 });
    scheduler.setUpstreams(upstreams(1, 1), at(0s));
    std::uint64_t id = 0;
    std::size_t accepted = 0;
    for (int i = 0; i < 200; ++i)
        accepted += std::holds_alternative<Queued>(scheduler.submit(task(++id, 1ms, 60s), at(0s))) ? 1 : 0;
    CHECK(accepted == 81);
    auto other = task(++id, 1ms, 60s);
    other.clientAccount = ClientAccountName("other");
    CHECK(std::holds_alternative<Queued>(scheduler.submit(other, at(0s))));

    auto limited = task(++id, 1ms, 60s);
    limited.method = MethodName("limited");
    limited.methodQueueLimit = 1;
    CHECK(std::holds_alternative<Queued>(scheduler.submit(limited, at(0s))));
    limited.id = TaskId(++id);
    const auto refused = refusalOf(scheduler.submit(limited, at(0s)));
    CHECK(refused.code == ErrorCode::ResourceExhausted);
    CHECK(refused.message == "queue of limited is full: 1 of 1");
}

// Guards against admission and charging that keep using declared run times that are wrong by a factor of a hundred.
TEST_CASE("Wrong declared run times are corrected by observed ones")
{
    SUBCASE("A declared run time that is far too long does not cause refusals")
    {
        Scheduler scheduler({});
        scheduler.setUpstreams(upstreams(1, 1), at(0s));
        auto now = at(0s);
        for (std::uint64_t id = 1; id <= 3; ++id, now += 10ms) {
            REQUIRE(std::holds_alternative<Queued>(scheduler.submit(task(id, 10s, 1s), now)));
            REQUIRE(startAll(scheduler, now).size() == 1);
            scheduler.recordCompletion(TaskId(id), TaskOutcome::Succeeded, now + 10ms);
        }
        for (std::uint64_t id = 10; id < 20; ++id)
            CHECK(std::holds_alternative<Queued>(scheduler.submit(task(id, 10s, 1s), now)));
    }
    SUBCASE("A client account that declares a hundredth of its run time gets no more than its share")
    {
        Simulation simulation({}, 10, 8, 3);
        const auto results = simulation.run(
            {
                { .method = MethodName("honest"), .clientAccount = ClientAccountName("a"), .tasksPerSecond = 1600 },
                { .method = MethodName("wrong"),
                    .clientAccount = ClientAccountName("b"),
                    .tasksPerSecond = 1600,
                    .declaredRunTime = 1ms },
            },
            20s);
        const auto ratio = static_cast<double>(results[1].slotMicros) / static_cast<double>(results[0].slotMicros);
        CHECK(ratio > 0.8);
        CHECK(ratio < 1.25);
    }
}

// Guards against starvation of client accounts with a low weight, of long tasks and of tasks that need several slots.
TEST_CASE("No kind of task starves while other tasks are backlogged")
{
    Simulation simulation({ .clientAccountWeights = { { ClientAccountName("large"), 50 } } }, 4, 8, 11);
    const auto results = simulation.run(
        {
            { .method = MethodName("short"),
                .clientAccount = ClientAccountName("large"),
                .urgencyWeight = 4,
                .tasksPerSecond = 3200,
                .meanRunTime = 20ms,
                .declaredRunTime = 20ms },
            { .method = MethodName("short"),
                .clientAccount = ClientAccountName("large"),
                .urgencyWeight = 4,
                .tasksPerSecond = 0.4,
                .meanRunTime = 1s,
                .declaredRunTime = 1s,
                .timeout = 10s },
            { .method = MethodName("wide"),
                .clientAccount = ClientAccountName("large"),
                .urgencyWeight = 2,
                .tasksPerSecond = 1,
                .timeout = 10s,
                .slots = Slots(8) },
            { .method = MethodName("short"),
                .clientAccount = ClientAccountName("small"),
                .tasksPerSecond = 2,
                .timeout = 10s },
        },
        120s);
    for (std::size_t i = 1; i < results.size(); ++i) {
        CAPTURE(i);
        CHECK(results[i].expired == 0);
        CHECK(results[i].completedShare() >= 0.95);
    }
}

// Guards against a method that is starved because it used idle slots for longer than it had declared. Charging all of
// that time would let 800 of the other tasks start first.
TEST_CASE("A method that ran long tasks on idle slots is not starved afterwards")
{
    Scheduler scheduler({});
    scheduler.setUpstreams(upstreams(1, 8), at(0s));
    auto longRunning = task(0, 1ms, 1h);
    longRunning.method = MethodName("long");
    for (std::uint64_t id = 1; id <= 8; ++id) {
        longRunning.id = TaskId(id);
        scheduler.submit(longRunning, at(0s));
    }
    CHECK(startAll(scheduler, at(0s)).size() == 8);
    for (std::uint64_t id = 1; id <= 8; ++id)
        scheduler.recordCompletion(TaskId(id), TaskOutcome::Succeeded, at(10s));
    for (std::uint64_t id = 100; id < 1100; ++id)
        scheduler.submit(task(id, 100ms, 1h), at(10s));
    longRunning.id = TaskId(9);
    scheduler.submit(longRunning, at(10s));
    std::size_t startedBefore = 0;
    bool longStarted = false;
    for (auto now = at(10s); !longStarted && startedBefore < 1000; now += 100ms) {
        for (const auto id : startAll(scheduler, now)) {
            longStarted = longStarted || id == TaskId(9);
            startedBefore += longStarted ? 0 : 1;
            scheduler.recordCompletion(id, TaskOutcome::Succeeded, now + 100ms);
        }
    }
    CHECK(longStarted);
    CHECK(startedBefore <= 200);
}

// Guards against short tasks that wait behind long ones, and against long tasks that are overtaken indefinitely.
TEST_CASE("Within a method, shorter size classes go first until the longer task reaches the aging threshold")
{
    Scheduler scheduler({});
    scheduler.setUpstreams(upstreams(1, 1), at(0s));
    scheduler.submit(task(1, 10ms, 60s), at(0s));
    CHECK(startAll(scheduler, at(0s)) == std::vector { TaskId(1) });
    scheduler.submit(task(2, 1s, 60s), at(1ms));
    scheduler.submit(task(3, 10ms, 60s), at(2ms));
    scheduler.submit(task(4, 12ms, 60s), at(3ms));
    scheduler.recordCompletion(TaskId(1), TaskOutcome::Succeeded, at(10ms));
    CHECK(startAll(scheduler, at(10ms)) == std::vector { TaskId(3) });
    scheduler.recordCompletion(TaskId(3), TaskOutcome::Succeeded, at(2500ms));
    CHECK(startAll(scheduler, at(2500ms)) == std::vector { TaskId(2) });
}

// Guards against a task that is answered twice or not at all when it is cancelled, expires or is requeued.
TEST_CASE("A task leaves the queue exactly once")
{
    Scheduler scheduler({});
    scheduler.setUpstreams(upstreams(1, 1), at(0s));
    for (std::uint64_t id = 1; id <= 5; ++id)
        scheduler.submit(task(id, 1ms, id * 1s), at(0s));
    CHECK(startAll(scheduler, at(0s)) == std::vector { TaskId(1) });
    CHECK_FALSE(scheduler.cancel(TaskId(1)));
    CHECK(scheduler.cancel(TaskId(3)));
    CHECK_FALSE(scheduler.cancel(TaskId(3)));
    CHECK(scheduler.popExpired(at(1s)).empty());
    CHECK(scheduler.popExpired(at(2100ms)) == std::vector { TaskId(2) });
    scheduler.recordCompletion(TaskId(1), TaskOutcome::RefusedFull, at(2200ms));
    scheduler.requeue(task(1, 1ms, 9s), at(2200ms));
    CHECK(scheduler.nextWakeUp().has_value());
    CHECK(startAll(scheduler, at(2300ms)) == std::vector { TaskId(1) });
    CHECK(scheduler.popForForwarding(at(2300ms)) == TaskId(4));
    // The deadline of the last task has passed when a slot becomes free, so the task expires instead of starting.
    scheduler.recordCompletion(TaskId(1), TaskOutcome::Succeeded, at(6s));
    CHECK(startAll(scheduler, at(6s)).empty());
    CHECK(scheduler.popExpired(at(6s)) == std::vector { TaskId(5) });
    CHECK(scheduler.load(at(6s)).queuedTasks == 0);
    CHECK(scheduler.load(at(6s)).runningTasks == 0);
    CHECK(scheduler.load(at(6s)).freeSlots == 1);
}

// Guards against a multi-slot task that blocks the whole service while it waits for its slots.
TEST_CASE("Single-slot tasks start on other upstreams while one is reserved")
{
    Scheduler scheduler({});
    scheduler.setUpstreams(upstreams(2, 4), at(0s));
    std::map<std::string, TaskId> runningOn;
    for (std::uint64_t id = 1; id <= 8; ++id) {
        scheduler.submit(task(id), at(0s));
        const auto assignment = scheduler.nextAssignment(at(0s));
        REQUIRE(assignment.has_value());
        runningOn[assignment->upstream.value] = assignment->task;
    }
    auto multiSlotTask = task(9);
    multiSlotTask.slots = Slots(3);
    scheduler.submit(multiSlotTask, at(0s));
    scheduler.submit(task(10), at(0s));
    REQUIRE(runningOn.size() == 2);
    for (const auto& [vm, id] : runningOn)
        scheduler.recordCompletion(id, TaskOutcome::Succeeded, at(100ms));
    CHECK(startAll(scheduler, at(100ms)) == std::vector { TaskId(10) });
}

// Guards against a multi-slot task that starves because single-slot tasks take every slot that becomes free.
TEST_CASE("A multi-slot task reserves an upstream until enough of its slots are free")
{
    Scheduler scheduler({});
    scheduler.setUpstreams(upstreams(1, 4), at(0s));
    for (std::uint64_t id = 1; id <= 4; ++id)
        scheduler.submit(task(id, 100ms, 60s), at(0s));
    CHECK(startAll(scheduler, at(0s)).size() == 4);
    auto multiSlotTask = task(5, 100ms, 60s);
    multiSlotTask.slots = Slots(3);
    scheduler.submit(multiSlotTask, at(0s));
    for (std::uint64_t id = 6; id <= 9; ++id)
        scheduler.submit(task(id, 100ms, 60s), at(0s));
    for (std::uint64_t id = 1; id <= 2; ++id) {
        scheduler.recordCompletion(TaskId(id), TaskOutcome::Succeeded, at(100ms));
        CHECK(startAll(scheduler, at(100ms)).empty());
    }
    SUBCASE("It starts as soon as enough slots are free")
    {
        scheduler.recordCompletion(TaskId(3), TaskOutcome::Succeeded, at(100ms));
        CHECK(startAll(scheduler, at(100ms)) == std::vector { TaskId(5) });
    }
    SUBCASE("Its cancellation releases the reservation")
    {
        CHECK(scheduler.cancel(TaskId(5)));
        CHECK(startAll(scheduler, at(100ms)) == std::vector { TaskId(6), TaskId(7) });
    }
    SUBCASE("It waits when its upstream is removed, and expires if no large enough upstream appears")
    {
        scheduler.setUpstreams({ { .vm = VmName("small"), .slots = Slots(2) } }, at(100ms));
        CHECK(startAll(scheduler, at(100ms)) == std::vector { TaskId(6), TaskId(7) });
        CHECK(scheduler.popExpired(at(61s)).size() == 3);
    }
}
