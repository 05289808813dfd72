#include "ShardEngineDetail.h"

#include <algorithm>
#include <unordered_map>

namespace Balsammill::Shards {

std::vector<TransferredJob> ShardEngine::exportJobs() const
{
    std::unordered_map<OccurrenceKey, std::vector<ExpectedRun>> runs;
    for (const auto& [id, upstream] : upstreams_) {
        for (const auto& [task, run] : upstream.runs) {
            if (!run.job.empty())
                runs[run.job].push_back({ .step = task.step,
                    .index = task.index,
                    .run = run.number,
                    .upstream = id,
                    .startSentAt = run.startSentAt });
        }
    }
    std::vector<TransferredJob> exported;
    for (const auto& [key, job] : jobs_) {
        TransferredJob each { .key = key,
            .spec = job->spec->durable ? nullptr : job->spec,
            .submission = job->submission,
            .submittedAt = job->submittedAt,
            .responseDeadline = job->responseDeadline };
        each.progress = progressOf(*job);
        for (std::uint32_t step = 0; step < job->steps.size(); ++step) {
            const auto& tasks = job->steps[step].tasks;
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                // Runs of an earlier owner that have not been reported yet are passed on.
                if (!tasks[index].expectedOn.empty())
                    each.expected.push_back({ .step = step,
                        .index = index,
                        .run = tasks[index].expectedRun,
                        .upstream = tasks[index].expectedOn,
                        .startSentAt = tasks[index].expectedOrderedAt });
            }
        }
        if (const auto found = runs.find(key); found != runs.end())
            each.expected.insert(each.expected.end(), found->second.begin(), found->second.end());
        // The store has all there is to know of a durable job that was never started.
        const bool neverStarted = each.progress.highestRun.value == 0 && each.expected.empty() && !job->unrecorded;
        if (job->spec->durable && neverStarted)
            continue;
        exported.push_back(std::move(each));
    }
    for (const auto& [key, ended] : unrecordedJobs_)
        exported.push_back({ .key = key, .progress = ended.progress });
    return exported;
}

std::vector<UpstreamId> ShardEngine::settledUpstreams() const
{
    std::vector<UpstreamId> settled;
    for (const auto& [id, upstream] : upstreams_) {
        const bool open = std::any_of(upstream.runs.begin(), upstream.runs.end(),
            [](const auto& entry) { return entry.second.state != RunState::Running; });
        if (upstream.confirmed && !open)
            settled.push_back(id);
    }
    return settled;
}

void ShardEngine::mergeProgress(const OccurrenceKey& key, const JobProgress& progress, TimePoint now)
{
    auto* job = findJob(key);
    if (job == nullptr || !job->spec->durable)
        return;
    job->highestRun = std::max(job->highestRun, progress.highestRun);
    job->runFloor = std::max(job->runFloor, progress.highestRun);
    bool changed = false;
    bool failed = false;
    for (std::size_t i = 0; i < std::min(progress.steps.size(), job->steps.size()); ++i) {
        auto& step = job->steps[i];
        for (std::size_t index = 0; index < std::min(progress.steps[i].size(), step.tasks.size()); ++index) {
            const auto& counted = progress.steps[i][index];
            auto& task = step.tasks[index];
            if (task.state == Task::State::Done || (counted.failures <= task.counted.failures && !counted.done))
                continue;
            changed = true;
            // The earlier owner has counted all ends that are in the store, and more.
            task.counted = counted;
            job->noteRun(task, counted.countedRun);
            failed = failed || task.counted.failures >= job->spec->maxAttempts;
            if (!counted.done)
                continue;
            task.state == Task::State::Active ? --step.active : --step.waiting;
            task.state = Task::State::Done;
            ++step.done;
        }
    }
    if (!changed)
        return;
    job->started = true;
    emitProgressChanged(key);
    const bool finished = std::all_of(
        job->steps.begin(), job->steps.end(), [](const Step& each) { return each.done == each.tasks.size(); });
    if (finished)
        finishJob(*job, JobResult::Completed, now);
    else if (failed && !job->spec->longRunning)
        finishJob(*job, JobResult::Failed, now);
}

bool ShardEngine::importJob(SubmissionId submission, const TransferredJob& transferred, OriginId origin)
{
    if (transferred.spec == nullptr || findJob(transferred.key) != nullptr)
        return false;
    auto& job = addJob(transferred.key, transferred.spec, transferred.submittedAt);
    job.submission = submission;
    job.origin = origin;
    job.responseDeadline = transferred.responseDeadline;
    submissions_[submission] = transferred.key;
    applyProgress(job, transferred.progress);
    job.runFloor = job.highestRun;
    // A started job must never be answered as not run.
    job.started = job.started || transferred.progress.highestRun.value > 0 || !transferred.expected.empty();
    job.lastStartAt = transferred.submittedAt;
    return true;
}

