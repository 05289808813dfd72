#include "Fleet.h"

#include <doctest/doctest.h>

#include <csignal>
#include <thread>
#include <vector>

using namespace PlatformTest;
using namespace IntegrationTest;
using namespace std::chrono_literals;

namespace {

// Repeats the submission until the job is stored, because the store or the shard owner can be unavailable meanwhile.
bool storeJob(const Fleet& fleet, std::size_t entry, const std::string& id, int tasks)
{
    return waitUntil(in(30s), [&] { return fleet.submitDurable(entry, id, tasks).status == 200; });
}

void checkAllComplete(Fleet& fleet, int jobs, int tasksEach)
{
    for (int i = 1; i <= jobs; ++i)
        CHECK_MESSAGE(fleet.waitForState(jobId(i), "completed"), "job ", i, " is ", fleet.stateOf(0, jobId(i)));
    CHECK_EQ(fleet.violations(), "");
    CHECK_EQ(fleet.starts(), jobs * tasksEach);
}

// The number of waiting jobs comes from periodic reports of the shard owners; clients accept a report up to 2 s old.
void checkNoWaitingJobs(const Fleet& fleet, std::size_t entry)
{
    std::string waitingAnswer;
    waitUntil(in(2s), [&] {
        waitingAnswer = fleet.request(entry, "GET", "/check/", "").body;
        return waitingAnswer == R"({"waiting":0})";
    });
    CHECK_EQ(waitingAnswer, R"({"waiting":0})");
}

} // namespace

// Guards against a break in the path of a durable job: submission, storage, run, and state queries.
TEST_CASE("A durable job is stored, runs once, and every entry reports its state [durable]")
{
    Fleet fleet({ .name = "durable-path", .domains = { "valencia", "lantapan" } });
    REQUIRE(fleet.waitUntilReady());
    fleet.forbidRepeatedTasks();
    for (int i = 1; i <= 8; ++i)
        CHECK_EQ(fleet.submitDurable(static_cast<std::size_t>(i) % fleet.entryCount(), jobId(i), 3).status, 200);
    checkAllComplete(fleet, 8, 3);
    for (std::size_t entry = 0; entry < fleet.entryCount(); ++entry)
        CHECK_EQ(fleet.stateOf(entry, jobId(1)), "completed");
    // A repeated submission of the same job creates no second job.
    CHECK_EQ(fleet.submitDurable(0, jobId(1), 3).status, 200);
    CHECK_EQ(fleet.stateOf(1, jobId(1)), "completed");
    CHECK_EQ(fleet.stateOf(0, jobId(77)), "410");
    CHECK_EQ(fleet.request(0, "DELETE", "/check/" + jobId(77), "").status, 410);
    for (std::size_t entry = 0; entry < fleet.entryCount(); ++entry)
        checkNoWaitingJobs(fleet, entry);
    CHECK_EQ(fleet.starts(), 24);
}

// Guards against jobs that are lost or started again when their shard owner is killed while their tasks run.
TEST_CASE("After the owner is killed its successor adopts the running tasks and each job ends once [durable]")
{
    Fleet fleet({ .name = "durable-kill", .upstreamsPerDomain = 4, .runMs = 600 });
    REQUIRE(fleet.waitUntilReady());
    fleet.forbidRepeatedTasks();
    for (int i = 1; i <= 4; ++i)
        REQUIRE(storeJob(fleet, 0, jobId(i), 2));
    REQUIRE(waitUntil(in(10s), [&] { return fleet.activeRuns() >= 8; }));
    fleet.restart(fleet.ownerOf("valencia"));
    checkAllComplete(fleet, 4, 2);
}

// Guards against the loss of an acknowledged job: all entries are killed right after the acknowledgements.
TEST_CASE("Acknowledged jobs complete although all entries are killed right after the acknowledgement [durable]")
{
    Fleet fleet({ .name = "durable-kill-all", .upstreamsPerDomain = 4, .runMs = 200 });
    REQUIRE(fleet.waitUntilReady());
    for (int i = 1; i <= 6; ++i)
        REQUIRE(storeJob(fleet, 0, jobId(i), 2));
    for (std::size_t i = 0; i < fleet.entryCount(); ++i)
        fleet.entry(i).signal(SIGKILL);
    for (std::size_t i = 0; i < fleet.entryCount(); ++i)
        fleet.restart(i);
    for (int i = 1; i <= 6; ++i)
        CHECK_MESSAGE(fleet.waitForState(jobId(i), "completed"), "job ", i, " is ", fleet.stateOf(0, jobId(i)));
    CHECK_EQ(fleet.violations(), "");
}

