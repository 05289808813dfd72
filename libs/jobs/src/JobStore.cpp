#include "balsammill/jobs/JobStore.h"

#include <utility>

namespace Balsammill {

namespace {

// Memory of a job record besides its answers: keys, tree nodes and the protobuf object.
constexpr std::size_t recordOverheadBytes = 512;

Verdict verdictOf(const balsammill::v1::JobResult& result)
{
    switch (result.verdict()) {
    case balsammill::v1::VERDICT_NOT_RUN:
        return Verdict::NotRun;
    case balsammill::v1::VERDICT_RAN:
        return Verdict::Ran;
    default:
        return Verdict::MayHaveRun;
    }
}

} // namespace

JobStore::JobStore(std::uint32_t shards, Duration retention, std::size_t answerBytesLimit)
    : shards_(shards)
    , retention_(retention)
    , answerBytesLimit_(answerBytesLimit)
{
}

Job* JobStore::find(ShardIndex shard, const JobKey& key)
{
    auto& all = jobs(shard);
    const auto found = all.find(key);
    return found == all.end() ? nullptr : &found->second;
}

const Tombstone* JobStore::findTombstone(ShardIndex shard, const JobKey& key) const
{
    const auto& all = shards_.at(shard.value).tombstones;
    if (all.empty())
        return nullptr;
    const auto found = all.find(keyDigest(key));
    return found == all.end() ? nullptr : &found->second;
}

Job& JobStore::insert(ShardIndex shard, Job job)
{
    const auto key = job.key;
    return jobs(shard).insert_or_assign(key, std::move(job)).first->second;
}

void JobStore::insertTombstone(ShardIndex shard, const Tombstone& tombstone)
{
    if (tombstones(shard).insert_or_assign(tombstone.key, tombstone).second)
        tombstoneExpiries_.push_back({ tombstone.expiresAt, shard, tombstone.key });
}

void JobStore::finish(ShardIndex shard, Job& job, balsammill::v1::JobResult result, TimePoint now)
{
    job.phase = JobPhase::Finished;
    job.result = std::move(result);
    job.submission.reset();
    job.orphanAt.reset();
    job.finishOrder = nextFinishOrder_++;
    const auto bytes = job.result.ByteSizeLong() + 2 * job.key.value.size() + recordOverheadBytes;
    answerBytes_ += bytes;
    finished_.emplace(job.finishOrder, Finished { shard, job.key, now + retention_, bytes });
    evictAnswers(job.finishOrder);
}

void JobStore::evictAnswers(std::uint64_t excludedOrder)
{
    auto oldest = finished_.begin();
    while (answerBytes_ > answerBytesLimit_ && oldest != finished_.end()) {
        const auto current = oldest++;
        const auto& [order, finished] = *current;
        const auto& job = jobs(finished.shard).at(finished.key);
        // The result that was just stored, and results that waiters are about to receive, are not evicted.
        if (order == excludedOrder || !job.waiters.empty())
            continue;
        insertTombstone(
            finished.shard, Tombstone { keyDigest(job.key), job.digest, finished.expiresAt, verdictOf(job.result) });
        jobs(finished.shard).erase(job.key);
        removeFinished(order);
    }
}

void JobStore::removeFinished(std::uint64_t order)
{
    const auto found = finished_.find(order);
    if (found == finished_.end())
        return;
    answerBytes_ -= found->second.bytes;
    finished_.erase(found);
}

void JobStore::erase(ShardIndex shard, const JobKey& key)
{
    const auto* job = find(shard, key);
    if (!job)
        return;
    removeFinished(job->finishOrder);
    jobs(shard).erase(key);
}

void JobStore::expire(TimePoint now)
{
    while (!finished_.empty() && finished_.begin()->second.expiresAt <= now) {
        const auto shard = finished_.begin()->second.shard;
        erase(shard, JobKey(finished_.begin()->second.key));
    }
    while (!tombstoneExpiries_.empty() && tombstoneExpiries_.front().expiresAt <= now) {
        const auto& front = tombstoneExpiries_.front();
        auto& all = tombstones(front.shard);
        const auto found = all.find(front.key);
        // A tombstone that was replaced meanwhile expires later than this queue entry says.
        if (found != all.end() && found->second.expiresAt <= now)
            all.erase(found);
        tombstoneExpiries_.pop_front();
    }
}

} // namespace Balsammill
