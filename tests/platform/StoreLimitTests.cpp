#include "Fleet.h"

#include <doctest/doctest.h>

#include <chrono>

using namespace PlatformTest;
using namespace IntegrationTest;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t rowBytes = 4'096;
constexpr int occurrences = 1'500;

// Fields of a job that repeats each second, with the time of the first occurrence relative to now.
std::string repeatedFields(int count, std::chrono::seconds first)
{
    const auto now
        = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    return R"("repeat_count":)" + std::to_string(count) + R"(,"first_run_ms":)"
        + std::to_string((now + std::chrono::milliseconds(first)).count()) + R"(,"interval_ms":1000,)";
}

std::string allDueFields() { return repeatedFields(occurrences, -std::chrono::seconds(occurrences)); }

std::string waitingJob(int number) { return jobId(100 + number); }

// Jobs that are not due during the test.
void submitWaitingJobs(Fleet& fleet, int count)
{
    for (int i = 0; i < count; ++i)
        REQUIRE_EQ(fleet.submitDurable(0, waitingJob(i), 1, 100, repeatedFields(1, 3600s)).status, 200);
}

void checkCancelled(Fleet& fleet, int count)
{
    for (int i = 0; i < count; ++i)
        CHECK_EQ(fleet.request(0, "DELETE", "/check/" + waitingJob(i), "").status, 200);
    for (int i = 0; i < count; ++i)
        CHECK_EQ(fleet.stateOf(1, waitingJob(i)), "cancelled");
}

double counter(const std::string& metrics, const std::string& name)
{
    const auto found = metrics.find("\n" + name + " ");
    return found == std::string::npos ? 0 : std::stod(metrics.substr(found + name.size() + 2));
}

} // namespace

// Guards against a repeated job whose state outgrows a row of the store, after which nothing of its shard was stored:
// cancellations had no answer, and new jobs were refused (review case 13).
TEST_CASE("A repeated job with many completed occurrences leaves the store's limits and other jobs alone")
{
    Fleet fleet({ .name = "state-size", .runMs = 5, .rowBytes = rowBytes });
    REQUIRE(fleet.waitUntilReady());
    fleet.forbidRepeatedTasks();
    submitWaitingJobs(fleet, 4);
    REQUIRE_EQ(fleet.submitDurable(0, jobId(1), 1, 100, allDueFields()).status, 200);
    // Up to 600 completed occurrences fit into a row of this size if each is listed.
    REQUIRE(waitUntil(in(60s), [&] { return fleet.starts() >= 1'000; }));
    // The next owner reads what this one has stored.
    fleet.restart(fleet.ownerOf("valencia"));
    CHECK_MESSAGE(fleet.waitForState(jobId(1), "completed"), "the job is ", fleet.stateOf(1, jobId(1)));
    CHECK_EQ(fleet.store().rejectedWrites(), 0);
    CHECK_LE(fleet.store().largestValue(jobId(1)), rowBytes);
    checkCancelled(fleet, 4);
    CHECK_EQ(fleet.violations(), "");
}

// Guards against a rejected change that goes into every later batch of its shard, so that no other job is stored.
TEST_CASE("A row that the store rejects delays no other job and is reported once")
{
    Fleet fleet({ .name = "rejected-row" });
    REQUIRE(fleet.waitUntilReady());
    submitWaitingJobs(fleet, 4);
    REQUIRE_EQ(fleet.submitDurable(0, jobId(1), 1, 100, allDueFields()).status, 200);
    fleet.store().setFaults({ .rejectedKey = jobId(1) + "/state" });
    REQUIRE(waitUntil(in(30s), [&] { return fleet.store().rejectedWrites() > 0; }));
    checkCancelled(fleet, 4);
    CHECK_EQ(fleet.submitDurable(0, jobId(2), 3).status, 200);
    CHECK(fleet.waitForState(jobId(2), "completed"));
    // A submission of which the store rejects a row is refused, and not for want of room.
    fleet.store().setFaults({ .rejectedKey = jobId(3) });
    CHECK_EQ(fleet.submitDurable(0, jobId(3), 1).status, 413);
    fleet.store().setFaults({});
    CHECK(waitUntil(in(10s), [&] { return fleet.unacknowledgedEnds() == 0; }));
    const auto metrics = fleet.metrics(fleet.ownerOf("valencia"));
    CHECK_EQ(counter(metrics, R"(balsammill_journal_rejected_changes_total{effect="dropped"})"), 1);
    // The job's state was rejected, and the final state that replaced it.
    CHECK_EQ(counter(metrics, R"(balsammill_journal_rejected_changes_total{effect="failed"})"), 1);
    CHECK_EQ(counter(metrics, R"(balsammill_journal_rejected_changes_total{effect="set_aside"})"), 1);
    CHECK_LE(fleet.store().rejectedWrites(), 20);
}

// Guards against a job that is accepted although its rows do not fit into the store, and against a refusal that asks
// the client to submit it again.
TEST_CASE("A job that cannot be stored is refused at its submission, before anything is written")
{
    Fleet fleet({ .name = "not-storable", .rowBytes = rowBytes });
    REQUIRE(fleet.waitUntilReady());
    CHECK_EQ(fleet.submitDurable(0, jobId(1), 1).status, 200);
    const auto largeSpecification = R"({"task_spec":")" + std::string(3'900, 'x')
        + R"(","steps":[{"count":1,"cpu":100,"memory_limit_mb":1,"estimated_ms":50}]})";
    for (const auto& answer : { fleet.submitDurable(0, jobId(2), 5'000),
             fleet.request(1, "POST", "/check/" + jobId(3), largeSpecification) }) {
        CHECK_EQ(answer.status, 413);
        CHECK_EQ(answer.retryAfter, "");
    }
    CHECK_EQ(fleet.store().rejectedWrites(), 0);
    CHECK(fleet.waitForState(jobId(1), "completed"));
    CHECK_EQ(fleet.stateOf(0, jobId(2)), "410");
}
