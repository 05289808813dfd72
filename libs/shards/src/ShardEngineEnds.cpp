#include "ShardEngineDetail.h"

#include <algorithm>
#include <cmath>

namespace Balsammill::Shards {

namespace {

// Exponential backoff for restarts of a long-running task that ended soon after its start. The maximum lets the task
// restart well within the 6 s that operators allow for it.
constexpr Duration minRestartBackoff = std::chrono::milliseconds(100);
constexpr Duration maxRestartBackoff = std::chrono::seconds(2);
// A run of a long-running task that lasted this long does not count as a failed start and resets the backoff.
constexpr Duration stableRunTime = std::chrono::seconds(5);
// Keeps ratios of run times finite.
constexpr Duration minRunTime = std::chrono::milliseconds(1);

} // namespace

void ShardEngine::retryTask(Job& job, std::uint32_t stepIndex, std::uint32_t index)
{
    auto& step = job.steps[stepIndex];
    auto& task = step.tasks[index];
    if (task.state != Task::State::Active)
        return;
    task.state = Task::State::Waiting;
    --step.active;
    ++step.waiting;
}

void ShardEngine::finishRun(Upstream& upstream, const EndedTask& end, TimePoint now)
{
    const auto found = upstream.runs.find(end.task);
    if (found == upstream.runs.end() || found->second.number != end.run) {
        applyUntrackedEnd(upstream, end, now);
        return;
    }
    const Run run = found->second;
    dropRun(upstream, end.task, now);
    if (auto* job = run.job.empty() ? nullptr : findJob(run.job))
        applyEnd(*job, upstream, end, &run, now);
    else
        applyUntrackedEnd(upstream, end, now);
}

// The end of a run of an earlier owner that this owner has not adopted, or of a run that it stops.
void ShardEngine::applyUntrackedEnd(Upstream& upstream, const EndedTask& end, TimePoint now)
{
    auto* job = findJob(end.task.occurrenceKey());
    if (job == nullptr)
        handleRepeatedEnd(upstream, end);
    else if (mayApplyUntrackedEnd(*job, upstream, end))
        applyEnd(*job, upstream, end, nullptr, now);
}

void ShardEngine::applyEnd(Job& job, Upstream& upstream, const EndedTask& end, const Run* tracked, TimePoint now)
{
    const auto key = end.task;
    if (key.step >= job.steps.size() || key.index >= job.steps[key.step].tasks.size())
        return;
    const auto& spec = job.spec->steps[key.step];
    auto& task = job.steps[key.step].tasks[key.index];
    if (task.expectedOn == upstream.info.id && end.run >= task.expectedRun)
        task.expectedOn = UpstreamId();
    job.noteRun(task, end.run);
    if (spec.checkpoints && !end.checkpoint.empty() && end.run >= task.checkpointRun) {
        task.checkpoint = end.checkpoint;
        task.checkpointRun = end.run;
    }
    if (job.spec->longRunning) {
        if (tracked != nullptr)
            restartTask(job, key, *tracked, now);
        return;
    }
    const bool counts = end.how == RunEnd::Done || end.how == RunEnd::Failed;
    if (!counts) {
        if (tracked != nullptr)
            retryTask(job, key.step, key.index);
        return;
    }
    // An end is listed in every report, also to a later owner, until it is acknowledged. The end of a tracked run has
    // not been handled yet, and a run that ended as done has completed the task.
    const bool counted = tracked == nullptr && end.how == RunEnd::Failed && task.counted.includesFailure(end.run);
    if (task.state == Task::State::Done || counted) {
        handleRepeatedEnd(upstream, end);
        return;
    }
    // The progress change has to precede a FinishJob, so that both are written in one batch.
    if (job.spec->durable)
        trackUnrecordedEnd(upstream, end);
    if (end.how == RunEnd::Done) {
        task.counted.countedRun = std::max(task.counted.countedRun, end.run);
        if (tracked != nullptr && !tracked->startUnknown)
            learnRunTime(job, upstream, key, *tracked, now);
        completeTask(job, key, now);
    } else {
        failTask(job, end, upstream, tracked != nullptr, now);
    }
}

void ShardEngine::learnRunTime(Job& job, Upstream& upstream, const TaskKey& key, const Run& run, TimePoint now)
{
    auto& step = job.steps[key.step];
    const auto runTime = now - run.startSentAt;
    upstream.consecutiveFailures = 0;
    upstream.suspicionPeriod = Duration::zero();
    upstream.onProbation = false;
    if (run.startedCold)
        return;
    step.observed += Duration(
        static_cast<Duration::rep>(static_cast<double>(runTime.count()) / model_.slowness(upstream.info.id)));
    ++step.observations;
    if (run.kind) {
        const auto predicted = std::max<Duration>(model_.predict(*job.spec, job.spec->steps[key.step]), minRunTime);
        interference_.record(*run.kind, upstream.info.id,
            std::log(static_cast<double>(std::max<Duration>(runTime, minRunTime).count())
                / static_cast<double>(predicted.count())),
            run.beside, now);
    }
    model_.record(*job.spec, job.spec->steps[key.step], upstream.info.id, runTime);
}

void ShardEngine::completeTask(Job& job, const TaskKey& key, TimePoint now)
{
    auto& step = job.steps[key.step];
    auto& task = step.tasks[key.index];
    if (task.state == Task::State::Active)
        --step.active;
    else
        --step.waiting;
    ++step.done;
    task.state = Task::State::Done;
    stopOtherRuns(key, now);
    if (job.spec->steps[key.step].gang) {
        // The upstream reports one end for all members of the gang.
        for (auto& member : step.tasks)
            member.state = Task::State::Done;
        step.done = job.spec->steps[key.step].count;
        step.waiting = 0;
        step.active = 0;
    }
    const bool finished = std::all_of(
        job.steps.begin(), job.steps.end(), [](const Step& each) { return each.done == each.tasks.size(); });
    if (finished)
        finishJob(job, JobResult::Completed, now);
}

void ShardEngine::stopOtherRuns(const TaskKey& task, TimePoint now)
{
    for (auto& [id, upstream] : upstreams_) {
        const auto run = upstream.runs.find(task);
        if (run != upstream.runs.end() && !run->second.job.empty())
            stopRun(upstream, run->second, now);
    }
}

void ShardEngine::failTask(Job& job, const EndedTask& end, Upstream& upstream, bool tracked, TimePoint now)
{
    const auto key = end.task;
    auto& task = job.steps[key.step].tasks[key.index];
    // Only the first failure of a task counts against an upstream, because a task that fails wherever it runs says
    // nothing about the upstream.
    if (task.counted.failures == 0
        && (upstream.onProbation || ++upstream.consecutiveFailures >= failuresBeforeSuspicion))
        suspect(upstream, now);
    task.counted.addFailure(end.run);
    actions_.emplace_back(TaskFailed { .upstream = upstream.info.id,
        .task = key,
        .run = end.run,
        .failures = task.counted.failures,
        .maxAttempts = job.spec->maxAttempts });
    task.avoid = upstream.info.id;
    if (task.counted.failures >= job.spec->maxAttempts) {
        finishJob(job, JobResult::Failed, now);
        return;
    }
    if (tracked)
        retryTask(job, key.step, key.index);
}

void ShardEngine::restartTask(Job& job, const TaskKey& key, const Run& run, TimePoint now)
{
    auto& task = job.steps[key.step].tasks[key.index];
    if (now - run.startSentAt >= stableRunTime) {
        task.restartBackoff = Duration::zero();
    } else {
        task.restartBackoff = std::clamp(task.restartBackoff * 2, minRestartBackoff, maxRestartBackoff);
        task.notBefore = now + task.restartBackoff;
        task.avoid = run.upstream;
    }
    retryTask(job, key.step, key.index);
}

} // namespace Balsammill::Shards
