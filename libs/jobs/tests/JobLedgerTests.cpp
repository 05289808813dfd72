#include "SimulatedCluster.h"

#include <doctest/doctest.h>

using namespace Balsammill;
using namespace Balsammill::Test;
using namespace std::chrono_literals;
using doctest::test_suite;

namespace {

// Matches replication messages sent by the node.
auto replicationFrom(const SimulatedCluster& cluster, std::size_t node)
{
    return [&cluster, node](const SentMessage& sent) {
        return sent.from == cluster.nodes[node].id && sent.message.has_replicate_job();
    };
}

} // namespace

// Guards against a start before replication: if the primary then failed, the job could be started a second time.
TEST_CASE("a job starts when the backup has acknowledged it, and its result is returned" * test_suite("[jobs]"))
{
    SimulatedCluster cluster(3);
    cluster.waitForPair();
    const auto waiter = cluster.submit(*cluster.primary(), "job-1");
    CHECK(cluster.starts("job-1") == 0);
    cluster.deliverAll();
    CHECK(cluster.starts("job-1") == 1);
    CHECK(cluster.state(waiter) == balsammill::v1::JOB_STATE_COMPLETE);
}

// Guards against a job that never starts because its replication message was lost, and against second starts through
// duplicate or reordered messages.
TEST_CASE("a lost replication message is resent, and duplicates do not start a job twice" * test_suite("[jobs]"))
{
    SimulatedCluster cluster(3);
    cluster.waitForPair();
    cluster.autoComplete = false;
    std::vector<SentMessage> seen;
    bool dropAll = true;
    cluster.dropped = [&](const SentMessage& sent) {
        seen.push_back(sent);
        return dropAll;
    };
    cluster.submit(*cluster.primary(), "job-1");
    cluster.run(300ms);
    CHECK(cluster.starts("job-1") == 0);
    dropAll = false;
    cluster.run(300ms);
    CHECK(cluster.starts("job-1") == 1);
    // Delivers duplicates in reverse order.
    const auto copies = seen;
    for (const auto& sent : copies)
        cluster.messages.push_front(sent);
    cluster.run(1s);
    CHECK(cluster.starts("job-1") == 1);
}

TEST_CASE("a process that is not the primary redirects a submission" * test_suite("[jobs]"))
{
    SimulatedCluster cluster(3);
    cluster.waitForPair();
    for (const auto node : { *cluster.backup(), cluster.third() }) {
        const auto waiter = cluster.submit(node, "job-1");
        CHECK(cluster.redirects.at(waiter) == cluster.nodes[*cluster.primary()].id);
    }
    CHECK(cluster.starts("job-1") == 0);
}

// Guards against a second start of a job that is running or has finished.
TEST_CASE("a resubmission waits for the running job, and later receives the stored result" * test_suite("[jobs]"))
{
    SimulatedCluster cluster(3);
    cluster.waitForPair();
    cluster.autoComplete = false;
    const auto primary = *cluster.primary();
    const auto first = cluster.submit(primary, "job-1");
    cluster.deliverAll();
    const auto second = cluster.submit(primary, "job-1");
    const auto running = cluster.get(primary, "job-1");
    CHECK(cluster.state(running) == balsammill::v1::JOB_STATE_RUNNING);
    CHECK(cluster.answer(second) == nullptr);
    cluster.complete(primary, "job-1");
    cluster.deliverAll();
    const auto third = cluster.submit(primary, "job-1");
    for (const auto waiter : { first, second, third })
        CHECK(cluster.state(waiter) == balsammill::v1::JOB_STATE_COMPLETE);
    CHECK(cluster.starts("job-1") == 1);
}

TEST_CASE("a known id with different content is refused as not run" * test_suite("[jobs]"))
{
    SimulatedCluster cluster(3);
    cluster.waitForPair();
    cluster.submit(*cluster.primary(), "job-1", "x");
    cluster.deliverAll();
    const auto error = cluster.error(cluster.submit(*cluster.primary(), "job-1", "y"));
    CHECK(error.code == ErrorCode::AlreadyExists);
    CHECK(error.verdict == Verdict::NotRun);
    CHECK(cluster.starts("job-1") == 1);
}

