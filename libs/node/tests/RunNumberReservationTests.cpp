#include "OperatorStore.h"
#include "durable/DurableJobs.h"

#include <doctest/doctest.h>

#include <thread>

using namespace Balsammill;
using namespace std::chrono_literals;

namespace {

const JobId jobId { "00000000000000a1" };

/// The durable jobs of owners of one shard, one after the other, with the engine that each of them uses.
struct Fixture {
    Standin::LoopThread storeLoop;
    Standin::OperatorStore operatorStore { storeLoop };
    StructuredLog log { { .vm = "front-1" } };
    Metrics metrics;
    Standin::LoopThread ownLoop;
    std::unique_ptr<NodeContext> context;
    std::unique_ptr<Platform::Store> store;
    std::unique_ptr<Shards::ShardEngine> engine;
    std::unique_ptr<DurableJobs> jobs;

    Fixture()
    {
        ownLoop.run([this] {
            NodeSettings settings;
            settings.vm = VmName("front-1");
            settings.stateRetention = 120s;
            context = std::make_unique<NodeContext>(NodeContext { .loop = ownLoop.context(),
                .settings = settings,
                .incarnation = Incarnation(1),
                .log = log,
                .metrics = metrics });
            store = std::make_unique<Platform::Store>(
                ownLoop.context(), Platform::StoreOptions { .address = NetworkAddress(operatorStore.address()) });
        });
    }
    ~Fixture()
    {
        ownLoop.run([this] {
            jobs.reset();
            store.reset();
        });
    }

    void startOwner(std::uint64_t epoch)
    {
        ownLoop.run([&] {
            if (jobs)
                jobs->close();
            engine = std::make_unique<Shards::ShardEngine>();
            jobs = std::make_unique<DurableJobs>(*context, *store, *engine, Shards::ShardName("valencia/0"),
                Epoch(epoch), epoch > 1,
                DurableJobs::Handlers { .schedulingNeeded = [] {},
                    .fenced = [] {},
                    .firstDurableJob = [this] { jobs->handleRecordUpdated(); },
                    .opened = [] {} });
            jobs->start();
            Shards::UpstreamInfo upstream;
            upstream.id = Shards::UpstreamId("i-1");
            upstream.service = ServiceName("tanim");
            upstream.capacity = { .milliCores = 32'000, .memoryMb = 131'072, .accelerators = 0 };
            upstream.startedUnixMs = 1;
            engine->updateUpstream(upstream, monotonicNow());
        });
    }

    void submit()
    {
        Shards::JobSpec spec;
        spec.id = jobId;
        spec.service = ServiceName("tanim");
        spec.maxAttempts = 3;
        spec.stretch = 2;
        spec.durable = true;
        Shards::StepSpec step;
        step.count = 1;
        step.need = { .milliCores = 1'000, .memoryMb = 64, .accelerators = 0 };
        step.estimate = 100ms;
        spec.steps.push_back(step);
        ownLoop.run([&] { jobs->submit(std::make_shared<const Shards::JobSpec>(spec), [](const OwnerAnswer&) {}); });
    }

    /// Confirms the upstream and schedules until a task is started or the time is over.
    std::optional<Shards::StartTask> start(Duration limit = 5s)
    {
        std::optional<Shards::StartTask> started;
        const auto deadline = monotonicNow() + limit;
        while (!started && monotonicNow() < deadline) {
            std::this_thread::sleep_for(60ms);
            ownLoop.run([&] {
                const auto now = monotonicNow();
                engine->handleReport(
                    Shards::UpstreamId("i-1"), { .startedUnixMs = 1, .running = {}, .ended = {} }, now, now);
                engine->schedule(now);
                for (const auto& action : engine->takeActions()) {
                    if (const auto* start = std::get_if<Shards::StartTask>(&action))
                        started = *start;
                }
                jobs->advance();
            });
        }
        return started;
    }
};

} // namespace

// Guards against run numbers that a later owner uses again: nothing of the starts of the first owners is stored (review
// case 11).
TEST_CASE("Owners in a row start a stored task with rising run numbers")
{
    Fixture fixture;
    fixture.startOwner(1);
    fixture.submit();
    const auto first = fixture.start();
    REQUIRE(first);
    CHECK_EQ(first->run.value, 1);
    auto last = first->run;
    for (std::uint64_t epoch = 2; epoch < 5; ++epoch) {
        fixture.startOwner(epoch);
        const auto next = fixture.start();
        REQUIRE(next);
        CHECK_GT(next->run, last);
        last = next->run;
    }
}

// Guards against a task that waits for a run number for ever, and against a start before the number is reserved.
TEST_CASE("An owner reserves more run numbers when it needs them, once the store takes writes")
{
    Fixture fixture;
    fixture.startOwner(1);
    fixture.submit();
    REQUIRE(fixture.start());
    fixture.startOwner(2);
    REQUIRE(fixture.start());
    // The former owner hands over a number far above those that are reserved, and the task has to be started again.
    fixture.startOwner(3);
    std::this_thread::sleep_for(200ms);
    fixture.operatorStore.setOutage(true);
    fixture.ownLoop.run([&] {
        fixture.engine->mergeProgress(
            { .job = jobId }, { .steps = { { {} } }, .highestRun = Shards::RunNumber(100'000) }, monotonicNow());
    });
    CHECK_FALSE(fixture.start(600ms));
    fixture.operatorStore.setOutage(false);
    const auto next = fixture.start();
    REQUIRE(next);
    CHECK_EQ(next->run.value, 100'001);
    fixture.startOwner(4);
    const auto later = fixture.start();
    REQUIRE(later);
    CHECK_GT(later->run.value, 100'001);
}
