#include "SimulatedRunHistory.h"

#include <algorithm>
#include <utility>

namespace Balsammill::Shards::Testing {

std::string SimulatedRunHistory::noteStart(const StartTask& start)
{
    const auto name = "run " + std::to_string(start.run.value) + " of a task of " + start.task.job.value + " ";
    const auto last = std::exchange(tasks_[start.task].lastStart, start.run);
    if (start.run <= last)
        return name + "does not follow run " + std::to_string(last.value);
    const auto& step = start.job->steps[start.task.step];
    if (!step.gang)
        return {};
    auto first = start.task;
    first.index = 0;
    auto& gang = gangs_[first];
    if (gang.run != start.run && gang.members % step.count != 0)
        return name + "is not shared by all members of its gang";
    gang.members = gang.run == start.run ? gang.members + 1 : 1;
    gang.run = start.run;
    return {};
}

void SimulatedRunHistory::noteEnd(const TaskKey& key, RunNumber run, RunEnd how)
{
    auto& task = tasks_[key];
    task.done = task.done || how == RunEnd::Done;
    if (how == RunEnd::Failed)
        task.failed.insert(run);
}

std::string SimulatedRunHistory::checkFinal(const JobSpec& spec, JobState state) const
{
    std::size_t mostFailures = 0;
    std::size_t completed = 0;
    for (auto it = tasks_.lower_bound({ .job = spec.id }); it != tasks_.end() && it->first.job == spec.id; ++it) {
        mostFailures = std::max(mostFailures, it->second.failed.size());
        completed += it->second.done ? 1 : 0;
    }
    std::size_t tasks = 0;
    for (const auto& step : spec.steps)
        tasks += step.count * (spec.schedule ? spec.schedule->count : 1);
    if (state == JobState::Completed && completed < tasks)
        return "job " + spec.id.value + " is completed before its tasks are";
    if (state == JobState::Failed && mostFailures < spec.maxAttempts)
        return "job " + spec.id.value + " has failed after fewer attempts than are permitted";
    if (state != JobState::Completed && state != JobState::Failed)
        return "job " + spec.id.value + " does not end";
    return {};
}

} // namespace Balsammill::Shards::Testing