// Guards against an outcome that is lost with the primary after it was returned, and against a client that waits for an
// unresponsive backup.
TEST_CASE("an outcome is returned after replication, or after a timeout if the backup does not acknowledge it"
    * test_suite("[jobs]"))
{
    SimulatedCluster cluster(2);
    cluster.waitForPair();
    cluster.autoComplete = false;
    const auto primary = *cluster.primary();
    const auto waiter = cluster.submit(primary, "job-1");
    cluster.deliverAll();
    cluster.dropped = replicationFrom(cluster, primary);
    cluster.complete(primary, "job-1");
    cluster.run(200ms);
    CHECK(cluster.answer(waiter) == nullptr);
    CHECK(cluster.state(cluster.get(primary, "job-1")) != balsammill::v1::JOB_STATE_COMPLETE);
    cluster.run(400ms);
    CHECK(cluster.state(waiter) == balsammill::v1::JOB_STATE_COMPLETE);
    // The outcome is resent, so the backup receives it when messages are delivered again.
    cluster.dropped = {};
    cluster.run(400ms);
    const auto backup = *cluster.backup();
    cluster.stop(primary);
    REQUIRE(cluster.runUntil([&] { return cluster.primary() == backup; }));
    CHECK(cluster.state(cluster.submit(backup, "job-1")) == balsammill::v1::JOB_STATE_COMPLETE);
}

// Guards against a second start by a process that joined after the jobs were recorded.
TEST_CASE("a process without peers starts jobs, and a new backup receives their records" * test_suite("[jobs]"))
{
    SimulatedCluster cluster(2);
    cluster.stop(1);
    REQUIRE(cluster.runUntil([&] { return cluster.primary() == 0U; }));
    const auto waiter = cluster.submit(0, "job-1");
    cluster.deliverAll();
    CHECK(cluster.state(waiter) == balsammill::v1::JOB_STATE_COMPLETE);
    cluster.autoComplete = false;
    cluster.submit(0, "job-2");
    CHECK(cluster.starts("job-2") == 1);
    cluster.restart(1);
    cluster.waitForPair();
    cluster.stop(0);
    REQUIRE(cluster.runUntil([&] { return cluster.primary() == 1U; }));
    CHECK(cluster.state(cluster.submit(1, "job-1")) == balsammill::v1::JOB_STATE_COMPLETE);
    cluster.submit(1, "job-2");
    cluster.run(1s);
    CHECK(cluster.starts("job-2") == 1);
}

// Guards against a second start by the new backup: the snapshot was taken before the job was admitted.
TEST_CASE("a job that is admitted during a snapshot is replicated to the new backup" * test_suite("[jobs]"))
{
    SimulatedCluster cluster(2);
    cluster.stop(1);
    REQUIRE(cluster.runUntil([&] { return cluster.primary() == 0U; }));
    cluster.autoComplete = false;
    // The snapshot stays in the queue while the primary, still without a backup, admits another job.
    cluster.held = [](const SentMessage& sent) { return sent.message.has_shard_snapshot(); };
    cluster.restart(1);
    cluster.run(100ms);
    cluster.submit(0, "job-1");
    CHECK(cluster.starts("job-1") == 1);
    CHECK(cluster.history.back().backup == std::nullopt);
    cluster.held = {};
    cluster.waitForPair();
    cluster.stop(0);
    REQUIRE(cluster.runUntil([&] { return cluster.primary() == 1U; }));
    cluster.submit(1, "job-1");
    cluster.run(1s);
    CHECK(cluster.starts("job-1") == 1);
}

