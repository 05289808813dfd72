#include "SimulatedCluster.h"

#include <doctest/doctest.h>

using namespace Balsammill;
using namespace Balsammill::Test;
using namespace std::chrono_literals;
using doctest::test_suite;

namespace {

bool isAck(const SentMessage& sent) { return sent.message.has_replicate_ack(); }

} // namespace

// Guards against a second start: the old primary may have started the job before it stopped, so its successor may only
// fail the job.
TEST_CASE("a new primary never starts a job recorded in an earlier epoch" * test_suite("[jobs]"))
{
    SimulatedCluster cluster(3);
    cluster.waitForPair();
    cluster.autoComplete = false;
    const auto oldPrimary = *cluster.primary();
    const auto successor = *cluster.backup();
    cluster.submit(oldPrimary, "job-1");
    cluster.deliverAll();
    cluster.stop(oldPrimary);
    REQUIRE(cluster.runUntil([&] { return cluster.primary() == successor; }));
    const auto waiter = cluster.submit(successor, "job-1");
    SUBCASE("the job fails after the orphan timeout")
    {
        cluster.run(20s);
        CHECK(cluster.answer(waiter) == nullptr);
        cluster.run(15s);
    }
    SUBCASE("the job fails when the old incarnation is gone")
    {
        cluster.restart(oldPrimary);
        cluster.run(500ms);
    }
    REQUIRE(cluster.state(waiter) == balsammill::v1::JOB_STATE_FAILED);
    const auto& result = std::get<balsammill::v1::JobResult>(*cluster.answer(waiter));
    CHECK(result.verdict() == balsammill::v1::VERDICT_MAY_HAVE_RUN);
    CHECK(cluster.starts("job-1") == 1);
}

// Guards against a job that neither process runs, and against a second start by the successor: the old primary was
// paused after the backup acknowledged the record and before the acknowledgement arrived.
TEST_CASE("an old primary that resumes with an acknowledged job runs it and reports the outcome" * test_suite("[jobs]"))
{
    SimulatedCluster cluster(3);
    cluster.waitForPair();
    const auto oldPrimary = *cluster.primary();
    const auto successor = *cluster.backup();
    cluster.held = isAck;
    cluster.submit(oldPrimary, "job-1");
    cluster.deliverAll();
    cluster.pause(oldPrimary);
    cluster.held = {};
    REQUIRE(cluster.runUntil([&] { return cluster.primary() == successor; }));
    const auto waiter = cluster.submit(successor, "job-1");
    cluster.run(1s);
    CHECK(cluster.starts("job-1") == 0);
    cluster.resume(oldPrimary);
    // The acknowledgement of the earlier epoch arrives before the old primary reads the new record.
    cluster.run(2s);
    CHECK(cluster.starts("job-1") == 1);
    CHECK(cluster.started.back().node == oldPrimary);
    CHECK(cluster.state(waiter) == balsammill::v1::JOB_STATE_COMPLETE);
}

// Guards against a start in both processes: the old primary still considers itself primary when it resumes and accepts
// a submission, which the successor receives as well.
TEST_CASE("an old primary that resumes after a takeover starts no job and withdraws its record" * test_suite("[jobs]"))
{
    SimulatedCluster cluster(3);
    cluster.waitForPair();
    cluster.autoComplete = false;
    const auto oldPrimary = *cluster.primary();
    const auto successor = *cluster.backup();
    cluster.pause(oldPrimary);
    REQUIRE(cluster.runUntil([&] { return cluster.primary() == successor; }));
    cluster.nodes[oldPrimary].paused = false;
    // Its member view and shard record are outdated, so it still considers itself primary.
    const auto waiter = cluster.submit(oldPrimary, "job-1");
    cluster.run(1s);
    CHECK(cluster.starts("job-1") == 0);
    const auto error = cluster.error(waiter);
    CHECK(error.code == ErrorCode::Unavailable);
    cluster.submit(successor, "job-1");
    cluster.run(1s);
    CHECK(cluster.starts("job-1") == 1);
    CHECK(cluster.started.back().node == successor);
}

