#include "LedgerWorld.h"

#include <doctest/doctest.h>

using namespace Balsammill;
using namespace Balsammill::Test;
using namespace std::chrono_literals;
using doctest::test_suite;

namespace {

bool isAck(const SentMessage& sent) { return sent.message.has_replicate_ack(); }

} // namespace

TEST_CASE("the successor never starts a record of an earlier epoch" * test_suite("[jobs]"))
{
    LedgerWorld world(3);
    world.settlePair();
    world.autoComplete = false;
    const auto old = *world.primary();
    const auto successor = *world.backup();
    world.submit(old, "job-1");
    world.deliverAll();
    world.stop(old);
    REQUIRE(world.runUntil([&] { return world.primary() == successor; }));
    const auto waiter = world.submit(successor, "job-1");
    SUBCASE("it fails after the orphan timeout")
    {
        world.run(20s);
        CHECK(world.answer(waiter) == nullptr);
        world.run(15s);
    }
    SUBCASE("it fails once the old incarnation is gone")
    {
        world.restart(old);
        world.run(500ms);
    }
    REQUIRE(world.state(waiter) == balsammill::v1::JOB_STATE_FAILED);
    const auto& result = std::get<balsammill::v1::JobResult>(*world.answer(waiter));
    CHECK(result.verdict() == balsammill::v1::VERDICT_MAY_HAVE_RUN);
    CHECK(world.starts("job-1") == 1);
}

TEST_CASE("an old primary that was paused before the start runs the job and reports it" * test_suite("[jobs]"))
{
    LedgerWorld world(3);
    world.settlePair();
    const auto old = *world.primary();
    const auto successor = *world.backup();
    world.held = isAck;
    world.submit(old, "job-1");
    world.deliverAll();
    world.pause(old);
    world.held = {};
    REQUIRE(world.runUntil([&] { return world.primary() == successor; }));
    const auto waiter = world.submit(successor, "job-1");
    world.run(1s);
    CHECK(world.starts("job-1") == 0);
    world.resume(old);
    // The acknowledgement of the earlier epoch arrives first.
    world.run(2s);
    CHECK(world.starts("job-1") == 1);
    CHECK(world.started.back().node == old);
    CHECK(world.state(waiter) == balsammill::v1::JOB_STATE_COMPLETE);
}

TEST_CASE("an old primary that returns from a pause admits nothing and withdraws its record" * test_suite("[jobs]"))
{
    LedgerWorld world(3);
    world.settlePair();
    world.autoComplete = false;
    const auto old = *world.primary();
    const auto successor = *world.backup();
    world.pause(old);
    REQUIRE(world.runUntil([&] { return world.primary() == successor; }));
    world.nodes[old].paused = false;
    // Its view is not refreshed yet, so it still takes itself for the primary.
    const auto waiter = world.submit(old, "job-1");
    world.run(1s);
    CHECK(world.starts("job-1") == 0);
    const auto error = world.error(waiter);
    CHECK(error.code == ErrorCode::Unavailable);
    world.submit(successor, "job-1");
    world.run(1s);
    CHECK(world.starts("job-1") == 1);
    CHECK(world.started.back().node == successor);
}

TEST_CASE("a record whose acknowledgement was lost is withdrawn, so that a resubmission runs" * test_suite("[jobs]"))
{
    LedgerWorld world(3);
    world.settlePair();
    const auto old = *world.primary();
    const auto successor = *world.backup();
    world.dropped = isAck;
    world.submit(old, "job-1");
    world.deliverAll();
    world.partition(old, successor, true);
    world.pause(old);
    world.dropped = {};
    REQUIRE(world.runUntil([&] { return world.primary() == successor; }));
    const auto waiter = world.submit(successor, "job-1");
    world.run(1s);
    CHECK(world.starts("job-1") == 0);
    world.resume(old);
    world.partition(old, successor, false);
    world.run(1s);
    // The successor learns that the record never starts and lets the waiter try again.
    CHECK(world.error(waiter).code == ErrorCode::Unavailable);
    const auto retried = world.submit(successor, "job-1");
    world.run(1s);
    CHECK(world.state(retried) == balsammill::v1::JOB_STATE_COMPLETE);
    CHECK(world.starts("job-1") == 1);
}

TEST_CASE("a promotion whose answer was lost is read back" * test_suite("[jobs]"))
{
    LedgerWorld world(3);
    world.settlePair();
    const auto old = *world.primary();
    const auto successor = *world.backup();
    const auto epoch = world.tableRecord().epoch;
    SUBCASE("when it took effect") { world.fault = TableFault::AnswerLost; }
    SUBCASE("when it did not") { world.fault = TableFault::RequestLost; }
    world.stop(old);
    world.run(50ms);
    CHECK(world.role(successor) != ShardRoleKind::Primary);
    world.fault = TableFault::None;
    REQUIRE(world.runUntil([&] { return world.primary() == successor; }));
    CHECK(world.tableRecord().epoch.value == epoch.value + 2);
    const auto waiter = world.submit(successor, "job-1");
    world.deliverAll();
    CHECK(world.state(waiter) == balsammill::v1::JOB_STATE_COMPLETE);
}