// Guards against a backup that is recorded in the table although it does not hold all jobs of the shard.
TEST_CASE("a backup is not recorded while a part of its snapshot is missing" * test_suite("[jobs]"))
{
    SimulatedCluster cluster(2, [](JobLedgerOptions& options) { options.snapshotPartBytes = 1; });
    cluster.stop(1);
    REQUIRE(cluster.runUntil([&] { return cluster.primary() == 0U; }));
    for (const auto* id : { "job-1", "job-2", "job-3" })
        cluster.submit(0, id);
    cluster.deliverAll();
    cluster.dropped = [](const SentMessage& sent) {
        const auto& snapshot = sent.message.shard_snapshot();
        return snapshot.records_size() == 1 && snapshot.records(0).job_key() == testKey("job-2").value;
    };
    cluster.restart(1);
    cluster.run(3s);
    CHECK(cluster.tableRecord().backup == std::nullopt);
    cluster.dropped = {};
    cluster.waitForPair();
    CHECK(cluster.nodes[1].ledger->statuses().front().records == 3);
}

// Guards against jobs that are started without a replica while the table still names the lost backup.
TEST_CASE("a primary whose backup is lost admits no jobs while the table cannot be written" * test_suite("[jobs]"))
{
    SimulatedCluster cluster(3);
    cluster.waitForPair();
    const auto primary = *cluster.primary();
    cluster.fault = TableFault::NotSent;
    cluster.stop(*cluster.backup());
    cluster.run(500ms);
    CHECK(cluster.role(primary) == ShardRoleKind::PrimaryUnconfirmed);
    CHECK(cluster.error(cluster.submit(primary, "job-1")).code == ErrorCode::Unavailable);
    cluster.fault = TableFault::None;
    cluster.waitForPair();
    CHECK(cluster.primary() == primary);
    cluster.submit(primary, "job-1");
    cluster.deliverAll();
    CHECK(cluster.starts("job-1") == 1);
}

TEST_CASE("primary and backup continue to admit jobs while the platform is down" * test_suite("[jobs]"))
{
    SimulatedCluster cluster(3);
    cluster.waitForPair();
    cluster.fault = TableFault::NotSent;
    cluster.run(20min);
    const auto waiter = cluster.submit(*cluster.primary(), "job-1");
    cluster.deliverAll();
    CHECK(cluster.state(waiter) == balsammill::v1::JOB_STATE_COMPLETE);
}

// Guards against a job that waits forever because its backup stopped before it acknowledged the record.
TEST_CASE("a job that waits for a lost backup starts when the next backup has it" * test_suite("[jobs]"))
{
    SimulatedCluster cluster(3);
    cluster.waitForPair();
    const auto primary = *cluster.primary();
    const auto backup = *cluster.backup();
    cluster.dropped = replicationFrom(cluster, primary);
    const auto waiter = cluster.submit(primary, "job-1");
    cluster.run(100ms);
    cluster.stop(backup);
    cluster.dropped = {};
    REQUIRE(cluster.runUntil([&] { return cluster.answer(waiter) != nullptr; }));
    CHECK(cluster.starts("job-1") == 1);
    CHECK(cluster.backup() != backup);
}

TEST_CASE("a leaving backup is replaced without a change of the primary" * test_suite("[jobs]"))
{
    SimulatedCluster cluster(3);
    cluster.waitForPair();
    const auto primary = *cluster.primary();
    const auto leaving = *cluster.backup();
    const auto other = cluster.third();
    cluster.nodes[leaving].leaving = true;
    cluster.publishViews();
    REQUIRE(cluster.runUntil([&] { return cluster.role(other) == ShardRoleKind::Backup; }));
    CHECK(cluster.primary() == primary);
    CHECK_FALSE(cluster.nodes[leaving].ledger->hasShardsToHandOver());
}