// Guards against a job that stays blocked: the acknowledgement to the old primary was lost, so the successor has a
// record of a job that was never started.
TEST_CASE("a record whose acknowledgement was lost is withdrawn, so that a resubmission runs" * test_suite("[jobs]"))
{
    SimulatedCluster cluster(3);
    cluster.waitForPair();
    const auto oldPrimary = *cluster.primary();
    const auto successor = *cluster.backup();
    cluster.dropped = isAck;
    cluster.submit(oldPrimary, "job-1");
    cluster.deliverAll();
    cluster.partition(oldPrimary, successor, true);
    cluster.pause(oldPrimary);
    cluster.dropped = {};
    REQUIRE(cluster.runUntil([&] { return cluster.primary() == successor; }));
    const auto waiter = cluster.submit(successor, "job-1");
    cluster.run(1s);
    CHECK(cluster.starts("job-1") == 0);
    cluster.resume(oldPrimary);
    cluster.partition(oldPrimary, successor, false);
    cluster.run(1s);
    // The withdrawal tells the successor that the job never starts, so its waiter gets an error and can retry.
    CHECK(cluster.error(waiter).code == ErrorCode::Unavailable);
    const auto retried = cluster.submit(successor, "job-1");
    cluster.run(1s);
    CHECK(cluster.state(retried) == balsammill::v1::JOB_STATE_COMPLETE);
    CHECK(cluster.starts("job-1") == 1);
}

// Guards against a backup that acts as primary, or gives up the promotion, without knowing whether its write took
// effect.
TEST_CASE("a promotion whose write gets no response is resolved by reading the table" * test_suite("[jobs]"))
{
    SimulatedCluster cluster(3);
    cluster.waitForPair();
    const auto oldPrimary = *cluster.primary();
    const auto successor = *cluster.backup();
    const auto epoch = cluster.tableRecord().epoch;
    SUBCASE("the write took effect") { cluster.fault = TableFault::AnswerLost; }
    SUBCASE("the write did not take effect") { cluster.fault = TableFault::RequestLost; }
    cluster.stop(oldPrimary);
    cluster.run(50ms);
    CHECK(cluster.role(successor) != ShardRoleKind::Primary);
    cluster.fault = TableFault::None;
    REQUIRE(cluster.runUntil([&] { return cluster.primary() == successor; }));
    CHECK(cluster.tableRecord().epoch.value == epoch.value + 2);
    const auto waiter = cluster.submit(successor, "job-1");
    cluster.deliverAll();
    CHECK(cluster.state(waiter) == balsammill::v1::JOB_STATE_COMPLETE);
}

// Guards against a start by the old primary after a takeover: the write that makes the backup primary may still take
// effect although the backup receives heartbeats again.
TEST_CASE("a backup acknowledges nothing while its promotion is in doubt" * test_suite("[jobs]"))
{
    SimulatedCluster cluster(3);
    cluster.waitForPair();
    const auto oldPrimary = *cluster.primary();
    const auto successor = *cluster.backup();
    cluster.fault = TableFault::Late;
    // Only the backup misses heartbeats, so the old primary continues to replicate to it.
    auto& livenessOverrides = cluster.nodes[successor].livenessOverrides;
    livenessOverrides[cluster.nodes[oldPrimary].id.vm.value] = Liveness::Dead;
    cluster.publishViews();
    cluster.run(300ms);
    REQUIRE(cluster.role(successor) == ShardRoleKind::Promoting);
    // The heartbeats resume before the write takes effect.
    livenessOverrides.clear();
    cluster.publishViews();
    const auto waiter = cluster.submit(oldPrimary, "job-1");
    cluster.run(500ms);
    CHECK(cluster.starts("job-1") == 0);
    cluster.applyLateWrites();
    cluster.fault = TableFault::None;
    REQUIRE(cluster.runUntil([&] { return cluster.primary() == successor; }));
    CHECK(cluster.error(waiter).code == ErrorCode::Unavailable);
    CHECK(cluster.starts("job-1") == 0);
}

// Guards against a job that the recorded backup does not know: the write that replaces the backup may still take effect
// although the old backup sends heartbeats again.
TEST_CASE("a primary does not return to its old backup while the write of a new one is in doubt" * test_suite("[jobs]"))
{
    SimulatedCluster cluster(3);
    cluster.waitForPair();
    cluster.autoComplete = false;
    const auto primary = *cluster.primary();
    const auto oldBackup = *cluster.backup();
    const auto newBackup = cluster.third();
    cluster.fault = TableFault::Late;
    // Only the primary misses heartbeats, so the old backup does not attempt a takeover.
    auto& livenessOverrides = cluster.nodes[primary].livenessOverrides;
    livenessOverrides[cluster.nodes[oldBackup].id.vm.value] = Liveness::Dead;
    cluster.publishViews();
    cluster.run(300ms);
    livenessOverrides.clear();
    cluster.publishViews();
    // If the old backup's acknowledgement were enough to start the job, the new backup would have no record of it.
    cluster.submit(primary, "job-1");
    cluster.run(500ms);
    CHECK(cluster.starts("job-1") == 0);
    cluster.applyLateWrites();
    cluster.fault = TableFault::None;
    cluster.run(1s);
    REQUIRE(cluster.runUntil([&] { return cluster.role(newBackup) == ShardRoleKind::Backup; }));
    cluster.submit(primary, "job-1");
    cluster.run(200ms);
    cluster.stop(primary);
    REQUIRE(cluster.runUntil([&] { return cluster.primary() == newBackup; }));
    cluster.submit(newBackup, "job-1");
    cluster.run(1s);
    CHECK(cluster.starts("job-1") == 1);
}

