#pragma once

#include "balsammill/shards/JobSpec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Balsammill::Shards {

/// What has become of one task so far, as far as a later owner of the shard has to know it.
struct TaskProgress {
    bool done { false };
    /// Runs that ended in failure.
    std::uint32_t failures { 0 };
    /// Highest run whose end is counted in the other fields.
    RunNumber countedRun {};

    bool operator==(const TaskProgress&) const = default;
};

/// Progress of one occurrence of a job: its tasks by step.
struct JobProgress {
    std::vector<std::vector<TaskProgress>> steps;
    RunNumber highestRun {};

    bool operator==(const JobProgress&) const = default;
};

} // namespace Balsammill::Shards
