#include "LedgerWorld.h"

#include <doctest/doctest.h>

using namespace Balsammill;
using namespace Balsammill::Test;
using namespace std::chrono_literals;
using doctest::test_suite;

namespace {

// True for messages that carry a job record and come from this node.
auto replicationFrom(const LedgerWorld& world, std::size_t node)
{
    return [&world, node](const SentMessage& sent) {
        return sent.from == world.nodes[node].id && sent.message.has_replicate_job();
    };
}

} // namespace

TEST_CASE("a job starts once its backup has acknowledged it and is answered" * test_suite("[jobs]"))
{
    LedgerWorld world(3);
    world.settlePair();
    const auto waiter = world.submit(*world.primary(), "job-1");
    CHECK(world.starts("job-1") == 0);
    world.deliverAll();
    CHECK(world.starts("job-1") == 1);
    CHECK(world.state(waiter) == balsammill::v1::JOB_STATE_COMPLETE);
}

TEST_CASE("a lost replication is repeated and repeated messages start nothing twice" * test_suite("[jobs]"))
{
    LedgerWorld world(3);
    world.settlePair();
    world.autoComplete = false;
    std::vector<SentMessage> seen;
    bool lose = true;
    world.dropped = [&](const SentMessage& sent) {
        seen.push_back(sent);
        return lose;
    };
    world.submit(*world.primary(), "job-1");
    world.run(300ms);
    CHECK(world.starts("job-1") == 0);
    lose = false;
    world.run(300ms);
    CHECK(world.starts("job-1") == 1);
    // Duplicates in the reverse order.
    const auto copies = seen;
    for (const auto& sent : copies)
        world.messages.push_front(sent);
    world.run(1s);
    CHECK(world.starts("job-1") == 1);
}

TEST_CASE("an entry that is not the primary redirects a submission" * test_suite("[jobs]"))
{
    LedgerWorld world(3);
    world.settlePair();
    for (const auto node : { *world.backup(), world.third() }) {
        const auto waiter = world.submit(node, "job-1");
        CHECK(world.redirects.at(waiter) == world.nodes[*world.primary()].id);
    }
    CHECK(world.starts("job-1") == 0);
}

TEST_CASE("a resubmission joins the running job, then receives the stored answer" * test_suite("[jobs]"))
{
    LedgerWorld world(3);
    world.settlePair();
    world.autoComplete = false;
    const auto primary = *world.primary();
    const auto first = world.submit(primary, "job-1");
    world.deliverAll();
    const auto second = world.submit(primary, "job-1");
    const auto running = world.get(primary, "job-1");
    CHECK(world.state(running) == balsammill::v1::JOB_STATE_RUNNING);
    CHECK(world.answer(second) == nullptr);
    world.complete(primary, "job-1");
    world.deliverAll();
    const auto third = world.submit(primary, "job-1");
    for (const auto waiter : { first, second, third })
        CHECK(world.state(waiter) == balsammill::v1::JOB_STATE_COMPLETE);
    CHECK(world.starts("job-1") == 1);
}

TEST_CASE("the same id with other content is refused as not run" * test_suite("[jobs]"))
{
    LedgerWorld world(3);
    world.settlePair();
    world.submit(*world.primary(), "job-1", "x");
    world.deliverAll();
    const auto error = world.error(world.submit(*world.primary(), "job-1", "y"));
    CHECK(error.code == ErrorCode::AlreadyExists);
    CHECK(error.verdict == Verdict::NotRun);
    CHECK(world.starts("job-1") == 1);
}

TEST_CASE("an outcome is returned after its replication, but without it if the backup is silent" * test_suite("[jobs]"))
{
    LedgerWorld world(2);
    world.settlePair();
    world.autoComplete = false;
    const auto primary = *world.primary();
    const auto waiter = world.submit(primary, "job-1");
    world.deliverAll();
    world.dropped = replicationFrom(world, primary);
    world.complete(primary, "job-1");
    world.run(200ms);
    CHECK(world.answer(waiter) == nullptr);
    CHECK(world.state(world.get(primary, "job-1")) != balsammill::v1::JOB_STATE_COMPLETE);
    world.run(400ms);
    CHECK(world.state(waiter) == balsammill::v1::JOB_STATE_COMPLETE);
    // The backup learns the outcome as soon as messages pass again.
    world.dropped = {};
    world.run(400ms);
    const auto backup = *world.backup();
    world.stop(primary);
    REQUIRE(world.runUntil([&] { return world.primary() == backup; }));
    CHECK(world.state(world.submit(backup, "job-1")) == balsammill::v1::JOB_STATE_COMPLETE);
}

