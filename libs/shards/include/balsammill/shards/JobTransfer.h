#pragma once

#include "balsammill/shards/JobProgress.h"
#include "balsammill/shards/RunTimeModel.h"

#include <memory>
#include <vector>

namespace Balsammill::Shards {

/// A run whose start an earlier owner has sent and which may still be in progress.
struct ExpectedRun {
    std::uint32_t step { 0 };
    std::uint32_t index { 0 };
    RunNumber run {};
    UpstreamId upstream {};
    /// When its start was sent; if the owner did not know that, when it learned of the run.
    TimePoint startSentAt {};
};

/// An occurrence of a job, with everything that the next owner of the shard needs to continue it. It is unfinished, or
/// it is durable and the store does not have its last progress yet.
struct TransferredJob {
    OccurrenceKey key;
    /// Null for a durable job; its specification is in the store.
    std::shared_ptr<const JobSpec> spec {};
    /// For a durable job this may be newer than the progress in the store.
    JobProgress progress {};
    /// Id of the submission at the earlier owner; 0 for a durable job.
    SubmissionId submission {};
    TimePoint submittedAt {};
    /// When the client stops waiting for the result.
    TimePoint responseDeadline { TimePoint::max() };
    /// Runs that the upstreams may still report.
    std::vector<ExpectedRun> expected {};
};

} // namespace Balsammill::Shards