// Guards against running tasks that are aborted, or run twice, when their shard owner is stopped gracefully.
TEST_CASE("After a graceful stop of the owner its successor adopts the running tasks of stored jobs [durable]")
{
    Fleet fleet({ .name = "durable-stop", .upstreamsPerDomain = 4, .runMs = 700 });
    REQUIRE(fleet.waitUntilReady());
    fleet.forbidRepeatedTasks();
    for (int i = 1; i <= 4; ++i)
        REQUIRE(storeJob(fleet, 0, jobId(i), 2));
    REQUIRE(waitUntil(in(10s), [&] { return fleet.activeRuns() >= 8; }));
    const auto owner = fleet.ownerOf("valencia");
    fleet.entry(owner).signal(SIGTERM);
    CHECK_EQ(fleet.entry(owner).waitForExit(in(20s)).value_or(-1), 0);
    fleet.restart(owner);
    checkAllComplete(fleet, 4, 2);
}

// Guards against jobs that are accepted without being stored, and against submissions that block until the outage ends.
TEST_CASE("While the store is down new jobs are refused and stored jobs complete [durable]")
{
    Fleet fleet({ .name = "durable-outage", .runMs = 300 });
    REQUIRE(fleet.waitUntilReady());
    fleet.forbidRepeatedTasks();
    for (int i = 1; i <= 2; ++i)
        REQUIRE(storeJob(fleet, 0, jobId(i), 2));
    fleet.store().setOutage(true);
    const auto refused = fleet.submitDurable(0, jobId(3), 2);
    CHECK_EQ(refused.status, 429);
    CHECK_NE(refused.retryAfter, "");
    CHECK(waitUntil(in(10s), [&] { return fleet.activeRuns() == 0; }));
    fleet.store().setOutage(false);
    REQUIRE(storeJob(fleet, 1, jobId(3), 2));
    checkAllComplete(fleet, 3, 2);
}

// Guards against a job that is stored twice, or lost, when the answer to its write is lost and the outcome is unknown.
TEST_CASE("When answers to store writes are lost each job still runs once [durable]")
{
    Fleet fleet({ .name = "durable-lost-answers" });
    REQUIRE(fleet.waitUntilReady());
    fleet.forbidRepeatedTasks();
    REQUIRE(storeJob(fleet, 0, jobId(1), 2));
    for (int i = 2; i <= 6; ++i) {
        fleet.store().dropNextAnswers(2);
        REQUIRE(storeJob(fleet, static_cast<std::size_t>(i) % 2, jobId(i), 2));
    }
    checkAllComplete(fleet, 6, 2);
}

// Guards against a stale owner: it is paused, another entry takes over its shard, and after it resumes it still writes
// to the store and starts tasks.
TEST_CASE("A paused owner that resumes after its replacement does not affect stored jobs [durable]")
{
    Fleet fleet({ .name = "durable-pause", .upstreamsPerDomain = 4, .runMs = 400 });
    REQUIRE(fleet.waitUntilReady());
    for (int i = 1; i <= 4; ++i)
        REQUIRE(storeJob(fleet, 0, jobId(i), 2));
    const auto owner = fleet.ownerOf("valencia");
    fleet.entry(owner).signal(SIGSTOP);
    CHECK(waitUntil(in(20s), [&] { return fleet.ownerOf("valencia") != owner; }));
    REQUIRE(storeJob(fleet, 1 - owner, jobId(5), 2));
    fleet.entry(owner).signal(SIGCONT);
    for (int i = 1; i <= 5; ++i)
        CHECK_MESSAGE(fleet.waitForState(jobId(i), "completed"), "job ", i, " is ", fleet.stateOf(1 - owner, jobId(i)));
    CHECK_EQ(fleet.violations(), "");
}

