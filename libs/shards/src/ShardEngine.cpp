#include "balsammill/shards/ShardEngine.h"

#include "ShardEngineDetail.h"

#include <algorithm>

namespace Balsammill::Shards {

namespace {

// How long run numbers of a finished job are kept; a client resends within a few seconds.
constexpr Duration recentJobKept = std::chrono::seconds(15);
// How far a run number jumps after a refusal that does not tell the upstream's own number.
constexpr std::uint64_t runNumberJump = 8;

} // namespace

ShardEngine::ShardEngine() = default;
ShardEngine::ShardEngine(const Options& options)
    : options_(options)
{
}
ShardEngine::~ShardEngine() = default;
ShardEngine::ShardEngine(ShardEngine&&) noexcept = default;
ShardEngine& ShardEngine::operator=(ShardEngine&&) noexcept = default;

Duration ShardEngine::Job::expectedRunTime(const RunTimeModel& model, std::uint32_t step) const
{
    const auto& record = steps[step];
    if (record.observations > 0)
        return record.observed / record.observations;
    return model.predict(*spec, spec->steps[step]);
}

ShardEngine::Job* ShardEngine::findJob(const JobId& id)
{
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : found->second.get();
}

void ShardEngine::submit(
    SubmissionId submission, std::shared_ptr<const JobSpec> spec, TimePoint arrivedAt, TimePoint answerBy)
{
    if (auto* existing = findJob(spec->id)) {
        actions_.emplace_back(
            FinishJob { .submission = existing->submission, .job = spec->id, .result = JobResult::Superseded });
        submissions_.erase(existing->submission);
        existing->submission = submission;
        existing->answerBy = answerBy;
        submissions_[submission] = spec->id;
        return;
    }
    auto job = std::make_unique<Job>();
    job->submission = submission;
    job->submittedAt = arrivedAt;
    job->answerBy = answerBy;
    const auto longestChain = chain(*spec);
    job->objectiveAt = arrivedAt + spec->targetOverhead
        + Duration(static_cast<Duration::rep>(spec->stretch * static_cast<double>(longestChain.count())));
    for (const auto& step : spec->steps) {
        job->steps.emplace_back();
        job->steps.back().tasks.resize(step.count);
        job->steps.back().waiting = step.count;
    }
    const auto recent = recentJobs_.find(spec->id);
    if (recent != recentJobs_.end())
        job->runFloor = job->highestRun = recent->second.highestRun;
    submissions_[submission] = spec->id;
    const auto id = spec->id;
    job->spec = std::move(spec);
    jobs_[id] = std::move(job);
}

void ShardEngine::cancel(SubmissionId submission, TimePoint now)
{
    const auto found = submissions_.find(submission);
    if (found == submissions_.end())
        return;
    auto* job = findJob(found->second);
    submissions_.erase(found);
    if (job == nullptr)
        return;
    const auto id = job->spec->id;
    for (auto& [upstreamId, upstream] : upstreams_) {
        for (auto& [key, run] : upstream.runs) {
            if (run.job == id)
                stopRun(upstream, run, now);
        }
    }
    recentJobs_[id] = { .highestRun = job->highestRun, .forgetAt = now + recentJobKept };
    jobs_.erase(id);
}

void ShardEngine::stopRun(Upstream& upstream, Run& run, TimePoint now)
{
    run.job = JobId();
    if (run.state == RunState::Stopping)
        return;
    run.state = RunState::Stopping;
    run.stopSentAt = now;
    for (const auto& [key, candidate] : upstream.runs) {
        if (&candidate == &run)
            actions_.emplace_back(StopTask { .upstream = upstream.info.id, .task = key, .run = run.number });
    }
}

void ShardEngine::dropRun(Upstream& upstream, const TaskKey& key, TimePoint)
{
    const auto found = upstream.runs.find(key);
    if (found == upstream.runs.end())
        return;
    upstream.room += found->second.need;
    if (found->second.foreign)
        --upstream.foreignRuns;
    upstream.runs.erase(found);
    const auto live = liveRuns_.find(key);
    if (live != liveRuns_.end() && --live->second == 0)
        liveRuns_.erase(live);
}

void ShardEngine::handleStarted(const UpstreamId& id, const TaskKey& key, RunNumber run, TimePoint now)
{
    const auto upstream = upstreams_.find(id);
    if (upstream == upstreams_.end())
        return;
    const auto found = upstream->second.runs.find(key);
    if (found == upstream->second.runs.end() || found->second.number != run)
        return;
    found->second.confirmedAt = now;
    if (found->second.state == RunState::Ordered)
        found->second.state = RunState::Running;
}

void ShardEngine::handleStartRefused(
    const UpstreamId& id, const TaskKey& key, RunNumber number, StartRefusal refusal, TimePoint now)
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end())
        return;
    auto& upstream = found->second;
    if (refusal == StartRefusal::Unhealthy)
        suspect(upstream, now);
    if (refusal == StartRefusal::OldRun) {
        if (auto* job = findJob(key.job))
            job->runFloor.value = std::max(job->runFloor.value, number.value + runNumberJump);
    }
    handleNeverStarted(id, key, number, now);
}

void ShardEngine::handleStopSent(const UpstreamId& id, const TaskKey& key, RunNumber number, TimePoint now)
{
    const auto upstream = upstreams_.find(id);
    if (upstream == upstreams_.end())
        return;
    const auto run = upstream->second.runs.find(key);
    if (run == upstream->second.runs.end() || run->second.number != number)
        return;
    run->second.state = RunState::Stopping;
    run->second.stopSentAt = now;
}

