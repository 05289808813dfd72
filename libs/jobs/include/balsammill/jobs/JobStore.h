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
    /// Recorded here; not started, because the backup has not acknowledged it yet.
    AwaitingAck,
    /// Started, or recorded by another process that may have started it.
    Running,
    Finished,
};

struct Job {
    JobKey key;
    Digest128 digest {};
    /// Epoch and process that recorded the job; only that process may start it.
    Epoch epoch;
    ProcessId owner;
    JobPhase phase { JobPhase::Running };
    /// Set once finished.
    balsammill::v1::JobResult result {};
    /// Only in the process that recorded the job, until it is started.
    std::shared_ptr<const balsammill::v1::SubmitRequest> submission {};
    std::set<RequestId> waiters {};
    /// True while the backup has not acknowledged the outcome and waiters are held back for it.
    bool outcomeUnacknowledged { false };
    /// A job of another owner fails at this time.
    std::optional<TimePoint> orphanAt {};
    /// Position in the order of finishing.
    std::uint64_t finishOrder { 0 };
};

/// What remains of a finished job whose answer was evicted.
struct Tombstone {
    Digest128 key;
    Digest128 content;
    TimePoint expiresAt;
    Verdict verdict;
};
static_assert(sizeof(Tombstone) <= 48);

/// Job records of one process, by shard. Finished ones are kept for the retention period, their answers within a byte
/// limit.
class JobStore {
public:
    JobStore(std::uint32_t shards, Duration retention, std::size_t answerBytesLimit);

    Job* find(ShardIndex, const JobKey&);
    const Tombstone* findTombstone(ShardIndex, const JobKey&) const;
    Job& insert(ShardIndex, Job);
    void insertTombstone(ShardIndex, const Tombstone&);
    /// Stores the result and starts the retention period. May evict answers of other jobs.
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
    void evictAnswers(std::uint64_t except);
    void forgetFinished(std::uint64_t order);

    std::vector<Shard> shards_;
    Duration retention_;
    std::size_t answerBytesLimit_;
    std::size_t answerBytes_ { 0 };
    std::uint64_t nextFinishOrder_ { 1 };
    std::map<std::uint64_t, Finished> finished_;
    std::deque<TombstoneExpiry> tombstoneExpiries_;
};

} // namespace Balsammill