// Guards against two primaries in a network partition, each of which considers the other lost.
TEST_CASE("only one of a partitioned primary and backup becomes primary" * test_suite("[jobs]"))
{
    SimulatedCluster cluster(3);
    cluster.waitForPair();
    cluster.autoComplete = false;
    const auto first = *cluster.primary();
    const auto second = *cluster.backup();
    cluster.partition(first, second, true);
    cluster.submit(first, "job-1");
    cluster.submit(second, "job-1");
    cluster.run(3s);
    for (const auto node : { first, second })
        cluster.submit(node, "job-1");
    cluster.run(3s);
    CHECK(cluster.starts("job-1") <= 1);
    std::set<Epoch> epochs;
    for (const auto& record : cluster.history)
        CHECK(epochs.insert(record.epoch).second);
    int primaries = 0;
    for (std::size_t node = 0; node < 3; ++node)
        primaries += cluster.role(node) == ShardRoleKind::Primary ? 1 : 0;
    CHECK(primaries == 1);
}

// Guards against a second start: the surviving process has no records and cannot tell which jobs ran before both copies
// were lost.
TEST_CASE(
    "after the loss of primary and backup, unknown ids are refused for the retention period" * test_suite("[jobs]"))
{
    SimulatedCluster cluster(3, [](JobLedgerOptions& options) {
        options.role.historyRetention = 60s;
        options.role.unreplicatedConfirmTimeout = 10s;
    });
    cluster.waitForPair();
    cluster.autoComplete = false;
    cluster.submit(*cluster.primary(), "job-1");
    cluster.deliverAll();
    const auto survivor = cluster.third();
    const auto first = *cluster.primary();
    const auto second = *cluster.backup();
    cluster.stop(first);
    cluster.stop(second);
    REQUIRE(cluster.runUntil([&] { return cluster.primary() == survivor; }));
    for (const auto* id : { "job-1", "job-2" }) {
        const auto error = cluster.error(cluster.submit(survivor, id));
        CHECK(error.code == ErrorCode::Unavailable);
        CHECK(error.verdict == Verdict::MayHaveRun);
        CHECK(cluster.error(cluster.get(survivor, id)).verdict == Verdict::MayHaveRun);
    }
    cluster.run(60s);
    CHECK(cluster.error(cluster.submit(survivor, "job-2")).verdict == Verdict::MayHaveRun);
    // The interval also applies after another change of the primary.
    cluster.restart(first);
    cluster.waitForPair();
    cluster.stop(survivor);
    REQUIRE(cluster.runUntil([&] { return cluster.primary() == first; }));
    CHECK(cluster.error(cluster.submit(first, "job-2")).verdict == Verdict::MayHaveRun);
    CHECK(cluster.starts("job-2") == 0);
    cluster.run(20s);
    cluster.submit(first, "job-2");
    cluster.run(100ms);
    CHECK(cluster.starts("job-2") == 1);
    CHECK(cluster.starts("job-1") == 1);
}

// Guards against endless takeovers: two processes that reached the third but not each other each took the shard over at
// once, before either had a backup.
TEST_CASE("two partitioned processes do not take the shard from each other repeatedly" * test_suite("[jobs]"))
{
    SimulatedCluster cluster(3);
    cluster.waitForPair();
    const auto first = *cluster.primary();
    const auto second = *cluster.backup();
    const auto third = cluster.third();
    cluster.stop(second);
    cluster.stop(first);
    cluster.restart(first);
    cluster.restart(second);
    cluster.partition(first, second, true);
    cluster.pause(third);
    cluster.run(3s);
    cluster.resume(third);
    REQUIRE(cluster.runUntil([&] { return cluster.primary().has_value(); }));
    cluster.run(3s);
    const auto writes = cluster.history.size();
    cluster.run(20s);
    CHECK(cluster.history.size() <= writes + 2);
    CHECK(cluster.backup().has_value());
}