void ShardEngine::handleNeverStarted(const UpstreamId& id, const TaskKey& key, RunNumber number, TimePoint now)
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end())
        return;
    const auto run = found->second.runs.find(key);
    if (run == found->second.runs.end() || run->second.number != number)
        return;
    const bool wanted = !run->second.job.empty();
    dropRun(found->second, key, now);
    if (auto* job = findJob(key.job); wanted && job != nullptr)
        retryTask(*job, key.step, key.index);
}

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
    if (found == upstream.runs.end() || found->second.number != end.run)
        return;
    const Run run = found->second;
    dropRun(upstream, end.task, now);
    auto* job = run.job.empty() ? nullptr : findJob(run.job);
    if (job == nullptr)
        return;
    const auto step = end.task.step;
    const auto index = end.task.index;
    if (job->spec->steps[step].checkpoints && !end.checkpoint.empty())
        job->steps[step].tasks[index].checkpoint = end.checkpoint;
    switch (end.how) {
    case RunEnd::Done:
        completeTask(*job, step, index, upstream, run, now);
        return;
    case RunEnd::Failed:
        failTask(*job, step, index, upstream, now);
        return;
    case RunEnd::Stopped:
    case RunEnd::LeaseLapsed:
    case RunEnd::GangBroken:
    case RunEnd::GangIncomplete:
        retryTask(*job, step, index);
        return;
    }
}

void ShardEngine::completeTask(
    Job& job, std::uint32_t stepIndex, std::uint32_t index, const Upstream& upstream, const Run& run, TimePoint now)
{
    auto& step = job.steps[stepIndex];
    const auto& spec = job.spec->steps[stepIndex];
    const auto took = now - run.orderedAt;
    step.observed
        += Duration(static_cast<Duration::rep>(static_cast<double>(took.count()) / model_.slowness(upstream.info.id)));
    ++step.observations;
    model_.record(*job.spec, spec, upstream.info.id, took);
    auto& record = upstreams_.at(upstream.info.id);
    record.consecutiveFailures = 0;
    record.suspicion = Duration::zero();
    record.onProbation = false;

    auto& task = step.tasks[index];
    if (task.state == Task::State::Active)
        --step.active;
    else if (task.state == Task::State::Waiting)
        --step.waiting;
    if (task.state != Task::State::Done)
        ++step.done;
    task.state = Task::State::Done;
    if (spec.gang) {
        // One end stands for all members.
        for (auto& member : step.tasks)
            member.state = Task::State::Done;
        step.done = spec.count;
        step.waiting = 0;
        step.active = 0;
    }
    const bool finished = std::all_of(
        job.steps.begin(), job.steps.end(), [](const Step& each) { return each.done == each.tasks.size(); });
    if (finished)
        finishJob(job, JobResult::Completed, now);
}

void ShardEngine::failTask(Job& job, std::uint32_t stepIndex, std::uint32_t index, Upstream& upstream, TimePoint now)
{
    auto& task = job.steps[stepIndex].tasks[index];
    // Tasks that fail wherever they run say nothing about the upstream, so only a task's first failure counts.
    if (task.failures == 0 && ++upstream.consecutiveFailures >= failuresBeforeSuspicion)
        suspect(upstream, now);
    ++task.failures;
    actions_.emplace_back(TaskFailed { .upstream = upstream.info.id,
        .task = { .job = job.spec->id, .occurrence = 0, .step = stepIndex, .index = index },
        .run = task.run,
        .failures = task.failures,
        .maxAttempts = job.spec->maxAttempts });
    task.avoid = upstream.info.id;
    if (task.failures >= job.spec->maxAttempts) {
        finishJob(job, JobResult::Failed, now);
        return;
    }
    retryTask(job, stepIndex, index);
}

void ShardEngine::finishJob(Job& job, JobResult result, TimePoint now)
{
    const auto id = job.spec->id;
    actions_.emplace_back(FinishJob { .submission = job.submission,
        .job = id,
        .result = result,
        .waited = job.started ? job.lastStartAt - job.submittedAt : now - job.submittedAt });
    for (auto& [upstreamId, upstream] : upstreams_) {
        for (auto& [key, run] : upstream.runs) {
            if (run.job == id)
                stopRun(upstream, run, now);
        }
    }
    recentJobs_[id] = { .highestRun = job.highestRun, .forgetAt = now + recentJobKept };
    submissions_.erase(job.submission);
    jobs_.erase(id);
}

ShardActions ShardEngine::takeActions()
{
    ShardActions taken;
    taken.swap(actions_);
    return taken;
}

std::size_t ShardEngine::unfinishedJobs() const { return jobs_.size(); }

std::size_t ShardEngine::waitingTasks() const
{
    std::size_t waiting = 0;
    for (const auto& [id, job] : jobs_) {
        for (const auto& step : job->steps)
            waiting += step.waiting;
    }
    return waiting;
}

std::size_t ShardEngine::waitingJobs(const QueueName& queue) const
{
    return static_cast<std::size_t>(std::count_if(jobs_.begin(), jobs_.end(),
        [&](const auto& entry) { return entry.second->spec->queue == queue && !entry.second->started; }));
}

} // namespace Balsammill::Shards