TEST_CASE("an entry alone in its domain starts jobs, and a later entry receives them" * test_suite("[jobs]"))
{
    LedgerWorld world(2);
    world.stop(1);
    REQUIRE(world.runUntil([&] { return world.primary() == 0U; }));
    const auto waiter = world.submit(0, "job-1");
    world.deliverAll();
    CHECK(world.state(waiter) == balsammill::v1::JOB_STATE_COMPLETE);
    world.autoComplete = false;
    world.submit(0, "job-2");
    CHECK(world.starts("job-2") == 1);
    world.restart(1);
    world.settlePair();
    world.stop(0);
    REQUIRE(world.runUntil([&] { return world.primary() == 1U; }));
    CHECK(world.state(world.submit(1, "job-1")) == balsammill::v1::JOB_STATE_COMPLETE);
    world.submit(1, "job-2");
    world.run(1s);
    CHECK(world.starts("job-2") == 1);
}

TEST_CASE("a job that is admitted while a new backup is copied to reaches that backup" * test_suite("[jobs]"))
{
    LedgerWorld world(2);
    world.stop(1);
    REQUIRE(world.runUntil([&] { return world.primary() == 0U; }));
    world.autoComplete = false;
    // The snapshot stays in the queue while the primary admits a further job alone.
    world.held = [](const SentMessage& sent) { return sent.message.has_shard_snapshot(); };
    world.restart(1);
    world.run(100ms);
    world.submit(0, "job-1");
    CHECK(world.starts("job-1") == 1);
    CHECK(world.history.back().backup == std::nullopt);
    world.held = {};
    world.settlePair();
    world.stop(0);
    REQUIRE(world.runUntil([&] { return world.primary() == 1U; }));
    world.submit(1, "job-1");
    world.run(1s);
    CHECK(world.starts("job-1") == 1);
}

TEST_CASE("a part of a snapshot that was lost keeps the table unchanged" * test_suite("[jobs]"))
{
    LedgerWorld world(2, [](JobLedgerOptions& options) { options.snapshotPartBytes = 1; });
    world.stop(1);
    REQUIRE(world.runUntil([&] { return world.primary() == 0U; }));
    for (const auto* id : { "job-1", "job-2", "job-3" })
        world.submit(0, id);
    world.deliverAll();
    world.dropped = [](const SentMessage& sent) {
        const auto& snapshot = sent.message.shard_snapshot();
        return snapshot.records_size() == 1 && snapshot.records(0).job_key() == testKey("job-2").value;
    };
    world.restart(1);
    world.run(3s);
    CHECK(world.tableRecord().backup == std::nullopt);
    world.dropped = {};
    world.settlePair();
    CHECK(world.nodes[1].ledger->statuses().front().records == 3);
}

TEST_CASE("a shard without a live pair admits nothing while the table cannot be written" * test_suite("[jobs]"))
{
    LedgerWorld world(3);
    world.settlePair();
    const auto primary = *world.primary();
    world.fault = TableFault::NotSent;
    world.stop(*world.backup());
    world.run(500ms);
    CHECK(world.role(primary) == ShardRoleKind::PrimaryUnconfirmed);
    CHECK(world.error(world.submit(primary, "job-1")).code == ErrorCode::Unavailable);
    world.fault = TableFault::None;
    world.settlePair();
    CHECK(world.primary() == primary);
    world.submit(primary, "job-1");
    world.deliverAll();
    CHECK(world.starts("job-1") == 1);
}

TEST_CASE("a pair goes on while the platform is down" * test_suite("[jobs]"))
{
    LedgerWorld world(3);
    world.settlePair();
    world.fault = TableFault::NotSent;
    world.run(20min);
    const auto waiter = world.submit(*world.primary(), "job-1");
    world.deliverAll();
    CHECK(world.state(waiter) == balsammill::v1::JOB_STATE_COMPLETE);
}

TEST_CASE("a job that awaits its backup starts with the next one" * test_suite("[jobs]"))
{
    LedgerWorld world(3);
    world.settlePair();
    const auto primary = *world.primary();
    const auto backup = *world.backup();
    world.dropped = replicationFrom(world, primary);
    const auto waiter = world.submit(primary, "job-1");
    world.run(100ms);
    world.stop(backup);
    world.dropped = {};
    REQUIRE(world.runUntil([&] { return world.answer(waiter) != nullptr; }));
    CHECK(world.starts("job-1") == 1);
    CHECK(world.backup() != backup);
}