TEST_CASE("a backup acknowledges nothing while its promotion is in doubt" * test_suite("[jobs]"))
{
    LedgerWorld world(3);
    world.settlePair();
    const auto old = *world.primary();
    const auto successor = *world.backup();
    world.fault = TableFault::Late;
    // Only the backup misses heartbeats, so the old primary goes on replicating to it.
    auto& seen = world.nodes[successor].seen;
    seen[world.nodes[old].id.vm.value] = Liveness::Dead;
    world.publishViews();
    world.run(300ms);
    REQUIRE(world.role(successor) == ShardRoleKind::Promoting);
    // The heartbeats are back before the write has taken effect.
    seen.clear();
    world.publishViews();
    const auto waiter = world.submit(old, "job-1");
    world.run(500ms);
    CHECK(world.starts("job-1") == 0);
    world.applyLateWrites();
    world.fault = TableFault::None;
    REQUIRE(world.runUntil([&] { return world.primary() == successor; }));
    CHECK(world.error(waiter).code == ErrorCode::Unavailable);
    CHECK(world.starts("job-1") == 0);
}

TEST_CASE("a new pair whose write is in doubt is not given up for the old one" * test_suite("[jobs]"))
{
    LedgerWorld world(3);
    world.settlePair();
    world.autoComplete = false;
    const auto primary = *world.primary();
    const auto oldBackup = *world.backup();
    const auto newBackup = world.third();
    world.fault = TableFault::Late;
    // Only the primary misses heartbeats, so the old backup does not try to take over.
    auto& seen = world.nodes[primary].seen;
    seen[world.nodes[oldBackup].id.vm.value] = Liveness::Dead;
    world.publishViews();
    world.run(300ms);
    seen.clear();
    world.publishViews();
    // With the old backup's acknowledgement alone, the named new backup would not know the job.
    world.submit(primary, "job-1");
    world.run(500ms);
    CHECK(world.starts("job-1") == 0);
    world.applyLateWrites();
    world.fault = TableFault::None;
    world.run(1s);
    REQUIRE(world.runUntil([&] { return world.role(newBackup) == ShardRoleKind::Backup; }));
    world.submit(primary, "job-1");
    world.run(200ms);
    world.stop(primary);
    REQUIRE(world.runUntil([&] { return world.primary() == newBackup; }));
    world.submit(newBackup, "job-1");
    world.run(1s);
    CHECK(world.starts("job-1") == 1);
}

TEST_CASE("of two holders that cannot see each other only one becomes primary" * test_suite("[jobs]"))
{
    LedgerWorld world(3);
    world.settlePair();
    world.autoComplete = false;
    const auto first = *world.primary();
    const auto second = *world.backup();
    world.partition(first, second, true);
    world.submit(first, "job-1");
    world.submit(second, "job-1");
    world.run(3s);
    for (const auto node : { first, second })
        world.submit(node, "job-1");
    world.run(3s);
    CHECK(world.starts("job-1") <= 1);
    std::set<Epoch> epochs;
    for (const auto& record : world.history)
        CHECK(epochs.insert(record.epoch).second);
    int primaries = 0;
    for (std::size_t node = 0; node < 3; ++node)
        primaries += world.role(node) == ShardRoleKind::Primary ? 1 : 0;
    CHECK(primaries == 1);
}

TEST_CASE("after the loss of both holders unknown ids are not started for the retention period" * test_suite("[jobs]"))
{
    LedgerWorld world(3, [](JobLedgerOptions& options) {
        options.role.historyRetention = 60s;
        options.role.aloneConfirmLimit = 10s;
    });
    world.settlePair();
    world.autoComplete = false;
    world.submit(*world.primary(), "job-1");
    world.deliverAll();
    const auto survivor = world.third();
    const auto first = *world.primary();
    const auto second = *world.backup();
    world.stop(first);
    world.stop(second);
    REQUIRE(world.runUntil([&] { return world.primary() == survivor; }));
    for (const auto* id : { "job-1", "job-2" }) {
        const auto error = world.error(world.submit(survivor, id));
        CHECK(error.code == ErrorCode::Unavailable);
        CHECK(error.verdict == Verdict::MayHaveRun);
        CHECK(world.error(world.get(survivor, id)).verdict == Verdict::MayHaveRun);
    }
    world.run(60s);
    CHECK(world.error(world.submit(survivor, "job-2")).verdict == Verdict::MayHaveRun);
    // The interval outlives a further change of the primary.
    world.restart(first);
    world.settlePair();
    world.stop(survivor);
    REQUIRE(world.runUntil([&] { return world.primary() == first; }));
    CHECK(world.error(world.submit(first, "job-2")).verdict == Verdict::MayHaveRun);
    CHECK(world.starts("job-2") == 0);
    world.run(20s);
    world.submit(first, "job-2");
    world.run(100ms);
    CHECK(world.starts("job-2") == 1);
    CHECK(world.starts("job-1") == 1);
}

