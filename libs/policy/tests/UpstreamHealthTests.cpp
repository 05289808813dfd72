#include "SchedulerFixture.h"

#include <doctest/doctest.h>

using namespace Balsammill;
using namespace Balsammill::Testing;
using namespace std::chrono_literals;

namespace {

std::size_t countWithHealth(const Scheduler& scheduler, UpstreamHealth health, TimePoint now)
{
    const auto all = scheduler.upstreams(now);
    return std::count_if(all.begin(), all.end(), [&](const auto& status) { return status.health == health; });
}

/// Runs one task at a time on a scheduler. Tasks take one millisecond unless stated otherwise.
struct SerialRun {
    Scheduler& scheduler;
    TimePoint now;
    std::uint64_t lastTask { 0 };

    void runOne(TaskOutcome outcome) { runOne(outcome, outcome, 1ms); }

    /// The task ends after the given time if it runs on the first upstream, and after a millisecond otherwise.
    void runOne(TaskOutcome onFirst, TaskOutcome onOther, Duration runTimeOnFirst)
    {
        scheduler.submit(task(++lastTask, 1ms, 1h), now);
        const auto assignment = scheduler.nextAssignment(now);
        REQUIRE(assignment.has_value());
        const bool first = assignment->upstream.value == "u0";
        now += first ? runTimeOnFirst : 1ms;
        scheduler.recordCompletion(assignment->task, first ? onFirst : onOther, now);
    }
};

} // namespace

// Guards against an upstream that fails fast, therefore always has free slots, and so receives most of the tasks.
TEST_CASE("Fewer than 1 % of all tasks fail when one of 50 upstreams fails every task")
{
    Simulation simulation({}, 50, 8, 5);
    simulation.outcomeOf
        = [](const VmName& vm) { return vm.value == "u7" ? TaskOutcome::UpstreamError : TaskOutcome::Succeeded; };
    const auto results = simulation.run({ { .method = MethodName("check"), .tasksPerSecond = 3200 } }, 20s);
    CHECK(results[0].failed > 0);
    CHECK(static_cast<double>(results[0].failed) < 0.01 * static_cast<double>(results[0].submitted));
}

// Guards against an upstream that stays in use after consecutive failures or with a high failure rate.
TEST_CASE("An upstream is ejected after consecutive failures or with a failure rate above one half")
{
    Scheduler scheduler({});
    scheduler.setUpstreams(upstreams(2, 8), at(0s));
    SerialRun run { scheduler, at(0s) };
    SUBCASE("Consecutive failures")
    {
        for (int i = 0; i < 10; ++i)
            run.runOne(TaskOutcome::ConnectionFailed);
    }
    SUBCASE("Two of three fail")
    {
        for (int i = 0; i < 40; ++i)
            run.runOne(i / 2 % 3 == 0 ? TaskOutcome::Succeeded : TaskOutcome::UpstreamError);
    }
    CHECK(countWithHealth(scheduler, UpstreamHealth::Ejected, run.now) == 1);
    CHECK(scheduler.load(run.now).totalSlots == 8);
}

// Guards against healthy upstreams that are ejected because of application errors or short deadlines.
TEST_CASE("Application errors and short deadlines do not eject an upstream")
{
    Scheduler scheduler({});
    scheduler.setUpstreams(upstreams(2, 8), at(0s));
    SerialRun run { scheduler, at(0s) };
    for (int i = 0; i < 50; ++i)
        run.runOne(i % 2 == 0 ? TaskOutcome::ApplicationError : TaskOutcome::TimedOut);
    CHECK(countWithHealth(scheduler, UpstreamHealth::Healthy, run.now) == 2);
    // An upstream that hangs is still ejected.
    for (int i = 0; i < 10; ++i)
        run.runOne(TaskOutcome::TimedOut, TaskOutcome::Succeeded, 1s);
    CHECK(scheduler.upstreams(run.now).front().health == UpstreamHealth::Ejected);
}

// Guards against a fault common to all upstreams that ejects all of them.
TEST_CASE("At most the configured share of upstreams is ejected at once")
{
    for (auto [share, expected] : { std::pair { 0.5, 5U }, std::pair { 0.25, 2U }, std::pair { 0.0, 0U } }) {
        Scheduler scheduler({ .maxEjectedShare = share });
        scheduler.setUpstreams(upstreams(10, 8), at(0s));
        SerialRun run { scheduler, at(0s) };
        for (int i = 0; i < 500; ++i)
            run.runOne(TaskOutcome::UpstreamError);
        CHECK(countWithHealth(scheduler, UpstreamHealth::Ejected, run.now) == expected);
    }
}