// Guards against an outcome that is lost because the job ended after the handover.
TEST_CASE("a leaving primary hands its shard over and reports the outcome of a running job" * test_suite("[jobs]"))
{
    SimulatedCluster cluster(3);
    cluster.waitForPair();
    cluster.autoComplete = false;
    const auto leaving = *cluster.primary();
    const auto successor = *cluster.backup();
    const auto waiter = cluster.submit(leaving, "job-1");
    cluster.deliverAll();
    cluster.nodes[leaving].leaving = true;
    cluster.publishViews();
    CHECK(cluster.error(cluster.submit(leaving, "job-2")).code == ErrorCode::Unavailable);
    REQUIRE(cluster.runUntil([&] { return !cluster.nodes[leaving].ledger->hasShardsToHandOver(); }));
    REQUIRE(cluster.runUntil([&] { return cluster.primary() == successor; }));
    const auto joined = cluster.submit(successor, "job-1");
    cluster.complete(leaving, "job-1");
    cluster.run(1s);
    CHECK(cluster.state(waiter) == balsammill::v1::JOB_STATE_COMPLETE);
    CHECK(cluster.state(joined) == balsammill::v1::JOB_STATE_COMPLETE);
    CHECK(cluster.starts("job-1") == 1);
    CHECK(cluster.nodes[leaving].ledger->unfinishedJobs() == 0);
}

TEST_CASE("a job that is canceled before it starts fails and is never started" * test_suite("[jobs]"))
{
    SimulatedCluster cluster(3);
    cluster.waitForPair();
    const auto primary = *cluster.primary();
    cluster.dropped = replicationFrom(cluster, primary);
    const auto waiter = cluster.submit(primary, "job-1");
    const auto cancel = cluster.cancel(primary, "job-1");
    cluster.dropped = {};
    cluster.run(1s);
    for (const auto each : { waiter, cancel })
        CHECK(cluster.state(each) == balsammill::v1::JOB_STATE_FAILED);
    CHECK(cluster.starts("job-1") == 0);
}

TEST_CASE("canceling a running job waits for its outcome" * test_suite("[jobs]"))
{
    SimulatedCluster cluster(3);
    cluster.waitForPair();
    cluster.autoComplete = false;
    const auto primary = *cluster.primary();
    cluster.submit(primary, "job-1");
    cluster.deliverAll();
    const auto cancel = cluster.cancel(primary, "job-1");
    REQUIRE(cluster.canceled.size() == 1);
    CHECK(cluster.answer(cancel) == nullptr);
    cluster.complete(primary, "job-1");
    cluster.deliverAll();
    CHECK(cluster.state(cancel) == balsammill::v1::JOB_STATE_COMPLETE);
}

// Guards against a second start of a finished job whose result no longer fits into memory.
TEST_CASE("an evicted result leaves a tombstone that is replicated to a new backup" * test_suite("[jobs]"))
{
    SimulatedCluster cluster(3, [](JobLedgerOptions& options) { options.answerBytesLimit = 1500; });
    cluster.waitForPair();
    const auto primary = *cluster.primary();
    for (const auto* id : { "job-1", "job-2", "job-3", "job-4" }) {
        cluster.submit(primary, id);
        cluster.deliverAll();
    }
    const auto checkEvicted = [&](std::size_t node) {
        const auto error = cluster.error(cluster.submit(node, "job-1"));
        CHECK(error.code == ErrorCode::DataLoss);
        CHECK(error.verdict == Verdict::Ran);
        CHECK(cluster.error(cluster.submit(node, "job-1", "other")).code == ErrorCode::AlreadyExists);
        CHECK(cluster.state(cluster.submit(node, "job-4")) == balsammill::v1::JOB_STATE_COMPLETE);
    };
    checkEvicted(primary);
    const auto third = cluster.third();
    cluster.stop(*cluster.backup());
    REQUIRE(cluster.runUntil([&] { return cluster.role(third) == ShardRoleKind::Backup; }));
    cluster.stop(primary);
    REQUIRE(cluster.runUntil([&] { return cluster.primary() == third; }));
    checkEvicted(third);
}

TEST_CASE("a stored result is deleted after the retention period" * test_suite("[jobs]"))
{
    SimulatedCluster cluster(2, [](JobLedgerOptions& options) { options.role.historyRetention = 10s; });
    cluster.waitForPair();
    cluster.submit(*cluster.primary(), "job-1");
    cluster.run(9s);
    CHECK(cluster.state(cluster.get(*cluster.primary(), "job-1")) == balsammill::v1::JOB_STATE_COMPLETE);
    cluster.run(2s);
    CHECK(cluster.error(cluster.get(*cluster.primary(), "job-1")).code == ErrorCode::NotFound);
}