// Guards against cancelled jobs that continue to run, or that the next shard owner starts again.
TEST_CASE("A cancelled job stops and stays cancelled when its owner is killed [durable]")
{
    Fleet fleet({ .name = "durable-cancel", .runMs = 20'000 });
    REQUIRE(fleet.waitUntilReady());
    REQUIRE(storeJob(fleet, 0, jobId(1), 2));
    REQUIRE(waitUntil(in(10s), [&] { return fleet.activeRuns() == 2; }));
    CHECK_EQ(fleet.stateOf(1, jobId(1)), "running");
    CHECK_EQ(fleet.request(1, "DELETE", "/check/" + jobId(1), "").status, 200);
    CHECK(waitUntil(in(10s), [&] { return fleet.activeRuns() == 0; }));
    CHECK_EQ(fleet.stateOf(0, jobId(1)), "cancelled");
    fleet.restart(fleet.ownerOf("valencia"));
    CHECK(fleet.waitForState(jobId(1), "cancelled"));
    CHECK_EQ(fleet.starts(), 2);
}

// Guards against long-running tasks that are not started again after they end or after their shard owner is killed.
TEST_CASE("Long-running tasks are restarted whenever they end until their job is cancelled [durable]")
{
    Fleet fleet({ .name = "durable-lasting", .runMs = 300 });
    REQUIRE(fleet.waitUntilReady());
    REQUIRE_EQ(fleet.submitDurable(0, jobId(1), 2, 10'000, R"("long_running":true,)").status, 200);
    CHECK(waitUntil(in(20s), [&] { return fleet.starts() >= 5; }));
    fleet.restart(fleet.ownerOf("valencia"));
    const int before = fleet.starts();
    CHECK(waitUntil(in(20s), [&] { return fleet.starts() >= before + 3; }));
    CHECK_EQ(fleet.stateOf(0, jobId(1)), "running");
    CHECK_EQ(fleet.request(0, "DELETE", "/check/" + jobId(1), "").status, 200);
    CHECK(waitUntil(in(10s), [&] { return fleet.activeRuns() == 0; }));
    CHECK_EQ(fleet.violations(), "");
}

// Guards against occurrences of a repeated job that are skipped or run twice.
TEST_CASE("A repeated job runs the requested number of times and is then completed [durable]")
{
    Fleet fleet({ .name = "durable-repeat" });
    REQUIRE(fleet.waitUntilReady());
    fleet.forbidRepeatedTasks();
    const auto now
        = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
              .count();
    const auto schedule = R"("repeat_count":4,"first_run_ms":)" + std::to_string(now + 300) + R"(,"interval_ms":250,)";
    REQUIRE_EQ(fleet.submitDurable(0, jobId(1), 1, 10'000, schedule).status, 200);
    CHECK(fleet.waitForState(jobId(1), "completed"));
    CHECK_EQ(fleet.starts(), 4);
    CHECK_EQ(fleet.violations(), "");
}

// Guards against a client that is told that its job has not run although it is stored: the owner stores it while it
// hands its shard over, and the next owner answers before it has read the journal (review case 3).
TEST_CASE("A job that is stored during a handover is not refused by the next owner [durable]")
{
    // An entry that neither owns nor takes over the shard learns of the new owner from the slow store.
    Fleet fleet({ .name = "durable-slow-handover", .entriesPerDomain = 3, .runMs = 200 });
    REQUIRE(fleet.waitUntilReady());
    // The shard has a journal, which the next owner has to read.
    REQUIRE(storeJob(fleet, 0, jobId(1), 1));
    fleet.store().setFaults({ .writeDelay = 360ms, .readDelay = 240ms });
    constexpr int jobs = 60;
    std::vector<ClientAnswer> answers(jobs);
    std::vector<std::thread> clients;
    const auto owner = fleet.ownerOf("valencia");
    REQUIRE_LT(owner, fleet.entryCount());
    const auto survivor = (owner + 1) % fleet.entryCount();
    for (int i = 0; i < jobs; ++i) {
        if (i == jobs / 3)
            fleet.entry(owner).signal(SIGTERM);
        const auto entry = (owner + 1 + static_cast<std::size_t>(i % 2)) % fleet.entryCount();
        clients.emplace_back([&fleet, &answers, entry, i] {
            answers[static_cast<std::size_t>(i)] = fleet.submitDurable(entry, jobId(100 + i), 1);
        });
        std::this_thread::sleep_for(25ms);
    }
    for (auto& client : clients)
        client.join();
    fleet.store().setFaults({});
    int stored = 0;
    for (int i = 0; i < jobs; ++i) {
        const auto id = jobId(100 + i);
        const auto& answer = answers[static_cast<std::size_t>(i)];
        if (answer.status == 200) {
            ++stored;
            CHECK_MESSAGE(fleet.waitForState(id, "completed"), "job ", i, " is ", fleet.stateOf(survivor, id));
        } else if (answer.status == 429 || answer.status == 503) {
            CHECK_MESSAGE(fleet.waitForState(id, "410"), "job ", i, " was answered with ", answer.status, " and is ",
                fleet.stateOf(survivor, id));
        }
    }
    CHECK_GT(stored, 0);
    CHECK_EQ(fleet.violations(), "");
}
