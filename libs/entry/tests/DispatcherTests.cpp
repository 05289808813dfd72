#include "FakeUpstream.h"
#include "balsammill/observe/Metrics.h"
#include "balsammill/observe/Timeline.h"

#include <doctest/doctest.h>

using namespace Balsammill;
using namespace Balsammill::Testing;
using namespace std::chrono_literals;

namespace {

RpcErrorDetails upstreamError(ErrorCode code, Verdict verdict)
{
    return { .code = code, .message = "injected", .verdict = verdict };
}

struct Fixture {
    explicit Fixture(DispatcherOptions options = {})
        : dispatcher(std::move(options))
    {
        dispatcher.start();
    }

    void useUpstreams(const std::vector<ReachableUpstream>& upstreams)
    {
        dispatcher.setUpstreams(testService, upstreams);
    }
    TaskId submit(const DispatchTask& task) { return dispatcher.submit(task, results.collect(task.taskName)); }
    void waitUntilIdle() { REQUIRE(dispatcher.waitUntilIdle(inSeconds(30))); }

    FakeUpstream a { "a" };
    FakeUpstream b { "b" };
    Results results;
    Dispatcher dispatcher;
};

} // namespace

// Guards against answers that are lost, duplicated or delivered to the wrong task, and against more running tasks than
// slots.
TEST_CASE("Each of many tasks is started once and completed once with its own answer")
{
    constexpr int taskCount = 500;
    Fixture fixture({ .maxExecutorThreads = 12 });
    fixture.useUpstreams({ fixture.a.reachable(4), fixture.b.reachable(4) });
    for (int i = 0; i < taskCount; ++i)
        fixture.submit(callNamed("t" + std::to_string(i)));
    fixture.waitUntilIdle();
    for (int i = 0; i < taskCount; ++i) {
        const auto name = "t" + std::to_string(i);
        REQUIRE(fixture.results.completionsOf(name) == 1);
        REQUIRE(fixture.results.answerOf(name) == "answer to " + name);
        REQUIRE(fixture.a.startsOf(name) + fixture.b.startsOf(name) == 1);
    }
    CHECK(fixture.a.peakRunning() <= 4);
    CHECK(fixture.b.peakRunning() <= 4);
    CHECK(fixture.dispatcher.load(testService).freeSlots == 8);
}

// Guards against a second start of a non-idempotent call or job task that may have run (P1, P5), and against idempotent
// calls that fail without a retry.
TEST_CASE("Only idempotent calls are retried after they may have run")
{
    Fixture fixture;
    fixture.a.failWith(upstreamError(ErrorCode::Internal, Verdict::MayHaveRun));
    fixture.useUpstreams({ fixture.a.reachable() });
    auto plain = callNamed("plain");
    auto idempotent = callNamed("idempotent");
    idempotent.idempotent = true;
    auto jobTask = callNamed("job/0");
    jobTask.idempotent = true;
    jobTask.startAtMostOnce = true;
    fixture.submit(plain);
    fixture.submit(jobTask);
    fixture.waitUntilIdle();
    for (const auto* name : { "plain", "job/0" }) {
        CHECK(fixture.a.startsOf(name) == 1);
        CHECK(fixture.results.errorOf(name).code == ErrorCode::Internal);
        CHECK(fixture.results.errorOf(name).verdict == Verdict::MayHaveRun);
    }
    fixture.useUpstreams({ fixture.a.reachable(), fixture.b.reachable() });
    for (int i = 0; i < 2; ++i) {
        idempotent.taskName = "idempotent" + std::to_string(i);
        idempotent.request = idempotent.taskName;
        fixture.submit(idempotent);
    }
    fixture.waitUntilIdle();
    CHECK(fixture.a.startsOf("idempotent0") + fixture.a.startsOf("idempotent1") >= 1);
    CHECK(fixture.results.answerOf("idempotent0") == "answer to idempotent0");
    CHECK(fixture.results.answerOf("idempotent1") == "answer to idempotent1");
}

