#include "balsammill/shards/ShardEngine.h"

#include "ShardEngineDetail.h"

#include <algorithm>

namespace Balsammill::Shards {

namespace {

// How long the run numbers of a finished job are kept; clients retry within a few seconds.
constexpr Duration recentJobRetention = std::chrono::seconds(15);
// Added to a run number that was refused as old, because the refusal does not state the upstream's own number.
constexpr std::uint64_t refusedRunNumberIncrement = 8;
// Run time assumed for a task that runs until its job is cancelled; longer than the horizon of any plan.
constexpr Duration assumedLongRunTime = std::chrono::hours(1);

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
    if (spec->longRunning)
        return assumedLongRunTime;
    const auto& record = steps[step];
    if (record.observations > 0)
        return record.observed / record.observations;
    return model.predict(*spec, spec->steps[step]);
}

ShardEngine::Job* ShardEngine::findJob(const OccurrenceKey& key)
{
    const auto found = jobs_.find(key);
    return found == jobs_.end() ? nullptr : found->second.get();
}

const ShardEngine::Job* ShardEngine::findJob(const OccurrenceKey& key) const
{
    const auto found = jobs_.find(key);
    return found == jobs_.end() ? nullptr : found->second.get();
}

ShardEngine::Job& ShardEngine::addJob(
    const OccurrenceKey& key, std::shared_ptr<const JobSpec> spec, TimePoint arrivedAt)
{
    auto job = std::make_unique<Job>();
    job->key = key;
    job->submittedAt = arrivedAt;
    job->objectiveAt = arrivedAt + spec->targetOverhead
        + Duration(static_cast<Duration::rep>(spec->stretch * static_cast<double>(criticalPath(*spec).count())));
    for (const auto& step : spec->steps) {
        job->steps.emplace_back();
        job->steps.back().tasks.resize(step.count);
        job->steps.back().waiting = step.count;
    }
    const auto recent = recentJobs_.find(key);
    if (recent != recentJobs_.end())
        job->runFloor = job->highestRun = recent->second.highestRun;
    job->spec = std::move(spec);
    auto& added = *job;
    jobs_[key] = std::move(job);
    return added;
}

void ShardEngine::submit(SubmissionId submission, std::shared_ptr<const JobSpec> spec, TimePoint arrivedAt,
    TimePoint responseDeadline, OriginId origin)
{
    const OccurrenceKey key { .job = spec->id };
    if (auto* existing = findJob(key)) {
        actions_.emplace_back(
            FinishJob { .submission = existing->submission, .job = key, .result = JobResult::Superseded });
        submissions_.erase(existing->submission);
        existing->submission = submission;
        existing->responseDeadline = responseDeadline;
        submissions_[submission] = key;
        setOrigin(*existing, origin);
        return;
    }
    auto& job = addJob(key, std::move(spec), arrivedAt);
    job.submission = submission;
    job.origin = origin;
    job.responseDeadline = responseDeadline;
    submissions_[submission] = key;
}

void ShardEngine::cancel(SubmissionId submission, TimePoint now)
{
    const auto found = submissions_.find(submission);
    if (found == submissions_.end())
        return;
    const auto key = found->second;
    submissions_.erase(found);
    const auto* job = findJob(key);
    if (job == nullptr)
        return;
    for (auto& [id, upstream] : upstreams_) {
        for (auto& [task, run] : upstream.runs) {
            if (run.job == key)
                run.endBy = latestEndOf(run);
        }
    }
    stopRuns(key, now);
    recentJobs_[key] = { .highestRun = job->highestRun, .forgetAt = now + recentJobRetention };
    jobs_.erase(key);
}

void ShardEngine::stopRuns(const OccurrenceKey& job, TimePoint now)
{
    for (auto& [id, upstream] : upstreams_) {
        for (auto& [key, run] : upstream.runs) {
            if (run.job == job)
                stopRun(upstream, run, now);
        }
    }
}

void ShardEngine::stopRun(Upstream& upstream, Run& run, TimePoint now)
{
    run.job = OccurrenceKey();
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
    upstream.freeCapacity += found->second.need;
    if (found->second.startedByEarlierOwner)
        --upstream.earlierOwnerRuns;
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
    if (found->second.state == RunState::StartSent)
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
        if (auto* job = findJob(key.occurrenceKey()))
            job->runFloor.value = std::max(job->runFloor.value, number.value + refusedRunNumberIncrement);
    }
    if (refusal == StartRefusal::NoTicket) {
        if (auto* job = findJob(key.occurrenceKey()); job != nullptr && key.step < job->steps.size())
            job->steps[key.step].permits.dropTicket(id);
    }
    handleNeverStarted(id, key, number, now);
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
    if (auto* job = findJob(key.occurrenceKey()); wanted && job != nullptr)
        retryTask(*job, key.step, key.index);
}

bool ShardEngine::awaitsStart(const UpstreamId& id, const TaskKey& key, RunNumber number) const
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end())
        return false;
    const auto run = found->second.runs.find(key);
    return run != found->second.runs.end() && run->second.number == number && run->second.state == RunState::StartSent;
}

void ShardEngine::handleUnlistedStart(const UpstreamId& id, const TaskKey& key, RunNumber number, TimePoint now)
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end())
        return;
    const auto run = found->second.runs.find(key);
    if (run == found->second.runs.end() || run->second.number != number)
        return;
    if (run->second.state == RunState::Stopping)
        run->second.confirmedAt = now;
    else
        handleNeverStarted(id, key, number, now);
}

void ShardEngine::finishJob(Job& job, JobResult result, TimePoint now)
{
    const auto key = job.key;
    actions_.emplace_back(FinishJob { .submission = job.submission,
        .job = key,
        .result = result,
        .waited = job.started ? job.lastStartAt - job.submittedAt : now - job.submittedAt,
        .spec = result == JobResult::Evacuated ? job.spec : nullptr });
    stopRuns(key, now);
    recentJobs_[key] = { .highestRun = job.highestRun, .forgetAt = now + recentJobRetention };
    if (job.unrecorded)
        unrecordedJobs_[key] = { .mark = *job.unrecorded, .progress = progressOf(job) };
    submissions_.erase(job.submission);
    jobs_.erase(key);
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
