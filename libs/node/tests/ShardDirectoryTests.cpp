#include "ownership/ShardDirectory.h"

#include <doctest/doctest.h>

#include <map>

using namespace Balsammill;
using std::chrono::milliseconds;

namespace {

const std::vector<FailureDomain> domains { FailureDomain("impasugong"), FailureDomain("lantapan"),
    FailureDomain("malaybalay"), FailureDomain("valencia") };
const Shards::QueueName checks { "checks" };

TimePoint at(int ms) { return TimePoint(Duration(milliseconds(ms))); }

ShardDirectory directoryWith(const Shards::ShardName& shard, Epoch epoch, bool hasDurableJobs)
{
    ShardDirectory directory;
    auto layout = ShardDirectory::encodeLayout(2);
    layout.version = Platform::RowVersion(1);
    directory.apply(layout, at(0));
    auto row
        = ShardDirectory::encode(shard, { .epoch = epoch, .vm = VmName("front-1"), .hasDurableJobs = hasDurableJobs });
    row.version = Platform::RowVersion(2);
    directory.apply(row, at(0));
    return directory;
}

} // namespace

// Guards against two home shards of one job, which would run it twice, and against one shard that stores most jobs.
TEST_CASE("Every entry computes the same home shard for a job, and jobs are spread over all shards")
{
    const auto name = ShardDirectory::shardName(domains[0], 0);
    const auto directory = directoryWith(name, Epoch(1), false);
    const auto other = directoryWith(ShardDirectory::shardName(domains[3], 1), Epoch(9), true);
    std::map<Shards::ShardName, int> counts;
    constexpr int jobs = 8'000;
    for (int i = 0; i < jobs; ++i) {
        const JobId job { std::to_string(1'000'000'007LL * i) };
        const auto home = directory.homeShardOf(job, domains);
        REQUIRE(home.has_value());
        REQUIRE(home == other.homeShardOf(job, domains));
        ++counts[*home];
    }
    CHECK_EQ(counts.size(), 8);
    for (const auto& entry : counts)
        CHECK_MESSAGE(entry.second > jobs / 8 / 2, entry.first.value, " stores ", entry.second, " of ", jobs);
    CHECK_FALSE(ShardDirectory().homeShardOf(JobId("a"), domains).has_value());
}

// Guards against a count of 0 that is returned because an owner's count is missing, stale or from a replaced owner.
TEST_CASE("The number of waiting jobs is known only if every owner of durable jobs has reported its count recently")
{
    const auto shard = ShardDirectory::shardName(domains[0], 0);
    CHECK(directoryWith(shard, Epoch(3), false).waitingJobs(checks, at(0)) == 0U);
    auto directory = directoryWith(shard, Epoch(3), true);
    CHECK_FALSE(directory.waitingJobs(checks, at(0)).has_value());
    directory.updateStatus(shard, { .epoch = Epoch(3), .reportedAt = at(0) });
    CHECK_FALSE(directory.waitingJobs(checks, at(0)).has_value());
    directory.updateStatus(shard, { .waitingByQueue = { { { checks, 6 } } }, .epoch = Epoch(3), .reportedAt = at(0) });
    CHECK(directory.waitingJobs(checks, at(1'000)) == 6U);
    CHECK(directory.waitingJobs(Shards::QueueName("other"), at(1'000)) == 0U);
    CHECK_FALSE(directory.waitingJobs(checks, at(2'000)).has_value());
    // A status of a replaced owner is ignored.
    directory.updateStatus(
        shard, { .waitingByQueue = { { { checks, 1 } } }, .epoch = Epoch(2), .reportedAt = at(1'000) });
    CHECK(directory.waitingJobs(checks, at(1'000)) == 6U);
}

// Guards against a malformed layout record that makes a process iterate over thousands of millions of shards on every
// tick.
TEST_CASE("A layout with zero or too many shards per domain is rejected")
{
    ShardDirectory directory;
    CHECK(directory.apply(ShardDirectory::encodeLayout(2), at(0)));
    for (const auto shards : { 0U, 1'000'000U, 4'294'967'295U }) {
        CHECK_FALSE(directory.apply(ShardDirectory::encodeLayout(shards), at(0)));
        CHECK_EQ(directory.shardsPerDomain(), 2U);
    }
}
