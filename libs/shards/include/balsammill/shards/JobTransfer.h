#pragma once

#include "balsammill/shards/JobProgress.h"
#include "balsammill/shards/RunTimeModel.h"

#include <memory>
#include <vector>

namespace Balsammill::Shards {

/// A run of a task that an earlier owner has ordered; it may be going on.
struct ExpectedRun {
    std::uint32_t step { 0 };
    std::uint32_t index { 0 };
    RunNumber run {};
    UpstreamId upstream {};
    /// When its start was sent.
    TimePoint orderedAt {};
};

/// An unfinished occurrence of a job, with all that another owner of the shard needs to go on with it.
struct TransferredJob {
    OccurrenceKey key;
    /// Null for a durable job, which is in the store.
    std::shared_ptr<const JobSpec> spec {};
    /// Of a durable job the store may have less.
    JobProgress progress {};
    /// Number of the submission at the earlier owner; 0 for a durable job.
    SubmissionId submission {};
    TimePoint submittedAt {};
    TimePoint answerBy { TimePoint::max() };
    std::vector<ExpectedRun> expected {};
};

} // namespace Balsammill::Shards
