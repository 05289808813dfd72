#include "OperatorStore.h"
#include "serving/ShardServer.h"

#include <doctest/doctest.h>

#include <atomic>
#include <optional>
#include <thread>

using namespace Balsammill;
using namespace std::chrono_literals;

namespace {

const JobId storedJob { "00000000000000a1" };
const JobId otherJob { "00000000000000a2" };

// The store's answers take longer than this, so that the journal has not been read when it is over.
constexpr auto startupPeriod = 300ms;
constexpr auto slowRead = 700ms;

Shards::JobSpec durableJob(const JobId& id)
{
    Shards::JobSpec spec;
    spec.id = id;
    spec.queue = Shards::QueueName("checks");
    spec.service = ServiceName("tanim");
    spec.maxAttempts = 3;
    spec.stretch = 2;
    spec.targetOverhead = 1s;
    spec.durable = true;
    spec.payload = "payload";
    Shards::StepSpec step;
    step.count = 1;
    step.need = { .milliCores = 1'000, .memoryMb = 64, .accelerators = 0 };
    step.estimate = 100ms;
    spec.steps.push_back(step);
    return spec;
}

/// Owners of one shard, one after the other, on a separate event loop, against the stand-in store. The shard's only
/// upstream is registered and does not answer.
struct Fixture {
    Standin::LoopThread storeLoop;
    Standin::OperatorStore operatorStore { storeLoop };
    StructuredLog log { { .vm = "front-1" } };
    Metrics metrics;
    Standin::LoopThread ownLoop;
    std::unique_ptr<NodeContext> context;
    std::unique_ptr<Platform::Store> store;
    std::unique_ptr<ShardServer> server;

    Fixture()
    {
        ownLoop.run([this] {
            NodeSettings settings;
            settings.vm = VmName("front-1");
            settings.domain = FailureDomain("valencia");
            settings.maxLease = 1s;
            settings.stopGrace = 50ms;
            settings.clientResendDelay = 1300ms;
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
            server.reset();
            store.reset();
        });
    }

    void startOwner(
        std::uint64_t epoch, bool hasDurableJobs, Duration confirmedAgo = {}, const PeerId& predecessor = {})
    {
        ownLoop.run([&] {
            if (server)
                server->abandon();
            server = std::make_unique<ShardServer>(*context, *store,
                ShardServer::Options { .name = Shards::ShardName("valencia/0"),
                    .epoch = Epoch(epoch),
                    .predecessor = predecessor,
                    .hasDurableJobs = hasDurableJobs,
                    .ownershipConfirmedAt = monotonicNow() - confirmedAgo },
                ShardServer::Handlers { .otherShards = [] { return std::vector<Shards::OtherShard> {}; },
                    .fenced = [] {},
                    .recordDurableJobs = [this] { server->handleDurableJobsRecorded(); },
                    .answer = [](const Submitter&, const OwnerAnswer&) {},
                    .requestConfirmation = [](const Submitter&) {},
                    .holdsRequest = [](std::uint64_t) { return true; } });
            Shards::UpstreamInfo upstream;
            upstream.id = Shards::UpstreamId("i-1");
            upstream.service = ServiceName("tanim");
            upstream.domain = FailureDomain("valencia");
            upstream.address = NetworkAddress("127.0.0.1:1");
            upstream.capacity = { .milliCores = 32'000, .memoryMb = 131'072, .accelerators = 0 };
            server->updateUpstream(upstream);
        });
    }

    /// Makes a request of the owner and waits for its answer.
    template <typename Request> std::optional<OwnerAnswer::Kind> answerTo(Request request)
    {
        const auto answer = std::make_shared<std::atomic<int>>(-1);
        ownLoop.run([&] { request([answer](const OwnerAnswer& result) { *answer = static_cast<int>(result.kind); }); });
        const auto deadline = monotonicNow() + 20s;
        while (*answer < 0 && monotonicNow() < deadline) {
            ownLoop.run([this] { server->advance(); });
            std::this_thread::sleep_for(10ms);
        }
        return *answer < 0 ? std::nullopt : std::optional(static_cast<OwnerAnswer::Kind>(answer->load()));
    }

    std::optional<OwnerAnswer::Kind> submit(const JobId& id)
    {
        return answerTo([&](const OwnerAnswerCallback& callback) {
            server->submit({ .peer = {}, .number = 1 }, nullptr, durableJob(id), {}, {}, false, callback);
        });
    }

    std::optional<OwnerAnswer::Kind> query(const JobId& id)
    {
        return answerTo([&](const OwnerAnswerCallback& callback) { server->query(id, callback); });
    }
};

} // namespace

// Guards against a client that is told that its job has not run although an earlier owner has stored it (review case
// 3).
TEST_CASE("An owner that has not read the journal yet does not refuse a job that is stored there")
{
    Fixture fixture;
    fixture.startOwner(1, false);
    REQUIRE_EQ(fixture.submit(storedJob), OwnerAnswer::Kind::Accepted);
    fixture.operatorStore.setFaults({ .readDelay = slowRead });
    fixture.startOwner(2, true);
    std::this_thread::sleep_for(startupPeriod);
    CHECK_EQ(fixture.submit(storedJob), OwnerAnswer::Kind::Accepted);
}

// Guards against jobs that are refused for want of upstreams that only wait for the journal.
TEST_CASE("An owner that has just read the journal admits a job before its upstreams have reported")
{
    Fixture fixture;
    fixture.startOwner(1, false);
    REQUIRE_EQ(fixture.submit(storedJob), OwnerAnswer::Kind::Accepted);
    fixture.operatorStore.setFaults({ .readDelay = slowRead });
    fixture.startOwner(2, true);
    std::this_thread::sleep_for(startupPeriod);
    CHECK_EQ(fixture.submit(otherJob), OwnerAnswer::Kind::Accepted);
}

// Guards against a request that waits for the store until its client gives up, and against a refusal that would say
// that nothing is stored.
TEST_CASE("An owner that cannot read the journal answers that it cannot tell")
{
    Fixture fixture;
    fixture.operatorStore.setOutage(true);
    fixture.startOwner(2, true);
    CHECK_EQ(fixture.submit(storedJob), OwnerAnswer::Kind::Unavailable);
    CHECK_EQ(fixture.query(storedJob), OwnerAnswer::Kind::Unavailable);
}

// Guards against an outdated state from an owner that is cut off from the store while another one acts for the shard.
TEST_CASE("An owner whose record was not confirmed for long answers that it cannot tell")
{
    Fixture fixture;
    fixture.startOwner(1, false, Shards::ownershipValidity + 1s);
    CHECK_EQ(fixture.submit(storedJob), OwnerAnswer::Kind::Unavailable);
    CHECK_EQ(fixture.query(storedJob), OwnerAnswer::Kind::Unavailable);
    fixture.ownLoop.run([&] { fixture.server->confirmOwnership(monotonicNow()); });
    CHECK_EQ(fixture.query(storedJob), OwnerAnswer::Kind::UnknownJob);
    CHECK_EQ(fixture.submit(storedJob), OwnerAnswer::Kind::Accepted);
    CHECK_EQ(fixture.query(storedJob), OwnerAnswer::Kind::Known);
}

// Guards against a second run of a task beside one that only the owner before the last one knew of: its upstream cannot
// be reached, so that no report lists the run.
TEST_CASE("An owner that hands over before it has read the journal passes on what its predecessor has told it")
{
    Fixture fixture;
    fixture.startOwner(1, false);
    REQUIRE_EQ(fixture.submit(storedJob), OwnerAnswer::Kind::Accepted);
    fixture.operatorStore.setOutage(true);
    const PeerId predecessor { .vm = VmName("front-2"), .incarnation = Incarnation(1) };
    fixture.startOwner(2, true, {}, predecessor);
    Shards::TransferredJob job { .key = { .job = storedJob } };
    job.progress = { .steps = { { {} } }, .highestRun = Shards::RunNumber(7) };
    job.expected = { { .step = 0, .index = 0, .run = Shards::RunNumber(7), .upstream = Shards::UpstreamId("i-1") } };
    const HandOver received { .shard = Shards::ShardName("valencia/0"), .epoch = Epoch(1), .jobs = { { .job = job } } };
    const auto sent = fixture.ownLoop.run([&] {
        fixture.server->takeOver(received);
        return fixture.server->handOver();
    });
    REQUIRE_EQ(sent.jobs.size(), 1);
    const auto& passedOn = sent.jobs.front().job;
    CHECK(passedOn.key == job.key);
    CHECK(passedOn.progress == job.progress);
    REQUIRE_EQ(passedOn.expected.size(), 1);
    CHECK_EQ(passedOn.expected.front().run, Shards::RunNumber(7));
    CHECK_EQ(passedOn.expected.front().upstream, Shards::UpstreamId("i-1"));
}
