#pragma once

#include "balsammill/shards/JobSpec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Balsammill::Shards {

/// The state of one task that a later owner of the shard needs.
struct TaskProgress {
    bool done { false };
    /// Number of failed runs.
    std::uint32_t failures { 0 };
    /// Highest run number whose end the other fields include.
    RunNumber countedRun {};

    bool operator==(const TaskProgress&) const = default;
};

/// Progress of one occurrence of a job.
struct JobProgress {
    /// Tasks by step and index.
    std::vector<std::vector<TaskProgress>> steps;
    RunNumber highestRun {};

    bool operator==(const JobProgress&) const = default;
};

} // namespace Balsammill::Shards