TEST_CASE("a leaving backup is replaced while the pair goes on" * test_suite("[jobs]"))
{
    LedgerWorld world(3);
    world.settlePair();
    const auto primary = *world.primary();
    const auto leaving = *world.backup();
    const auto other = world.third();
    world.nodes[leaving].leaving = true;
    world.publishViews();
    REQUIRE(world.runUntil([&] { return world.role(other) == ShardRoleKind::Backup; }));
    CHECK(world.primary() == primary);
    CHECK_FALSE(world.nodes[leaving].ledger->hasSharesToHandOver());
}

TEST_CASE("a leaving primary hands its shard over and reports the outcome of its job" * test_suite("[jobs]"))
{
    LedgerWorld world(3);
    world.settlePair();
    world.autoComplete = false;
    const auto leaving = *world.primary();
    const auto successor = *world.backup();
    const auto waiter = world.submit(leaving, "job-1");
    world.deliverAll();
    world.nodes[leaving].leaving = true;
    world.publishViews();
    CHECK(world.error(world.submit(leaving, "job-2")).code == ErrorCode::Unavailable);
    REQUIRE(world.runUntil([&] { return !world.nodes[leaving].ledger->hasSharesToHandOver(); }));
    REQUIRE(world.runUntil([&] { return world.primary() == successor; }));
    const auto joined = world.submit(successor, "job-1");
    world.complete(leaving, "job-1");
    world.run(1s);
    CHECK(world.state(waiter) == balsammill::v1::JOB_STATE_COMPLETE);
    CHECK(world.state(joined) == balsammill::v1::JOB_STATE_COMPLETE);
    CHECK(world.starts("job-1") == 1);
    CHECK(world.nodes[leaving].ledger->unfinishedJobs() == 0);
}

TEST_CASE("a canceled job that has not started fails as not run" * test_suite("[jobs]"))
{
    LedgerWorld world(3);
    world.settlePair();
    const auto primary = *world.primary();
    world.dropped = replicationFrom(world, primary);
    const auto waiter = world.submit(primary, "job-1");
    const auto cancel = world.cancel(primary, "job-1");
    world.dropped = {};
    world.run(1s);
    for (const auto each : { waiter, cancel })
        CHECK(world.state(each) == balsammill::v1::JOB_STATE_FAILED);
    CHECK(world.starts("job-1") == 0);
}

TEST_CASE("the cancellation of a running job waits for its outcome" * test_suite("[jobs]"))
{
    LedgerWorld world(3);
    world.settlePair();
    world.autoComplete = false;
    const auto primary = *world.primary();
    world.submit(primary, "job-1");
    world.deliverAll();
    const auto cancel = world.cancel(primary, "job-1");
    REQUIRE(world.canceled.size() == 1);
    CHECK(world.answer(cancel) == nullptr);
    world.complete(primary, "job-1");
    world.deliverAll();
    CHECK(world.state(cancel) == balsammill::v1::JOB_STATE_COMPLETE);
}

TEST_CASE("an evicted answer leaves a tombstone that a new backup receives too" * test_suite("[jobs]"))
{
    LedgerWorld world(3, [](JobLedgerOptions& options) { options.answerBytesLimit = 1500; });
    world.settlePair();
    const auto primary = *world.primary();
    for (const auto* id : { "job-1", "job-2", "job-3", "job-4" }) {
        world.submit(primary, id);
        world.deliverAll();
    }
    const auto checkEvicted = [&](std::size_t node) {
        const auto error = world.error(world.submit(node, "job-1"));
        CHECK(error.code == ErrorCode::DataLoss);
        CHECK(error.verdict == Verdict::Ran);
        CHECK(world.error(world.submit(node, "job-1", "other")).code == ErrorCode::AlreadyExists);
        CHECK(world.state(world.submit(node, "job-4")) == balsammill::v1::JOB_STATE_COMPLETE);
    };
    checkEvicted(primary);
    const auto third = world.third();
    world.stop(*world.backup());
    REQUIRE(world.runUntil([&] { return world.role(third) == ShardRoleKind::Backup; }));
    world.stop(primary);
    REQUIRE(world.runUntil([&] { return world.primary() == third; }));
    checkEvicted(third);
}

TEST_CASE("a stored answer is forgotten after the retention period" * test_suite("[jobs]"))
{
    LedgerWorld world(2, [](JobLedgerOptions& options) { options.role.historyRetention = 10s; });
    world.settlePair();
    world.submit(*world.primary(), "job-1");
    world.run(9s);
    CHECK(world.state(world.get(*world.primary(), "job-1")) == balsammill::v1::JOB_STATE_COMPLETE);
    world.run(2s);
    CHECK(world.error(world.get(*world.primary(), "job-1")).code == ErrorCode::NotFound);
}
