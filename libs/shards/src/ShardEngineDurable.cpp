#include "ShardEngineDetail.h"

#include <algorithm>
#include <unordered_map>

namespace Balsammill::Shards {

void ShardEngine::setRunNumbers(RunNumber floor, RunNumber last)
{
    runNumberFloor_ = floor;
    lastReservedRun_ = last;
}

bool ShardEngine::takeRunNumber(const Job& job, RunNumber number)
{
    if (!job.spec->durable)
        return true;
    highestNeededRun_ = std::max(highestNeededRun_, number);
    return number <= lastReservedRun_;
}

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
    applyProgress(job, progress);
    job.runFloor = std::max({ job.runFloor, runNumberFloor_, progress.highestRun });
}

std::vector<OccurrenceKey> ShardEngine::durableOccurrencesOf(const JobId& id) const
{
    std::vector<OccurrenceKey> keys;
    for (const auto& [key, job] : jobs_) {
        if (key.job == id && job->spec->durable)
            keys.push_back(key);
    }
    return keys;
}

void ShardEngine::failDurable(const JobId& id, TimePoint now)
{
    // A later owner that does not find the final state continues these occurrences.
    for (const auto& key : durableOccurrencesOf(id)) {
        const auto mark = emitProgressChanged(key);
        unrecordedJobs_[key] = { .mark = mark, .progress = progressOf(*findJob(key)) };
    }
    cancelDurable(id, now);
}

void ShardEngine::cancelDurable(const JobId& id, TimePoint now)
{
    for (const auto& key : durableOccurrencesOf(id)) {
        stopRuns(key, now);
        jobs_.erase(key);
    }
}

std::optional<JobProgress> ShardEngine::progressOf(const OccurrenceKey& key) const
{
    const auto* job = findJob(key);
    return job == nullptr ? std::nullopt : std::optional(progressOf(*job));
}

JobProgress ShardEngine::progressOf(const Job& job)
{
    JobProgress progress;
    progress.highestRun = job.highestRun;
    for (const auto& step : job.steps) {
        auto& tasks = progress.steps.emplace_back();
        for (const auto& task : step.tasks) {
            tasks.push_back(task.counted);
            tasks.back().done = task.state == Task::State::Done;
        }
    }
    return progress;
}

void ShardEngine::trackUnrecordedEnd(Upstream& upstream, const EndedTask& end)
{
    const auto key = end.task.occurrenceKey();
    upstream.unrecorded.push_back({ .sequence = end.sequence, .job = key, .mark = emitProgressChanged(key) });
}

ProgressMark ShardEngine::emitProgressChanged(const OccurrenceKey& key)
{
    lastMark_ = ProgressMark(lastMark_.value + 1);
    if (auto* job = findJob(key))
        job->unrecorded = lastMark_;
    actions_.emplace_back(ProgressChanged { .job = key, .mark = lastMark_ });
    return lastMark_;
}

void ShardEngine::handleRepeatedEnd(Upstream& upstream, const EndedTask& end)
{
    const auto key = end.task.occurrenceKey();
    const auto* job = findJob(key);
    auto mark = job == nullptr ? std::nullopt : job->unrecorded;
    if (const auto ended = unrecordedJobs_.find(key); ended != unrecordedJobs_.end())
        mark = ended->second.mark;
    if (mark)
        upstream.unrecorded.push_back({ .sequence = end.sequence, .job = key, .mark = *mark });
}

void ShardEngine::handleRecorded(const std::vector<ProgressChanged>& recorded)
{
    std::unordered_map<OccurrenceKey, ProgressMark> marks;
    for (const auto& each : recorded) {
        auto& mark = marks[each.job];
        mark = std::max(mark, each.mark);
    }
    for (auto& [id, upstream] : upstreams_) {
        std::erase_if(upstream.unrecorded, [&marks](const UnrecordedEnd& each) {
            const auto found = marks.find(each.job);
            return found != marks.end() && each.mark <= found->second;
        });
    }
    for (const auto& [key, mark] : marks) {
        if (auto* job = findJob(key); job != nullptr && job->unrecorded && *job->unrecorded <= mark)
            job->unrecorded.reset();
        const auto ended = unrecordedJobs_.find(key);
        if (ended != unrecordedJobs_.end() && ended->second.mark <= mark)
            unrecordedJobs_.erase(ended);
    }
}

bool ShardEngine::hasUnrecordedEnds(const UpstreamId& id) const
{
    const auto found = upstreams_.find(id);
    return found != upstreams_.end() && !found->second.unrecorded.empty();
}

ShardEngine::EndsState ShardEngine::endsState(const UpstreamId& id) const
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end())
        return {};
    const auto& unrecorded = found->second.unrecorded;
    EndsState state { .handled = found->second.lastEndHandled, .unrecorded = unrecorded.size() };
    const auto oldest = std::min_element(unrecorded.begin(), unrecorded.end(),
        [](const UnrecordedEnd& a, const UnrecordedEnd& b) { return a.sequence < b.sequence; });
    if (oldest != unrecorded.end()) {
        state.oldestJob = oldest->job;
        state.oldestMark = oldest->mark;
    }
    return state;
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

} // namespace Balsammill::Shards
