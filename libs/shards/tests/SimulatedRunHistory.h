#pragma once

#include "balsammill/shards/JobState.h"
#include "balsammill/shards/ShardActions.h"
#include "balsammill/shards/UpstreamInfo.h"

#include <map>
#include <set>
#include <string>

namespace Balsammill::Shards::Testing {

/// All starts and ends of durable tasks, over all owners, and the rules that they have to keep.
class SimulatedRunHistory {
public:
    /// An owner starts a task. Returns the rule that it breaks, or nothing: the numbers of a task's starts rise, and
    /// the members of a gang share one.
    std::string noteStart(const StartTask&);
    void noteEnd(const TaskKey&, RunNumber, RunEnd);
    /// Returns the rule that the final state of a job breaks, or nothing: each task of a completed job has completed,
    /// and a task of a failed job has failed as often as permitted.
    std::string checkFinal(const JobSpec&, JobState) const;

private:
    struct Task {
        RunNumber lastStart {};
        bool done { false };
        std::set<RunNumber> failed {};
    };
    struct Gang {
        RunNumber run {};
        std::uint32_t members { 0 };
    };

    std::map<TaskKey, Task> tasks_;
    // By the first member.
    std::map<TaskKey, Gang> gangs_;
};

} // namespace Balsammill::Shards::Testing