// Guards against failing a task that certainly did not run although another upstream is available.
TEST_CASE("A task that certainly did not run is retried on another upstream")
{
    Fixture fixture;
    SUBCASE("The upstream refuses the task")
    {
        fixture.a.failWith(upstreamError(ErrorCode::Unavailable, Verdict::NotRun));
    }
    SUBCASE("The upstream has no free slot")
    {
        fixture.a.failWith(upstreamError(ErrorCode::ResourceExhausted, Verdict::NotRun));
    }
    auto unreachable = fixture.a.reachable();
    SUBCASE("The upstream refuses the connection")
    {
        FakeUpstream closed("a");
        unreachable = closed.reachable();
    }
    fixture.useUpstreams({ unreachable, fixture.b.reachable() });
    for (int i = 0; i < 4; ++i) {
        auto task = callNamed("job/" + std::to_string(i));
        task.startAtMostOnce = true;
        fixture.submit(task);
    }
    fixture.waitUntilIdle();
    for (int i = 0; i < 4; ++i) {
        const auto name = "job/" + std::to_string(i);
        CHECK(fixture.results.answerOf(name) == "answer to " + name);
        CHECK(fixture.b.startsOf(name) == 1);
    }
}

// Guards against unlimited retries, and against a task that is reported as not-run because its last attempt was refused
// although an earlier attempt may have run.
TEST_CASE("Attempts are bounded, and a later refusal does not hide that an earlier attempt may have run")
{
    Fixture fixture;
    fixture.useUpstreams({ fixture.a.reachable() });
    fixture.a.failWith(upstreamError(ErrorCode::Unavailable, Verdict::NotRun));
    fixture.submit(callNamed("refused"));
    fixture.waitUntilIdle();
    CHECK(fixture.results.errorOf("refused").verdict == Verdict::NotRun);
    CHECK(fixture.a.startsOf("refused") <= 6);

    fixture.a.failWith(upstreamError(ErrorCode::Internal, Verdict::MayHaveRun));
    fixture.b.failWith(upstreamError(ErrorCode::Unavailable, Verdict::NotRun));
    fixture.useUpstreams({ fixture.b.reachable() });
    fixture.useUpstreams({ fixture.a.reachable(), fixture.b.reachable(0) });
    fixture.a.hold();
    auto read = callNamed("read");
    read.idempotent = true;
    fixture.submit(read);
    REQUIRE(fixture.a.waitUntilRunning(1));
    fixture.useUpstreams({ fixture.b.reachable() });
    fixture.a.release();
    fixture.waitUntilIdle();
    CHECK(fixture.a.startsOf("read") == 1);
    CHECK(fixture.b.startsOf("read") >= 1);
    CHECK(fixture.results.errorOf("read").verdict == Verdict::MayHaveRun);
}

// Guards against tasks that are completed twice or never when they are cancelled or reach their deadline in the queue.
TEST_CASE("Queued tasks can be cancelled and can expire while a running task continues")
{
    Fixture fixture;
    fixture.useUpstreams({ fixture.a.reachable(1) });
    fixture.a.hold();
    const auto running = fixture.submit(callNamed("running"));
    REQUIRE(fixture.a.waitUntilRunning(1));
    const auto queued = fixture.submit(callNamed("queued"));
    auto late = callNamed("late");
    late.deadline = monotonicNow() + 50ms;
    fixture.submit(late);
    CHECK(fixture.dispatcher.unfinishedTasks() == 3);
    const auto demands = fixture.dispatcher.clientAccountDemands();
    REQUIRE(demands.size() == 1);
    CHECK(demands[0].slotsInUse == 1);
    CHECK(demands[0].queued <= 2);
    CHECK_FALSE(fixture.dispatcher.cancel(running));
    CHECK(fixture.dispatcher.cancel(queued));
    CHECK_FALSE(fixture.dispatcher.cancel(queued));
    const auto deadline = inSeconds(10);
    while (fixture.dispatcher.unfinishedTasks() > 1 && monotonicNow() < deadline)
        std::this_thread::sleep_for(1ms);
    CHECK(fixture.results.completionsOf("running") == 0);
    fixture.a.release();
    fixture.waitUntilIdle();
    CHECK(fixture.results.answerOf("running") == "answer to running");
    CHECK(fixture.results.errorOf("queued").code == ErrorCode::Canceled);
    CHECK(fixture.results.errorOf("queued").verdict == Verdict::NotRun);
    CHECK(fixture.results.errorOf("late").code == ErrorCode::DeadlineExceeded);
    CHECK(fixture.results.errorOf("late").verdict == Verdict::NotRun);
    for (const auto* name : { "running", "queued", "late" })
        CHECK(fixture.results.completionsOf(name) == 1);
    CHECK(fixture.a.starts() == 1);
}