// Guards against a primary that stays without a backup, because it waits forever for a candidate that receives nothing.
TEST_CASE("a candidate that sends heartbeats but receives nothing is replaced by the next one" * test_suite("[jobs]"))
{
    SimulatedCluster cluster(4);
    cluster.waitForPair();
    const auto primary = *cluster.primary();
    const auto backup = *cluster.backup();
    std::optional<ProcessId> unreachableCandidate;
    cluster.dropped = [&](const SentMessage& sent) {
        if (!unreachableCandidate && sent.from == cluster.nodes[primary].id && sent.message.has_shard_snapshot())
            unreachableCandidate = sent.to;
        return unreachableCandidate && sent.from == cluster.nodes[primary].id && sent.to == *unreachableCandidate;
    };
    cluster.stop(backup);
    REQUIRE(cluster.runUntil([&] { return cluster.primary() == primary; }, 5s));
    REQUIRE(unreachableCandidate.has_value());
    CHECK(cluster.tableRecord().backup.has_value());
    CHECK(cluster.tableRecord().backup != unreachableCandidate);
}

// Guards against a primary that waits for acknowledgements until the next periodic read, after its backup took over.
TEST_CASE(
    "a primary that receives no acknowledgements reads the table and finds that it was replaced" * test_suite("[jobs]"))
{
    SimulatedCluster cluster(3);
    cluster.waitForPair();
    const auto oldPrimary = *cluster.primary();
    const auto successor = *cluster.backup();
    // Packet loss in one direction: the backup misses the primary's heartbeats and takes over, while the primary still
    // receives those of the backup.
    cluster.dropped = [&](const SentMessage& sent) {
        return sent.from == cluster.nodes[oldPrimary].id && sent.to == cluster.nodes[successor].id;
    };
    cluster.nodes[successor].livenessOverrides[cluster.nodes[oldPrimary].id.vm.value] = Liveness::Dead;
    cluster.publishViews();
    const auto waiter = cluster.submit(oldPrimary, "job-1");
    REQUIRE(cluster.runUntil([&] { return cluster.answer(waiter) != nullptr; }, 1s));
    CHECK(cluster.error(waiter).code == ErrorCode::Unavailable);
    CHECK(cluster.tableRecord().primary == cluster.nodes[successor].id);
    CHECK(cluster.starts("job-1") == 0);
}

// Guards against a second start: after a restart, no process has records of the jobs that ran before.
TEST_CASE("after a restart of all processes, ownership is read from the table and unknown ids are refused"
    * test_suite("[jobs]"))
{
    SimulatedCluster cluster(3);
    cluster.waitForPair();
    const auto epoch = cluster.tableRecord().epoch;
    cluster.submit(*cluster.primary(), "job-1");
    cluster.deliverAll();
    for (std::size_t node = 0; node < 3; ++node)
        cluster.stop(node);
    for (std::size_t node = 0; node < 3; ++node)
        cluster.restart(node);
    cluster.waitForPair();
    CHECK(cluster.tableRecord().epoch > epoch);
    CHECK(cluster.error(cluster.submit(*cluster.primary(), "job-1")).verdict == Verdict::MayHaveRun);
    CHECK(cluster.starts("job-1") == 1);
}

// Guards against a start by a primary without a backup that was replaced during a pause.
TEST_CASE("a paused primary without a backup reads its record before it starts a job" * test_suite("[jobs]"))
{
    SimulatedCluster cluster(2);
    cluster.stop(1);
    REQUIRE(cluster.runUntil([&] { return cluster.primary() == 0U; }));
    cluster.run(3s);
    cluster.pause(0);
    cluster.restart(1);
    REQUIRE(cluster.runUntil([&] { return cluster.primary() == 1U; }));
    cluster.nodes[0].paused = false;
    cluster.submit(0, "job-1");
    CHECK(cluster.starts("job-1") == 0);
    cluster.run(1s);
    CHECK(cluster.starts("job-1") == 0);
}

// Guards against admissions by a primary that was replaced by a process from which it receives no heartbeats.
TEST_CASE("a primary without a backup stops admitting jobs when it cannot confirm its record" * test_suite("[jobs]"))
{
    SimulatedCluster cluster(2);
    cluster.stop(1);
    REQUIRE(cluster.runUntil([&] { return cluster.primary() == 0U; }));
    cluster.fault = TableFault::NotSent;
    cluster.run(100s);
    cluster.submit(0, "job-1");
    CHECK(cluster.starts("job-1") == 1);
    cluster.run(30s);
    CHECK(cluster.error(cluster.submit(0, "job-2")).code == ErrorCode::Unavailable);
    cluster.fault = TableFault::None;
    cluster.run(1s);
    cluster.submit(0, "job-2");
    CHECK(cluster.starts("job-2") == 1);
}
