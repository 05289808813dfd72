#pragma once

#include "balsammill/shards/JobSpec.h"

#include <memory>
#include <variant>
#include <vector>

namespace Balsammill::Shards {

/// Position in the order in which an engine counted the ends of tasks.
using ProgressMark = StrongNumber<struct ProgressMarkTag>;

/// Send a start to an upstream.
struct StartTask {
    UpstreamId upstream;
    TaskKey task;
    RunNumber run;
    std::shared_ptr<const JobSpec> job;
    std::string checkpoint;
    /// Empty unless placement on the job's queue is advised.
    std::string ticket {};
};

/// Ask the advice service which of the upstreams may run a step; answered with handlePermits().
struct AskPermits {
    OccurrenceKey job;
    std::uint32_t step { 0 };
    AdvicePolicy policy {};
    std::vector<UpstreamId> upstreams;
};

/// Send a stop to an upstream.
struct StopTask {
    UpstreamId upstream;
    TaskKey task;
    RunNumber run;
};

enum class JobResult {
    Completed,
    /// A task has failed as often as the queue allows.
    Failed,
    /// Another submission of the same job has replaced this one; its result is not known here.
    Superseded,
    /// The job was not started and will not be.
    NotRun,
};

/// Answer a submission, or note the end of an occurrence of a durable job; then there is no submission.
struct FinishJob {
    SubmissionId submission {};
    OccurrenceKey job;
    JobResult result { JobResult::Completed };
    /// Longest time a task of the job waited for room, for logs and metrics.
    Duration waited {};
};

/// Something that was learned, for the log; nothing has to be sent.
struct TaskFailed {
    UpstreamId upstream;
    TaskKey task;
    RunNumber run;
    std::uint32_t failures { 0 };
    std::uint32_t maxAttempts { 0 };
};

/// An upstream gets no tasks for a while, because tasks failed or stood still there.
struct UpstreamSuspected {
    UpstreamId upstream;
    Duration pause {};
};

/// An end of a task of a durable job was counted. It has to be recorded before the upstream may forget it.
struct ProgressChanged {
    OccurrenceKey job;
    /// To be handed to handleRecorded() with the job once the progress is in the store.
    ProgressMark mark;
};

/// A run that an earlier owner started counts as one of this owner's; nothing has to be sent.
struct TaskAdopted {
    UpstreamId upstream;
    TaskKey task;
    RunNumber run;
};

using ShardAction = std::variant<StartTask, StopTask, FinishJob, TaskFailed, UpstreamSuspected, ProgressChanged,
    TaskAdopted, AskPermits>;
using ShardActions = std::vector<ShardAction>;

} // namespace Balsammill::Shards