// Guards against forwarding while local slots are free, against forwarding loops, and against losing a task that the
// other entry process returned without running it.
TEST_CASE("A task is forwarded only when all local slots are busy")
{
    Fixture fixture;
    std::mutex mutex;
    std::map<std::string, DispatchCompletion> forwarded;
    fixture.dispatcher.setForwarder([&](const DispatchTask& task, DispatchCompletion completion) {
        if (task.taskName == "unwanted")
            return false;
        std::lock_guard lock(mutex);
        forwarded.emplace(task.taskName, std::move(completion));
        return true;
    });
    fixture.useUpstreams({ fixture.a.reachable(1) });
    fixture.a.hold();
    fixture.submit(callNamed("own"));
    REQUIRE(fixture.a.waitUntilRunning(1));
    auto fromElsewhere = callNamed("from elsewhere");
    fromElsewhere.mayForward = false;
    for (const auto& task : { callNamed("done"), callNamed("given back"), callNamed("unwanted"), fromElsewhere })
        fixture.submit(task);
    std::lock_guard lock(mutex);
    CHECK(forwarded.size() == 2);
    REQUIRE(forwarded.contains("done"));
    REQUIRE(forwarded.contains("given back"));
    forwarded["done"](DispatchAnswer { .answer = "from a peer" });
    forwarded["done"](DispatchAnswer { .answer = "twice" });
    forwarded["given back"](RpcErrorDetails { ErrorCode::Unavailable, "revoked", Verdict::NotRun });
    fixture.a.release();
    fixture.waitUntilIdle();
    CHECK(fixture.results.answerOf("done") == "from a peer");
    CHECK(fixture.a.startsOf("done") == 0);
    for (const auto* name : { "own", "given back", "unwanted", "from elsewhere" })
        CHECK(fixture.results.answerOf(name) == std::string("answer to ") + name);
    for (const auto* name : { "own", "done", "given back", "unwanted", "from elsewhere" })
        CHECK(fixture.results.completionsOf(name) == 1);
}

