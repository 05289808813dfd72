#pragma once

#include "balsammill/shards/JobProgress.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace Balsammill::Shards {

/// What the client of a durable job is told about it.
enum class JobState {
    /// No task has started yet.
    Queued,
    Running,
    Completed,
    /// A task has failed as often as the queue allows.
    Failed,
    Cancelled,
};

std::string_view nameOf(JobState);
/// True if the state changes no more.
bool isFinal(JobState);

/// What the store keeps of an occurrence that has begun.
struct OccurrenceRecord {
    std::uint32_t occurrence { 0 };
    bool completed { false };
    /// Empty once it is completed.
    JobProgress progress {};
};

/// What the store keeps of a durable job besides its specification.
struct JobStateRecord {
    JobState state { JobState::Queued };
    std::vector<OccurrenceRecord> occurrences {};
    /// Unix time in milliseconds at which the state became final; 0 before.
    std::int64_t endedUnixMs { 0 };
};

} // namespace Balsammill::Shards
