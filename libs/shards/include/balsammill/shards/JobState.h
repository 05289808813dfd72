#pragma once

#include "balsammill/shards/JobProgress.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace Balsammill::Shards {

/// State of a durable job as reported to its client.
enum class JobState {
    /// No task has started yet.
    Queued,
    Running,
    Completed,
    /// A task has reached the maximum number of failed runs that the queue allows.
    Failed,
    Cancelled,
};

std::string_view nameOf(JobState);
/// True if a job in this state has ended.
bool isFinal(JobState);

/// Stored record of an occurrence that has started.
struct OccurrenceRecord {
    std::uint32_t occurrence { 0 };
    bool completed { false };
    /// Empty once the occurrence is completed.
    JobProgress progress {};
};

/// Stored record of a durable job, kept beside its specification.
struct JobStateRecord {
    JobState state { JobState::Queued };
    std::vector<OccurrenceRecord> occurrences {};
    /// Unix time in milliseconds at which the state became final; 0 until then.
    std::int64_t endedUnixMs { 0 };
};

} // namespace Balsammill::Shards