// Guards against tasks that stay queued until their deadline in an entry process whose upstreams were reassigned to
// other entries, for example during its shutdown.
TEST_CASE("Queued tasks are forwarded to other entry processes once no upstream is left")
{
    Fixture fixture;
    std::mutex mutex;
    bool othersHaveRoom = false;
    std::map<std::string, DispatchCompletion> forwarded;
    fixture.dispatcher.setForwarder([&](const DispatchTask& task, DispatchCompletion completion) {
        std::lock_guard lock(mutex);
        if (!othersHaveRoom)
            return false;
        forwarded.emplace(task.taskName, std::move(completion));
        return true;
    });
    const auto forwardedCount = [&] {
        std::lock_guard lock(mutex);
        return forwarded.size();
    };
    fixture.useUpstreams({ fixture.a.reachable(1) });
    fixture.a.hold();
    fixture.submit(callNamed("running"));
    REQUIRE(fixture.a.waitUntilRunning(1));
    auto fromElsewhere = callNamed("from elsewhere");
    fromElsewhere.mayForward = false;
    for (const auto& task : { callNamed("first"), callNamed("second"), fromElsewhere })
        fixture.submit(task);
    fixture.useUpstreams({});
    // A task that may not be forwarded again fails as not-run, which returns it to the entry that sent it.
    const auto deadline = inSeconds(10);
    while (fixture.results.completionsOf("from elsewhere") == 0 && monotonicNow() < deadline)
        std::this_thread::sleep_for(1ms);
    REQUIRE(fixture.results.completionsOf("from elsewhere") == 1);
    CHECK(fixture.results.errorOf("from elsewhere").code == ErrorCode::Unavailable);
    CHECK(fixture.results.errorOf("from elsewhere").verdict == Verdict::NotRun);
    CHECK(forwardedCount() == 0);
    {
        std::lock_guard lock(mutex);
        othersHaveRoom = true;
    }
    while (forwardedCount() < 2 && monotonicNow() < deadline)
        std::this_thread::sleep_for(1ms);
    REQUIRE(forwardedCount() == 2);
    forwarded["first"](DispatchAnswer { .answer = "from a peer" });
    forwarded["second"](DispatchAnswer { .answer = "from a peer" });
    fixture.a.release();
    fixture.waitUntilIdle();
    for (const auto* name : { "first", "second" }) {
        CHECK(fixture.results.answerOf(name) == "from a peer");
        CHECK(fixture.results.completionsOf(name) == 1);
    }
    CHECK(fixture.results.answerOf("running") == "answer to running");
    CHECK(fixture.a.starts() == 1);
}

// Guards against a stop that aborts running tasks or leaves queued tasks without an answer.
TEST_CASE("Stopping lets running tasks finish and fails queued and new tasks as not-run")
{
    Fixture fixture;
    fixture.useUpstreams({ fixture.a.reachable(1) });
    fixture.a.hold();
    fixture.submit(callNamed("running"));
    REQUIRE(fixture.a.waitUntilRunning(1));
    fixture.submit(callNamed("queued"));
    CHECK_FALSE(fixture.dispatcher.waitUntilIdle(monotonicNow() + 10ms));
    std::thread stopping([&] { fixture.dispatcher.stop(); });
    const auto deadline = inSeconds(10);
    while (fixture.results.completionsOf("queued") == 0 && monotonicNow() < deadline)
        std::this_thread::sleep_for(1ms);
    CHECK(fixture.results.completionsOf("running") == 0);
    fixture.a.release();
    stopping.join();
    fixture.submit(callNamed("too late"));
    CHECK(fixture.results.answerOf("running") == "answer to running");
    for (const auto* name : { "queued", "too late" }) {
        CHECK(fixture.results.errorOf(name).code == ErrorCode::Unavailable);
        CHECK(fixture.results.errorOf(name).verdict == Verdict::NotRun);
        CHECK(fixture.results.completionsOf(name) == 1);
    }
    CHECK(fixture.dispatcher.unfinishedTasks() == 0);
}

// Guards against tasks that are missing from the timeline and the metrics.
TEST_CASE("The timeline and the metrics record what happened to a task")
{
    Timeline timeline(100);
    Metrics metrics;
    Fixture fixture({ .timeline = &timeline, .metrics = &metrics });
    fixture.useUpstreams({ fixture.a.reachable() });
    fixture.submit(callNamed("good"));
    fixture.waitUntilIdle();
    fixture.a.failWith(upstreamError(ErrorCode::Internal, Verdict::MayHaveRun));
    fixture.submit(callNamed("bad"));
    fixture.waitUntilIdle();
    const auto kindsOf = [&](const std::string& subject) {
        std::vector<EventKind> kinds;
        for (const auto& event : timeline.read(subject, 10).events)
            kinds.push_back(event.kind);
        return kinds;
    };
    CHECK(kindsOf("good") == std::vector { EventKind::Queued, EventKind::Started, EventKind::Answered });
    CHECK(kindsOf("bad") == std::vector { EventKind::Queued, EventKind::Started, EventKind::Failed });
    CHECK(metrics.exposition().find("test.Service/Call") != std::string::npos);
}
