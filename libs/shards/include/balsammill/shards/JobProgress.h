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
    /// The other failed runs, in increasing order. Records of former versions and very large records lack them.
    std::vector<RunNumber> earlierRuns {};

    /// True if the failure of this run is included. Ends may arrive in any order, so a number below countedRun alone
    /// does not show it. It counts as included if the earlier runs are not all known.
    bool includesFailure(RunNumber) const;
    void addFailure(RunNumber);

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
