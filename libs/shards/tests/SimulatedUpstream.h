#pragma once

#include "balsammill/shards/ShardEngine.h"

#include <map>
#include <vector>

namespace Balsammill::Shards::Testing {

/// Model of an upstream. It runs the tasks that it is sent, keeps the highest fencing token and, for each task, the
/// highest run number that was started or stopped, and lists ends until they are acknowledged.
struct SimulatedUpstream {
    struct Running {
        TaskKey task;
        RunNumber run;
        std::int64_t milliCores { 0 };
        int endsAt { 0 };
        /// When a stop takes effect; 0 if the run is not being stopped. Until then the run is in neither list of a
        /// report and still uses its capacity.
        int stopEffectiveAt { 0 };
        /// Size of the gang that the task belongs to; 1 if there is none.
        std::uint32_t gangSize { 1 };
    };
    std::int64_t capacity { 32'000 };
    std::int64_t startedUnixMs { 1000 };
    std::uint64_t fencingToken { 0 };
    std::vector<Running> running;
    std::map<TaskKey, RunNumber> highestRuns;
    std::vector<EndedTask> ended;
    /// Maximum number of ends in a report.
    std::size_t maxListedEnds { 500 };
    std::uint64_t lastSequence { 0 };
    int leaseUntil { 0 };
    /// Runs that ended as done, whether their ends are still listed or not.
    struct Done {
        std::uint64_t sequence { 0 };
        TaskKey task;
        /// The task was started again after this run ended.
        bool startedAgain { false };
        /// The lease has expired since, or the end was dropped before an owner saw it, so the task may run again.
        bool mayRunAgain { false };
        bool acknowledged { false };
    };
    std::vector<Done> done;

    void end(const TaskKey&, RunEnd);
    /// The new incarnation under the same id starts without any state.
    void restart();
    UpstreamReport report(std::uint64_t acknowledged, bool ofThisIncarnation = true);
};

} // namespace Balsammill::Shards::Testing
