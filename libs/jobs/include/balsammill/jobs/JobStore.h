#pragma once

#include "balsammill/base/ProcessId.h"
#include "balsammill/base/Verdict.h"
#include "balsammill/jobs/JobIdentity.h"

#include "balsammill/v1/jobs.pb.h"

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace Balsammill {

enum class JobPhase {
    /// Recorded by this process but not started, because the backup has not acknowledged the record.
    AwaitingAck,
    /// Started, or recorded by another process that may have started it.
    Running,
    Finished,
};

struct Job {
    JobKey key;
    Digest128 digest {};
    /// Epoch in which the job was recorded, and the process that recorded it. Only that process may start the job.
    Epoch epoch;
    ProcessId owner;
    JobPhase phase { JobPhase::Running };
    /// Set when the job has finished.
    balsammill::v1::JobResult result {};
    /// Present only in the process that recorded the job, until the job is started.
    std::shared_ptr<const balsammill::v1::SubmitRequest> submission {};
    std::set<RequestId> waiters {};
    /// True while the answer to the waiters is delayed until the backup acknowledges the outcome.
    bool outcomeUnacknowledged { false };
    /// Time at which the job fails if its owner, another process, has not reported the outcome.
    std::optional<TimePoint> orphanAt {};
    /// Sequence number in order of completion; 0 if the job has not finished.
    std::uint64_t finishOrder { 0 };
};

/// Remainder of a finished job whose result was evicted.
struct Tombstone {
    Digest128 key;
    Digest128 content;
    TimePoint expiresAt;
    Verdict verdict;
};
static_assert(sizeof(Tombstone) <= 48);

/// Job records of one process, grouped by shard. Finished jobs are kept for the retention period. If their results
/// exceed the byte limit, the oldest are replaced by tombstones.
class JobStore {
public:
    JobStore(std::uint32_t shards, Duration retention, std::size_t answerBytesLimit);

    Job* find(ShardIndex, const JobKey&);
    const Tombstone* findTombstone(ShardIndex, const JobKey&) const;
    Job& insert(ShardIndex, Job);
    void insertTombstone(ShardIndex, const Tombstone&);
    /// Stores the result and starts the retention period. May evict the results of other jobs.
    void finish(ShardIndex, Job&, balsammill::v1::JobResult, TimePoint now);
    void erase(ShardIndex, const JobKey&);
    void expire(TimePoint now);

    std::map<JobKey, Job>& jobs(ShardIndex shard) { return shards_.at(shard.value).jobs; }
    const std::map<JobKey, Job>& jobs(ShardIndex shard) const { return shards_.at(shard.value).jobs; }
    std::map<Digest128, Tombstone>& tombstones(ShardIndex shard) { return shards_.at(shard.value).tombstones; }
    std::size_t answerBytes() const { return answerBytes_; }

private:
    struct Shard {
        std::map<JobKey, Job> jobs;
        std::map<Digest128, Tombstone> tombstones;
    };
    struct Finished {
        ShardIndex shard;
        JobKey key;
        TimePoint expiresAt;
        std::size_t bytes;
    };
    struct TombstoneExpiry {
        TimePoint expiresAt;
        ShardIndex shard;
        Digest128 key;
    };
    void evictAnswers(std::uint64_t excludedOrder);
    void removeFinished(std::uint64_t order);

    std::vector<Shard> shards_;
    Duration retention_;
    std::size_t answerBytesLimit_;
    std::size_t answerBytes_ { 0 };
    std::uint64_t nextFinishOrder_ { 1 };
    std::map<std::uint64_t, Finished> finished_;
    std::deque<TombstoneExpiry> tombstoneExpiries_;
};

} // namespace Balsammill