TEST_CASE("two entries that see only the third do not take the shard from each other" * test_suite("[jobs]"))
{
    // Each took over from the other at once, before either had a backup, and so without end.
    LedgerWorld world(3);
    world.settlePair();
    const auto first = *world.primary();
    const auto second = *world.backup();
    const auto third = world.third();
    world.stop(second);
    world.stop(first);
    world.restart(first);
    world.restart(second);
    world.partition(first, second, true);
    world.pause(third);
    world.run(3s);
    world.resume(third);
    REQUIRE(world.runUntil([&] { return world.primary().has_value(); }));
    world.run(3s);
    const auto writes = world.history.size();
    world.run(20s);
    CHECK(world.history.size() <= writes + 2);
    CHECK(world.backup().has_value());
}

TEST_CASE("a candidate that is heard but cannot hear is replaced by the next one" * test_suite("[jobs]"))
{
    // The primary stayed without a pair, because it waited for this candidate without end.
    LedgerWorld world(4);
    world.settlePair();
    const auto primary = *world.primary();
    const auto backup = *world.backup();
    std::optional<ProcessId> deaf;
    world.dropped = [&](const SentMessage& sent) {
        if (!deaf && sent.from == world.nodes[primary].id && sent.message.has_shard_snapshot())
            deaf = sent.to;
        return deaf && sent.from == world.nodes[primary].id && sent.to == *deaf;
    };
    world.stop(backup);
    REQUIRE(world.runUntil([&] { return world.primary() == primary; }, 5s));
    REQUIRE(deaf.has_value());
    CHECK(world.tableRecord().backup.has_value());
    CHECK(world.tableRecord().backup != deaf);
}

TEST_CASE("a primary that its backup no longer hears soon reads that it was replaced" * test_suite("[jobs]"))
{
    LedgerWorld world(3);
    world.settlePair();
    const auto old = *world.primary();
    const auto successor = *world.backup();
    // Loss in one direction: the backup misses the primary's heartbeats and takes over, but is alive for the primary.
    world.dropped = [&](const SentMessage& sent) {
        return sent.from == world.nodes[old].id && sent.to == world.nodes[successor].id;
    };
    world.nodes[successor].seen[world.nodes[old].id.vm.value] = Liveness::Dead;
    world.publishViews();
    const auto waiter = world.submit(old, "job-1");
    REQUIRE(world.runUntil([&] { return world.answer(waiter) != nullptr; }, 1s));
    CHECK(world.error(waiter).code == ErrorCode::Unavailable);
    CHECK(world.tableRecord().primary == world.nodes[successor].id);
    CHECK(world.starts("job-1") == 0);
}

TEST_CASE("a restart of everything takes the owners from the table and the history as unknown" * test_suite("[jobs]"))
{
    LedgerWorld world(3);
    world.settlePair();
    const auto epoch = world.tableRecord().epoch;
    world.submit(*world.primary(), "job-1");
    world.deliverAll();
    for (std::size_t node = 0; node < 3; ++node)
        world.stop(node);
    for (std::size_t node = 0; node < 3; ++node)
        world.restart(node);
    world.settlePair();
    CHECK(world.tableRecord().epoch > epoch);
    CHECK(world.error(world.submit(*world.primary(), "job-1")).verdict == Verdict::MayHaveRun);
    CHECK(world.starts("job-1") == 1);
}

TEST_CASE("a primary alone that was paused reads its record before it admits a job" * test_suite("[jobs]"))
{
    LedgerWorld world(2);
    world.stop(1);
    REQUIRE(world.runUntil([&] { return world.primary() == 0U; }));
    world.run(3s);
    world.pause(0);
    world.restart(1);
    REQUIRE(world.runUntil([&] { return world.primary() == 1U; }));
    world.nodes[0].paused = false;
    world.submit(0, "job-1");
    CHECK(world.starts("job-1") == 0);
    world.run(1s);
    CHECK(world.starts("job-1") == 0);
}

TEST_CASE("a primary alone that cannot confirm its record stops admitting" * test_suite("[jobs]"))
{
    // An entry out of its sight may have taken the shard over.
    LedgerWorld world(2);
    world.stop(1);
    REQUIRE(world.runUntil([&] { return world.primary() == 0U; }));
    world.fault = TableFault::NotSent;
    world.run(100s);
    world.submit(0, "job-1");
    CHECK(world.starts("job-1") == 1);
    world.run(30s);
    CHECK(world.error(world.submit(0, "job-2")).code == ErrorCode::Unavailable);
    world.fault = TableFault::None;
    world.run(1s);
    world.submit(0, "job-2");
    CHECK(world.starts("job-2") == 1);
}
