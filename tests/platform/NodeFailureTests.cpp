#include "Fleet.h"

#include <doctest/doctest.h>

#include <atomic>
#include <csignal>
#include <thread>

using namespace PlatformTest;
using namespace IntegrationTest;
using namespace std::chrono_literals;

namespace {

// Runs client threads; each submits jobs one after the other until finish().
class LoadGenerator {
public:
    LoadGenerator(Fleet& fleet, int clients)
    {
        for (int client = 0; client < clients; ++client) {
            threads_.emplace_back([this, &fleet, client] {
                for (int i = 0; !stopping_; ++i) {
                    const auto id = jobId(client * 100'000 + i + 1);
                    const auto entry = static_cast<std::size_t>(client + i) % fleet.entryCount();
                    const auto answer = fleet.submitUntilAnswered(entry, id, 2);
                    ++(answer.status == 200 && answer.body.find("completed") != std::string::npos ? completed
                                                                                                  : notCompleted);
                }
            });
        }
    }
    ~LoadGenerator() { finish(); }

    void finish()
    {
        stopping_ = true;
        for (auto& thread : threads_)
            thread.join();
        threads_.clear();
    }

    std::atomic<int> completed { 0 };
    std::atomic<int> notCompleted { 0 };

private:
    std::atomic<bool> stopping_ { false };
    std::vector<std::thread> threads_;
};

bool waitForCompletedJobs(LoadGenerator& load, int jobs)
{
    const int before = load.completed;
    return waitUntil(in(30s), [&] { return load.completed >= before + jobs; });
}

} // namespace

// Guards against a break in the path of a job through an entry, from the submission to the final answer.
TEST_CASE("A job runs on the upstreams and is answered when it has ended [node]")
{
    Fleet fleet({ .name = "node-path", .domains = { "valencia", "lantapan" } });
    REQUIRE(fleet.waitUntilReady());
    for (std::size_t entry = 0; entry < fleet.entryCount(); ++entry) {
        const auto answer = fleet.submit(entry, jobId(static_cast<int>(entry) + 1), 3);
        CHECK_EQ(answer.status, 200);
        CHECK_EQ(answer.body, R"({"state":"completed"})");
    }
    CHECK_EQ(fleet.starts(), 12);
    CHECK_EQ(fleet.violations(), "");
    CHECK_EQ(fleet.request(0, "GET", "/unknown/", "").status, 404);
    CHECK_EQ(fleet.request(0, "GET", "/check/", "").body, R"({"waiting":0})");
    CHECK_EQ(fleet.request(0, "POST", "/check/short", "{}").status, 400);
    CHECK_EQ(fleet.request(0, "POST", "/check/" + jobId(9), "{").status, 400);
    CHECK_EQ(fleet.request(0, "POST", "/check/" + jobId(9), R"({"steps":[{"fills":true}]})").status, 503);
    CHECK_NE(fleet.metrics(0).find("balsammill_answers_total"), std::string::npos);
}

// Guards against tasks that are lost or run twice when the owner of their shard is killed.
TEST_CASE("When the owner is killed another entry takes over and each job completes [node]")
{
    Fleet fleet({ .name = "node-kill", .runMs = 100 });
    REQUIRE(fleet.waitUntilReady());
    LoadGenerator load(fleet, 4);
    REQUIRE(waitForCompletedJobs(load, 8));
    for (int round = 0; round < 3; ++round) {
        const auto owner = fleet.ownerOf("valencia");
        REQUIRE_LT(owner, fleet.entryCount());
        fleet.restart(owner);
        CHECK(waitForCompletedJobs(load, 10));
    }
    load.finish();
    CHECK_EQ(load.notCompleted, 0);
    CHECK_EQ(fleet.violations(), "");
}

// Guards against entries that do not recover, or that run a task beside its earlier run, after all were killed at once.
TEST_CASE("After a kill of all entries they serve again and no task has two runs at the same time [node]")
{
    Fleet fleet({ .name = "node-kill-all", .runMs = 300 });
    REQUIRE(fleet.waitUntilReady());
    LoadGenerator load(fleet, 4);
    REQUIRE(waitForCompletedJobs(load, 4));
    for (std::size_t i = 0; i < fleet.entryCount(); ++i)
        fleet.entry(i).signal(SIGKILL);
    for (std::size_t i = 0; i < fleet.entryCount(); ++i)
        fleet.restart(i);
    CHECK(waitForCompletedJobs(load, 10));
    load.finish();
    CHECK_EQ(load.notCompleted, 0);
    CHECK_EQ(fleet.violations(), "");
}

// Guards against a stale owner: it is paused, another entry takes over its shard, and after it resumes it still starts
// tasks.
TEST_CASE("A paused owner that resumes after its replacement causes no conflicting starts [node]")
{
    Fleet fleet({ .name = "node-pause", .runMs = 100 });
    REQUIRE(fleet.waitUntilReady());
    LoadGenerator load(fleet, 4);
    REQUIRE(waitForCompletedJobs(load, 4));
    const auto owner = fleet.ownerOf("valencia");
    REQUIRE_LT(owner, fleet.entryCount());
    fleet.entry(owner).signal(SIGSTOP);
    CHECK(waitUntil(in(20s), [&] { return fleet.ownerOf("valencia") != owner; }));
    fleet.entry(owner).signal(SIGCONT);
    CHECK(waitForCompletedJobs(load, 10));
    load.finish();
    CHECK_EQ(fleet.violations(), "");
}

// Guards against best-effort jobs that need the store, and against entries that claim shards during a store outage
// without knowing the current owner.
TEST_CASE("Jobs are served while the store is down, and configuration changes apply after it returns [node]")
{
    Fleet fleet({ .name = "node-store" });
    REQUIRE(fleet.waitUntilReady());
    LoadGenerator load(fleet, 3);
    REQUIRE(waitForCompletedJobs(load, 4));
    fleet.store().setOutage(true);
    CHECK(waitForCompletedJobs(load, 20));
    fleet.store().setOutage(false);
    fleet.store().discardHistory();
    load.finish();
    CHECK_EQ(load.notCompleted, 0);
    fleet.configure(2, "/other/");
    CHECK(waitUntil(in(10s), [&] { return fleet.request(0, "GET", "/other/", "").status == 200; }));
    CHECK(waitUntil(in(10s), [&] { return fleet.request(0, "GET", "/check/", "").status == 404; }));
    CHECK_EQ(fleet.violations(), "");
}

// Guards against a shard without an owner, or with two, when the answer to the write of a claim is lost.
TEST_CASE("When answers of the store are lost the shard has one owner and every job is answered [node]")
{
    Fleet fleet({ .name = "node-lost-answers", .runMs = 100 });
    REQUIRE(fleet.waitUntilReady());
    LoadGenerator load(fleet, 3);
    REQUIRE(waitForCompletedJobs(load, 4));
    fleet.store().dropNextAnswers(4);
    fleet.restart(fleet.ownerOf("valencia"));
    CHECK(waitForCompletedJobs(load, 10));
    load.finish();
    CHECK_EQ(load.notCompleted, 0);
    CHECK_EQ(fleet.violations(), "");
}

// Guards against two runs of a task at the same time: the upstream carries out a start request but its answer is lost,
// or carries it out after a delay, and the task is meanwhile started elsewhere.
TEST_CASE("Unanswered and delayed starts cause no two runs of a task at the same time [node]")
{
    Fleet fleet({ .name = "node-late-starts", .runMs = 100 });
    REQUIRE(fleet.waitUntilReady());
    LoadGenerator load(fleet, 3);
    REQUIRE(waitForCompletedJobs(load, 4));
    for (std::size_t i = 0; i < fleet.upstreamCount(); ++i) {
        fleet.upstream(i).dropNextAnswers(2);
        fleet.upstream(i).delayStarts(2, 700);
    }
    CHECK(waitForCompletedJobs(load, 15));
    load.finish();
    CHECK_EQ(load.notCompleted, 0);
    CHECK_EQ(fleet.violations(), "");
}

// Guards against requests that a graceful stop (SIGTERM) aborts.
TEST_CASE("A graceful stop hands over the shard and aborts no request [node]")
{
    Fleet fleet({ .name = "node-stop", .runMs = 300 });
    REQUIRE(fleet.waitUntilReady());
    const auto owner = fleet.ownerOf("valencia");
    REQUIRE_LT(owner, fleet.entryCount());
    std::vector<std::thread> clients;
    std::atomic<int> completed { 0 };
    for (int i = 0; i < 4; ++i) {
        clients.emplace_back([&, i] {
            const auto answer = fleet.submit(owner, jobId(i + 1), 1);
            if (answer.status == 200)
                ++completed;
        });
    }
    CHECK(waitUntil(in(10s), [&] { return fleet.starts() >= 4; }));
    fleet.entry(owner).signal(SIGTERM);
    for (auto& client : clients)
        client.join();
    CHECK_EQ(completed, 4);
    CHECK_EQ(fleet.entry(owner).waitForExit(in(20s)).value_or(-1), 0);
    CHECK_NE(fleet.ownerOf("valencia"), owner);
    CHECK_EQ(fleet.submit(1 - owner, jobId(99), 2).status, 200);
    CHECK_EQ(fleet.violations(), "");
}

// Guards against a graceful stop after which free capacity of an upstream stays unused until its last task has ended.
TEST_CASE("During a graceful stop the next owner uses capacity beside tasks that still run [node]")
{
    Fleet fleet({ .name = "node-stop-room", .upstreamsPerDomain = 1, .runMs = 3'000 });
    REQUIRE(fleet.waitUntilReady());
    fleet.forbidRepeatedTasks();
    const auto owner = fleet.ownerOf("valencia");
    REQUIRE_LT(owner, fleet.entryCount());
    ClientAnswer first;
    std::thread firstClient([&] { first = fleet.submit(owner, jobId(1), 1); });
    REQUIRE(waitUntil(in(10s), [&] { return fleet.activeRuns() == 1; }));
    fleet.entry(owner).signal(SIGTERM);
    REQUIRE(waitUntil(in(10s), [&] { return fleet.ownerOf("valencia") != owner; }));
    ClientAnswer second;
    std::thread secondClient([&] { second = fleet.submit(1 - owner, jobId(2), 1); });
    CHECK(waitUntil(in(10s), [&] { return fleet.activeRuns() == 2; }));
    firstClient.join();
    secondClient.join();
    CHECK_EQ(first.body, R"({"state":"completed"})");
    CHECK_EQ(second.body, R"({"state":"completed"})");
    CHECK_EQ(fleet.entry(owner).waitForExit(in(20s)).value_or(-1), 0);
    CHECK_EQ(fleet.violations(), "");
    CHECK_EQ(fleet.starts(), 2);
}

// Guards against a shard that has no owner for seconds because the answer to a claim was lost.
TEST_CASE("The next owner takes over although the answer to its claim is lost [node]")
{
    Fleet fleet({ .name = "node-stop-lost", .upstreamsPerDomain = 1, .runMs = 3'000 });
    REQUIRE(fleet.waitUntilReady());
    fleet.forbidRepeatedTasks();
    const auto owner = fleet.ownerOf("valencia");
    REQUIRE_LT(owner, fleet.entryCount());
    ClientAnswer first;
    std::thread firstClient([&] { first = fleet.submit(owner, jobId(1), 1); });
    REQUIRE(waitUntil(in(10s), [&] { return fleet.activeRuns() == 1; }));
    fleet.store().dropNextAnswers(2);
    fleet.entry(owner).signal(SIGTERM);
    REQUIRE(waitUntil(in(10s), [&] { return fleet.ownerOf("valencia") != owner; }));
    firstClient.join();
    CHECK_EQ(first.body, R"({"state":"completed"})");
    CHECK_EQ(fleet.submit(1 - owner, jobId(2), 1).body, R"({"state":"completed"})");
    CHECK_EQ(fleet.violations(), "");
    CHECK_EQ(fleet.starts(), 2);
}

// Guards against a handoff that is discarded because it arrives before the store has answered the claim of the next
// owner. It was seen with a slow store: the shard served nothing until the former owner had exited.
TEST_CASE("A handoff that arrives before the answer of the store is kept [node]")
{
    Fleet fleet({ .name = "node-stop-early", .upstreamsPerDomain = 1, .runMs = 2'000 });
    REQUIRE(fleet.waitUntilReady());
    fleet.forbidRepeatedTasks();
    fleet.store().setFaults({ .answerJitter = 400ms });
    constexpr int rounds = 4;
    for (int round = 1; round <= rounds; ++round) {
        const auto owner = fleet.ownerOf("valencia");
        REQUIRE_LT(owner, fleet.entryCount());
        ClientAnswer answer;
        std::thread client([&] { answer = fleet.submit(1 - owner, jobId(round), 1); });
        CHECK(waitUntil(in(10s), [&] { return fleet.activeRuns() == 1; }));
        fleet.entry(owner).signal(SIGTERM);
        client.join();
        CHECK_EQ(answer.body, R"({"state":"completed"})");
        CHECK_EQ(fleet.entry(owner).waitForExit(in(20s)).value_or(-1), 0);
        fleet.restart(owner);
        CHECK(waitUntil(in(20s), [&] { return fleet.isReady(0) && fleet.isReady(1); }));
    }
    CHECK_EQ(fleet.violations(), "");
    CHECK_EQ(fleet.starts(), rounds);
}

// Guards against tasks that keep running while the client submits their job again: the entry that accepted the request
// is lost during a handoff, before it has a connection to the next owner.
TEST_CASE("The next owner stops the jobs of an entry that is lost during the handoff [node]")
{
    Fleet fleet({ .name = "node-stop-origin", .entriesPerDomain = 3, .upstreamsPerDomain = 1, .runMs = 60'000 });
    REQUIRE(fleet.waitUntilReady());
    const auto owner = fleet.ownerOf("valencia");
    REQUIRE_LT(owner, fleet.entryCount());
    // The owner offers the shard first to the remaining entry with the lowest name, so the origin is the other one.
    const std::size_t origin = owner == 2 ? 1 : 2;
    std::thread client([&] { fleet.submit(origin, jobId(1), 1); });
    CHECK(waitUntil(in(10s), [&] { return fleet.activeRuns() == 1; }));
    fleet.entry(origin).signal(SIGSTOP);
    fleet.entry(owner).signal(SIGTERM);
    CHECK(waitUntil(in(10s), [&] { return fleet.ownerOf("valencia") == 3 - owner - origin; }));
    fleet.entry(origin).signal(SIGKILL);
    client.join();
    CHECK(waitUntil(in(10s), [&] { return fleet.activeRuns() == 0; }));
    CHECK_EQ(fleet.violations(), "");
}

// Guards against a run that continues while the client submits its job again: the upstream refused the stop request
// (503, not carried out), and the owner did not repeat it.
TEST_CASE("A stop request that an upstream refuses is repeated [node]")
{
    Fleet fleet({ .name = "node-stop-refused", .upstreamsPerDomain = 1, .runMs = 60'000 });
    REQUIRE(fleet.waitUntilReady());
    const auto owner = fleet.ownerOf("valencia");
    REQUIRE_LT(owner, fleet.entryCount());
    const auto origin = 1 - owner;
    std::thread client([&] { fleet.submit(origin, jobId(1), 1); });
    CHECK(waitUntil(in(10s), [&] { return fleet.activeRuns() == 1; }));
    fleet.upstream(0).refuseStops(2);
    fleet.entry(origin).signal(SIGKILL);
    client.join();
    CHECK(waitUntil(in(10s), [&] { return fleet.activeRuns() == 0; }));
    CHECK_EQ(fleet.expiredRuns(), 0);
}