void ShardEngine::applyProgress(Job& job, const JobProgress& progress)
{
    job.highestRun = std::max(job.highestRun, progress.highestRun);
    for (std::size_t i = 0; i < std::min(progress.steps.size(), job.steps.size()); ++i) {
        auto& step = job.steps[i];
        const auto& tasks = progress.steps[i];
        for (std::size_t index = 0; index < std::min(tasks.size(), step.tasks.size()); ++index) {
            auto& task = step.tasks[index];
            task.counted = tasks[index];
            job.noteRun(task, task.counted.countedRun);
            if (!tasks[index].done)
                continue;
            task.state = Task::State::Done;
            ++step.done;
            --step.waiting;
        }
        job.started = job.started || step.done > 0;
    }
}

void ShardEngine::expectRuns(const OccurrenceKey& key, const std::vector<ExpectedRun>& expected, TimePoint until)
{
    auto* job = findJob(key);
    if (job == nullptr)
        return;
    for (const auto& each : expected) {
        if (each.step >= job->steps.size() || each.index >= job->steps[each.step].tasks.size())
            continue;
        auto& task = job->steps[each.step].tasks[each.index];
        if (task.state != Task::State::Waiting)
            continue;
        task.expectedOn = each.upstream;
        task.expectedRun = each.run;
        task.expectedOrderedAt = each.startSentAt;
        task.expectedUntil = until;
        job->noteRun(task, each.run);
        job->started = true;
    }
}

bool ShardEngine::mayAdoptRun(const Job& job, const Upstream& upstream, const TaskKey& key) const
{
    if (key.step >= job.steps.size() || key.index >= job.steps[key.step].tasks.size())
        return false;
    return job.spec->durable || job.steps[key.step].tasks[key.index].expectedOn == upstream.info.id;
}

bool ShardEngine::mayApplyUntrackedEnd(const Job& job, const Upstream& upstream, const EndedTask& end) const
{
    if (!mayAdoptRun(job, upstream, end.task))
        return false;
    // A run of an earlier submission of a job that is not durable says nothing about the current one.
    return job.spec->durable || job.steps[end.task.step].tasks[end.task.index].expectedRun == end.run;
}

bool ShardEngine::isExpected(const Task& task, TimePoint now) const
{
    if (task.expectedOn.empty())
        return false;
    const auto upstream = upstreams_.find(task.expectedOn);
    return now < task.expectedUntil || (upstream != upstreams_.end() && upstream->second.hidesEarlierEnds(now));
}

bool ShardEngine::mayStartInherited(TimePoint now) const
{
    // The runs of a lost owner are not known by upstream, so each upstream counts.
    return now >= inheritedDelayedUntil_
        && std::none_of(upstreams_.begin(), upstreams_.end(),
            [now](const auto& entry) { return entry.second.hidesEarlierEnds(now); });
}

void ShardEngine::clearExpectedRuns(const UpstreamId& id)
{
    for (auto& [key, job] : jobs_) {
        for (auto& step : job->steps) {
            for (auto& task : step.tasks) {
                if (task.expectedOn == id)
                    task.expectedOn = UpstreamId();
            }
        }
    }
}

bool ShardEngine::adoptRun(Upstream& upstream, const RunningTask& running, TimePoint now)
{
    auto* job = findJob(running.task.occurrenceKey());
    if (job == nullptr || !mayAdoptRun(*job, upstream, running.task))
        return false;
    auto& step = job->steps[running.task.step];
    auto& task = step.tasks[running.task.index];
    if (task.state != Task::State::Waiting || liveRuns_.contains(running.task)
        || task.counted.includesFailure(running.run))
        return false;
    const bool startKnown = task.expectedOn == upstream.info.id && task.expectedRun == running.run;
    const auto startSentAt = startKnown ? task.expectedOrderedAt : now;
    task.expectedOn = UpstreamId();
    task.state = Task::State::Active;
    job->noteRun(task, running.run);
    task.upstream = upstream.info.id;
    --step.waiting;
    ++step.active;
    job->started = true;
    job->firstStartAt = job->lastStartAt = now;
    const auto& need = job->spec->steps[running.task.step].need;
    upstream.freeCapacity -= need;
    const auto [adopted, added] = upstream.runs.emplace(running.task,
        Run { .number = running.run,
            .job = job->key,
            .upstream = upstream.info.id,
            .origin = job->origin,
            .awaitsConfirmation = latestEndFor(job->origin) == TimePoint::min(),
            .need = need,
            .kind = interference_.kindOf(*job->spec, job->spec->steps[running.task.step], now),
            .longRunning = job->spec->longRunning,
            .startUnknown = !startKnown,
            .startedCold = startSentAt < upstream.info.coldUntil,
            .listed = true,
            .state = RunState::Running,
            .startSentAt = startSentAt,
            .confirmedAt = now,
            .expectedEnd = startSentAt + job->expectedRunTime(model_, running.task.step) });
    noteNeighbours(upstream, adopted->second);
    ++liveRuns_[running.task];
    actions_.emplace_back(TaskAdopted { .upstream = upstream.info.id, .task = running.task, .run = running.run });
    return true;
}

} // namespace Balsammill::Shards
