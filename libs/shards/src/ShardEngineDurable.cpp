#include "ShardEngineDetail.h"

#include <algorithm>

namespace Balsammill::Shards {

namespace {

// How far the run numbers of an inherited job jump: an earlier owner may have used a few that nobody reports.
constexpr std::uint64_t inheritedRunJump = 8;

} // namespace

void ShardEngine::submitDurable(const OccurrenceKey& key, std::shared_ptr<const JobSpec> spec, TimePoint due)
{
    if (findJob(key) == nullptr)
        addJob(key, std::move(spec), due);
}

void ShardEngine::inheritDurable(
    const OccurrenceKey& key, std::shared_ptr<const JobSpec> spec, TimePoint due, const JobProgress& progress)
{
    if (findJob(key) != nullptr)
        return;
    auto& job = addJob(key, std::move(spec), due);
    job.inherited = true;
    job.highestRun = progress.highestRun;
    job.runFloor = RunNumber(progress.highestRun.value + inheritedRunJump);
    for (std::size_t i = 0; i < std::min(progress.steps.size(), job.steps.size()); ++i) {
        auto& step = job.steps[i];
        const auto& tasks = progress.steps[i];
        for (std::size_t index = 0; index < std::min(tasks.size(), step.tasks.size()); ++index) {
            auto& task = step.tasks[index];
            task.failures = tasks[index].failures;
            task.countedRun = task.run = tasks[index].countedRun;
            if (!tasks[index].done)
                continue;
            task.state = Task::State::Done;
            ++step.done;
            --step.waiting;
        }
        job.started = job.started || step.done > 0;
    }
}

bool ShardEngine::adoptRun(Upstream& upstream, const RunningTask& running, TimePoint now)
{
    auto* job = findJob(running.task.occurrenceKey());
    if (job == nullptr || !job->spec->durable || running.task.step >= job->steps.size())
        return false;
    auto& step = job->steps[running.task.step];
    if (running.task.index >= step.tasks.size())
        return false;
    auto& task = step.tasks[running.task.index];
    if (task.state != Task::State::Waiting || liveRuns_.contains(running.task) || running.run <= task.countedRun)
        return false;
    task.state = Task::State::Active;
    task.run = running.run;
    task.upstream = upstream.info.id;
    --step.waiting;
    ++step.active;
    job->started = true;
    job->highestRun = std::max(job->highestRun, running.run);
    job->firstStartAt = job->lastStartAt = now;
    const auto& need = job->spec->steps[running.task.step].need;
    upstream.room -= need;
    upstream.runs.emplace(running.task,
        Run { .number = running.run,
            .job = job->key,
            .upstream = upstream.info.id,
            .need = need,
            .state = RunState::Running,
            .orderedAt = now,
            .confirmedAt = now,
            .expectedEnd = now + job->expectedRunTime(model_, running.task.step) });
    ++liveRuns_[running.task];
    actions_.emplace_back(TaskAdopted { .upstream = upstream.info.id, .task = running.task, .run = running.run });
    return true;
}

void ShardEngine::cancelDurable(const JobId& id, TimePoint now)
{
    std::vector<OccurrenceKey> keys;
    for (const auto& [key, job] : jobs_) {
        if (key.job == id && job->spec->durable)
            keys.push_back(key);
    }
    for (const auto& key : keys) {
        stopRuns(key, now);
        jobs_.erase(key);
    }
}

std::optional<JobProgress> ShardEngine::progressOf(const OccurrenceKey& key) const
{
    const auto* job = findJob(key);
    if (job == nullptr)
        return std::nullopt;
    JobProgress progress;
    progress.highestRun = job->highestRun;
    for (const auto& step : job->steps) {
        auto& tasks = progress.steps.emplace_back();
        for (const auto& task : step.tasks)
            tasks.push_back(
                { .done = task.state == Task::State::Done, .failures = task.failures, .countedRun = task.countedRun });
    }
    return progress;
}

void ShardEngine::noteUnrecorded(Upstream& upstream, const EndedTask& end)
{
    lastMark_ = ProgressMark(lastMark_.value + 1);
    upstream.unrecorded.push_back({ .sequence = end.sequence, .job = end.task.occurrenceKey(), .mark = lastMark_ });
    actions_.emplace_back(ProgressChanged { .job = end.task.occurrenceKey(), .mark = lastMark_ });
}

void ShardEngine::handleRecorded(const OccurrenceKey& job, ProgressMark mark)
{
    for (auto& [id, upstream] : upstreams_)
        std::erase_if(
            upstream.unrecorded, [&](const UnrecordedEnd& each) { return each.job == job && each.mark <= mark; });
}

bool ShardEngine::hasUnrecordedEnds(const UpstreamId& id) const
{
    const auto found = upstreams_.find(id);
    return found != upstreams_.end() && !found->second.unrecorded.empty();
}

std::uint64_t ShardEngine::lastEndToAcknowledge(const UpstreamId& id) const
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end())
        return 0;
    auto last = found->second.lastEndHandled;
    for (const auto& each : found->second.unrecorded)
        last = std::min(last, each.sequence - 1);
    return last;
}

bool ShardEngine::runsDurable(const UpstreamId& id) const
{
    const auto found = upstreams_.find(id);
    return found != upstreams_.end()
        && std::any_of(found->second.runs.begin(), found->second.runs.end(), [this](const auto& entry) {
               const auto* job = entry.second.job.empty() ? nullptr : findJob(entry.second.job);
               return job != nullptr && job->spec->durable;
           });
}

void ShardEngine::relinquishDurable()
{
    for (auto& [id, upstream] : upstreams_) {
        for (auto& [key, run] : upstream.runs) {
            const auto* job = run.job.empty() ? nullptr : findJob(run.job);
            if (job == nullptr || !job->spec->durable)
                continue;
            run.job = OccurrenceKey();
            run.relinquished = true;
        }
    }
    std::erase_if(jobs_, [](const auto& entry) { return entry.second->spec->durable; });
}

} // namespace Balsammill::Shards