// Guards against an upstream that returns from an ejection with all its slots at once, or never returns.
TEST_CASE("An ejected upstream is probed with one task and then doubles its slot limit")
{
    Scheduler scheduler({});
    scheduler.setUpstreams(upstreams(2, 8), at(0s));
    SerialRun run { scheduler, at(0s) };
    while (countWithHealth(scheduler, UpstreamHealth::Ejected, run.now) == 0)
        run.runOne(TaskOutcome::UpstreamError);
    const auto before = scheduler.upstreams(run.now);
    const std::string ejected = before[0].health == UpstreamHealth::Ejected ? "u0" : "u1";
    const auto usableSlotsNow = [&] { return scheduler.load(run.now).totalSlots; };
    // Starts as many tasks as there are free slots. Tasks on the other upstream are cancelled, which does not affect
    // its health.
    const auto fillFreeSlots = [&](TaskOutcome outcome) {
        for (int i = 0; i < 20; ++i)
            scheduler.submit(task(++run.lastTask, 1ms, 1h), run.now);
        std::vector<Assignment> started;
        while (auto assignment = scheduler.nextAssignment(run.now))
            started.push_back(*assignment);
        for (auto id = run.lastTask - 19; id <= run.lastTask; ++id)
            scheduler.cancel(TaskId(id));
        run.now += 1ms;
        for (const auto& [id, vm] : started)
            scheduler.recordCompletion(id, vm.value == ejected ? outcome : TaskOutcome::Cancelled, run.now);
        return started.size();
    };
    run.now += 1100ms;
    CHECK(fillFreeSlots(TaskOutcome::UpstreamError) == 9);
    CHECK(countWithHealth(scheduler, UpstreamHealth::Ejected, run.now) == 1);
    run.now += 1100ms;
    CHECK_FALSE(scheduler.nextAssignment(run.now).has_value());
    // The second ejection lasts twice as long.
    CHECK(countWithHealth(scheduler, UpstreamHealth::Ejected, run.now) == 1);
    run.now += 1000ms;
    CHECK(fillFreeSlots(TaskOutcome::Succeeded) == 9);
    CHECK(countWithHealth(scheduler, UpstreamHealth::Healthy, run.now) == 2);
    CHECK(usableSlotsNow() == 10);
    fillFreeSlots(TaskOutcome::Succeeded);
    CHECK(usableSlotsNow() == 16);
}

// Guards against a busy loop of starts on an upstream whose slots are used by another entry process.
TEST_CASE("An upstream that refuses a start is paused but stays healthy")
{
    Scheduler scheduler({});
    scheduler.setUpstreams(upstreams(1, 8), at(0s));
    for (std::uint64_t id = 1; id <= 3; ++id)
        scheduler.submit(task(id), at(0s));
    CHECK(startAll(scheduler, at(0s)).size() == 3);
    scheduler.recordCompletion(TaskId(3), TaskOutcome::RefusedFull, at(1ms));
    scheduler.requeue(task(3), at(1ms));
    CHECK(startAll(scheduler, at(1ms)).empty());
    REQUIRE(scheduler.nextWakeUp().has_value());
    CHECK(*scheduler.nextWakeUp() <= at(30ms));
    scheduler.recordCompletion(TaskId(1), TaskOutcome::Succeeded, at(20ms));
    CHECK(startAll(scheduler, at(30ms)) == std::vector { TaskId(3) });
    CHECK(countWithHealth(scheduler, UpstreamHealth::Healthy, at(30ms)) == 1);
}

// Guards against a retry on the upstream that has just failed, which is often the first with a free slot.
TEST_CASE("A requeued task avoids the upstream on which it failed while another one is usable")
{
    Scheduler scheduler({});
    scheduler.setUpstreams(upstreams(2, 1), at(0s));
    scheduler.submit(task(1), at(0s));
    scheduler.submit(task(2), at(0s));
    const auto first = scheduler.nextAssignment(at(0s));
    const auto second = scheduler.nextAssignment(at(0s));
    REQUIRE(first.has_value());
    REQUIRE(second.has_value());
    scheduler.recordCompletion(first->task, TaskOutcome::UpstreamError, at(1ms));
    auto retry = task(first->task.value);
    retry.avoidUpstream = first->upstream;
    scheduler.requeue(retry, at(1ms));
    scheduler.submit(task(3), at(1ms));
    // Meanwhile the next queued task starts on the free upstream.
    CHECK(startAll(scheduler, at(1ms)) == std::vector { TaskId(3) });
    SUBCASE("It starts on the other upstream when a slot becomes free there")
    {
        scheduler.recordCompletion(second->task, TaskOutcome::Succeeded, at(2ms));
        const auto assignment = scheduler.nextAssignment(at(2ms));
        REQUIRE(assignment.has_value());
        CHECK(assignment->task == first->task);
        CHECK(assignment->upstream.value == second->upstream.value);
    }
    SUBCASE("It starts on the avoided upstream when no other one is left")
    {
        scheduler.setUpstreams({ { .vm = first->upstream, .slots = Slots(1) } }, at(2ms));
        scheduler.recordCompletion(TaskId(3), TaskOutcome::Succeeded, at(3ms));
        CHECK(startAll(scheduler, at(3ms)) == std::vector { first->task });
    }
}

// Guards against new tasks on an upstream that is leaving, and against slots that are lost or counted twice when it
// returns.
TEST_CASE("A leaving upstream gets no new tasks and its running tasks keep their slots")
{
    Scheduler scheduler({});
    scheduler.setUpstreams(upstreams(1, 2), at(0s));
    scheduler.submit(task(1), at(0s));
    CHECK(startAll(scheduler, at(0s)).size() == 1);
    scheduler.submit(task(2), at(0s));
    SUBCASE("Leaving")
    {
        scheduler.setUpstreams({ { .vm = VmName("u0"), .slots = Slots(2), .leaving = true } }, at(0s));
    }
    SUBCASE("Removed") { scheduler.setUpstreams({}, at(0s)); }
    CHECK(startAll(scheduler, at(0s)).empty());
    CHECK(countWithHealth(scheduler, UpstreamHealth::Leaving, at(0s)) == 1);
    scheduler.setUpstreams(upstreams(1, 2), at(1s));
    CHECK(scheduler.load(at(1s)).freeSlots == 1);
    CHECK(startAll(scheduler, at(1s)) == std::vector { TaskId(2) });
    scheduler.recordCompletion(TaskId(1), TaskOutcome::Succeeded, at(1s));
    CHECK(scheduler.load(at(1s)).freeSlots == 1);
}
