#pragma once

#include "balsammill/shards/JobSpec.h"

#include <cstddef>
#include <memory>
#include <variant>
#include <vector>

namespace Balsammill::Shards {

/// Sequence number of a progress change within one engine.
using ProgressMark = StrongNumber<struct ProgressMarkTag>;

/// Send a start to an upstream.
struct StartTask {
    UpstreamId upstream;
    TaskKey task;
    RunNumber run;
    std::shared_ptr<const JobSpec> job;
    std::string checkpoint;
    /// Empty unless the job uses placement advice.
    std::string ticket {};
};

/// Ask the advice service which of the upstreams may run a step; the answer is passed to handlePermits().
struct PermitRequest {
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
    /// A task has reached the maximum number of failed runs.
    Failed,
    /// Another submission of the same job has replaced this one and gets the result.
    Superseded,
    /// No task of the job was started or will be.
    NotRun,
    /// No task of the job was started or will be in this shard, because its failure domain is evacuated.
    Evacuated,
    /// Some tasks have run, and the others cannot be started because the failure domain is evacuated.
    Interrupted,
};

/// Answer a submission, or record the end of an occurrence of a durable job.
struct FinishJob {
    /// Not set for a durable job.
    SubmissionId submission {};
    OccurrenceKey job;
    JobResult result { JobResult::Completed };
    /// Time from submission until the last start of a task, or until now if none has started; for logs and metrics.
    Duration waited {};
    /// The job, if the result is Evacuated: it may be submitted to another shard.
    std::shared_ptr<const JobSpec> spec {};
};

/// A run of a task has failed. For the log only; nothing has to be sent.
struct TaskFailed {
    UpstreamId upstream;
    TaskKey task;
    RunNumber run;
    std::uint32_t failures { 0 };
    std::uint32_t maxAttempts { 0 };
};

/// An upstream gets no tasks for the given time, because it failed tasks, did not finish them in time or was unhealthy.
struct UpstreamSuspected {
    UpstreamId upstream;
    Duration pause {};
};

/// The progress of a durable job has changed. It has to be written to the store before the ends of its runs are
/// acknowledged to the upstreams.
struct ProgressChanged {
    OccurrenceKey job;
    /// To be passed to handleRecorded() with the job once the progress is in the store.
    ProgressMark mark;
};

/// This owner has adopted a run that an earlier owner started; nothing has to be sent.
struct TaskAdopted {
    UpstreamId upstream;
    TaskKey task;
    RunNumber run;
};

/// A report of the upstream shows that a needed run no longer exists, without listing its end, so its task is started
/// again. For the log only; nothing has to be sent.
struct RunLost {
    UpstreamId upstream;
    TaskKey task;
    RunNumber run;
    /// Number of ends in the report.
    std::size_t listedEnds { 0 };
};

using ShardAction = std::variant<StartTask, StopTask, FinishJob, TaskFailed, UpstreamSuspected, ProgressChanged,
    TaskAdopted, RunLost, PermitRequest>;
using ShardActions = std::vector<ShardAction>;

} // namespace Balsammill::Shards
