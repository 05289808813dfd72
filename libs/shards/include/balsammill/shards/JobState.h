#pragma once

#include "balsammill/shards/CompletedOccurrences.h"
#include "balsammill/shards/JobProgress.h"

#include <cstdint>
#include <limits>
#include <optional>
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
    /// The compact form, for a job with many completed occurrences: they are listed here and not in occurrences.
    std::optional<CompletedOccurrences> completions {};

    std::size_t completedOccurrences() const;
};

/// Bounds that keep the stored state of a job within a row of the store.
struct StoredStateLimits {
    /// Occurrences that may be open at a time, those included whose completion is not stored yet.
    std::uint32_t maxOpenOccurrences { std::numeric_limits<std::uint32_t>::max() };
    /// Completed occurrences that are listed one by one; with more of them the state has the compact form.
    std::uint32_t maxListedCompletions { std::numeric_limits<std::uint32_t>::max() };
};

} // namespace Balsammill::Shards
