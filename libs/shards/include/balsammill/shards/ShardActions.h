#pragma once

#include "balsammill/shards/JobSpec.h"

#include <memory>
#include <variant>
#include <vector>

namespace Balsammill::Shards {

/// Send a start to an upstream.
struct StartTask {
    UpstreamId upstream;
    TaskKey task;
    RunNumber run;
    std::shared_ptr<const JobSpec> job;
    std::string checkpoint;
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

/// Answer a submission.
struct FinishJob {
    SubmissionId submission;
    JobId job;
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

using ShardAction = std::variant<StartTask, StopTask, FinishJob, TaskFailed, UpstreamSuspected>;
using ShardActions = std::vector<ShardAction>;

} // namespace Balsammill::Shards
