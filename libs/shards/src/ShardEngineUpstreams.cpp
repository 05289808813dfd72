#include "ShardEngineDetail.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Balsammill::Shards {

namespace {

// Suspicion period of an upstream that fails its tasks; doubled each time. Disturbances of upstreams last 5 to 8 s, so
// a longer period would outlast them.
constexpr Duration minSuspicionPeriod = std::chrono::seconds(1);
constexpr Duration maxSuspicionPeriod = std::chrono::seconds(8);
// A task is overdue after this multiple of its expected run time, plus a margin for message delivery. Run times within
// a step vary by about 15 %, between upstreams by 30 %; predictions are off by 40 %.
constexpr double overdueFactorBySiblings = 2.0;
constexpr double overdueFactorByModel = 3.0;
constexpr Duration overdueMargin = std::chrono::milliseconds(60);
// A run that started on a cold upstream may take this many times as long.
constexpr double overdueFactorIfCold = 2.0;

} // namespace

void ShardEngine::updateUpstream(const UpstreamInfo& info, TimePoint now)
{
    auto [entry, added] = upstreams_.try_emplace(info.id);
    auto& upstream = entry->second;
    if (added) {
        upstream.info = info;
        upstream.registeredStartedUnixMs = info.startedUnixMs;
        upstream.freeCapacity = info.capacity;
        upstream.coldSince = now;
        return;
    }
    const auto knownBornMs = upstream.info.startedUnixMs;
    // A registration is up to one heartbeat old, so it may belong to an earlier incarnation.
    if (info.startedUnixMs != 0 && knownBornMs != 0 && info.startedUnixMs < knownBornMs)
        return;
    if (info.startedUnixMs > knownBornMs && knownBornMs != 0)
        handleRestart(upstream, now);
    if (now >= upstream.info.coldUntil)
        upstream.coldSince = now;
    Resources used = upstream.info.capacity;
    used -= upstream.freeCapacity;
    upstream.info = info;
    upstream.registeredStartedUnixMs = info.startedUnixMs;
    upstream.info.startedUnixMs = std::max(info.startedUnixMs, knownBornMs);
    upstream.freeCapacity = info.capacity;
    upstream.freeCapacity -= used;
    upstream.registered = true;
}

void ShardEngine::removeUpstream(const UpstreamId& id, TimePoint)
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end())
        return;
    found->second.registered = false;
    if (found->second.runs.empty()) {
        model_.forget(id);
        interference_.forget(id);
        upstreams_.erase(found);
    }
}

void ShardEngine::setReachable(const UpstreamId& id, bool reachable, TimePoint)
{
    const auto found = upstreams_.find(id);
    if (found != upstreams_.end())
        found->second.reachable = reachable;
}

bool ShardEngine::handleReport(const UpstreamId& id, const UpstreamReport& report, TimePoint sentAt, TimePoint now)
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end())
        return false;
    auto& upstream = found->second;
    if (report.startedUnixMs != 0 && report.startedUnixMs < upstream.info.startedUnixMs)
        return false;
    if (upstream.info.startedUnixMs != 0 && report.startedUnixMs > upstream.info.startedUnixMs)
        handleRestart(upstream, now);
    if (report.startedUnixMs != 0)
        upstream.info.startedUnixMs = report.startedUnixMs;
    upstream.hasUnlistedEnds = !report.complete;
    for (const auto& end : report.ended) {
        if (end.sequence <= upstream.lastEndHandled)
            continue;
        upstream.lastEndHandled = end.sequence;
        finishRun(upstream, end, now);
    }
    for (const auto& running : report.running) {
        const auto run = upstream.runs.find(running.task);
        if (run != upstream.runs.end() && run->second.number == running.run) {
            run->second.listed = true;
            run->second.listedAt = std::max(run->second.listedAt, sentAt);
            if (run->second.state == RunState::StartSent) {
                run->second.state = RunState::Running;
                run->second.confirmedAt = now;
            }
            continue;
        }
        if (run != upstream.runs.end() && run->second.number > running.run)
            continue;
        if (run == upstream.runs.end() && adoptRun(upstream, running, now))
            continue;
        // Not needed: started by an earlier owner of the shard, or so late that its client has already got an answer.
        actions_.emplace_back(StopTask { .upstream = id, .task = running.task, .run = running.run });
        if (run == upstream.runs.end()) {
            ++liveRuns_[running.task];
            ++upstream.earlierOwnerRuns;
            upstream.runs.emplace(running.task,
                Run { .number = running.run,
                    .endBy = now,
                    .startedByEarlierOwner = true,
                    .listed = true,
                    .state = RunState::Stopping,
                    .stopSentAt = now });
        }
    }
    // A run that was confirmed before the report was requested, and that the report lists neither as running nor as
    // ended, is lost, unless its end may be one that the report does not list.
    std::vector<TaskKey> lostRuns;
    for (auto& [key, run] : upstream.runs) {
        const bool listed = std::any_of(report.running.begin(), report.running.end(),
            [&key = key, &run = run](const RunningTask& each) { return each.task == key && each.run == run.number; });
        const bool wasRunning = run.state == RunState::Running && run.confirmedAt <= sentAt;
        // A run that is being stopped, also by the next owner of the shard, may be missing from both lists while it
        // still uses its capacity.
        const bool knownToExist = run.confirmedAt != TimePoint {} || run.startSentAt == TimePoint {};
        // A stop may be repeated or delivered late, and any of the stops may be the one that is taking effect. So the
        // grace period counts from the first report that does not list the run although it existed when the report was
        // requested. An earlier report says nothing: the run may begin, and be stopped, after it.
        const bool existed
            = run.startSentAt == TimePoint {} || (run.confirmedAt != TimePoint {} && run.confirmedAt <= sentAt);
        const bool graceOver = run.unlistedSince != TimePoint {} && run.unlistedSince + options_.stopGrace <= sentAt;
        const bool presumedStopped
            = run.state == RunState::Stopping && knownToExist && run.stopSentAt + stopTimeout <= sentAt;
        if (listed || (!wasRunning && run.state != RunState::Stopping))
            run.unlistedSince = TimePoint {};
        else if (run.unlistedSince == TimePoint {} && existed && report.complete)
            run.unlistedSince = now;
        if (!listed && report.complete && graceOver && (wasRunning || presumedStopped))
            lostRuns.push_back(key);
    }
    for (const auto& key : lostRuns) {
        const auto& run = upstream.runs.at(key);
        if (!run.job.empty())
            actions_.emplace_back(
                RunLost { .upstream = id, .task = key, .run = run.number, .listedEnds = report.ended.size() });
    }
    retryRuns(upstream, lostRuns, now);
    if (upstream.firstReportAt == TimePoint {})
        upstream.firstReportAt = now;
    const bool settled = report.complete
        && (confirmedByFirstReport_.erase(id) > 0 || sentAt >= upstream.firstReportAt + options_.stopGrace);
    if (!upstream.confirmed && settled) {
        upstream.confirmed = true;
        // The new fencing token invalidates all earlier starts, so an expected run that is not listed now does not
        // exist.
        clearExpectedRuns(id);
    }
    upstream.reachable = true;
    if (!upstream.registered)
        removeUpstream(id, now);
    return true;
}

void ShardEngine::handleLeaseExpired(const UpstreamId& id, TimePoint now)
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end())
        return;
    auto& upstream = found->second;
    std::vector<TaskKey> endedRuns;
    for (const auto& [key, run] : upstream.runs)
        endedRuns.push_back(key);
    retryRuns(upstream, endedRuns, now);
    upstream.lastEndHandled = 0;
    clearExpectedRuns(id);
    if (!upstream.registered)
        removeUpstream(id, now);
}

void ShardEngine::handleLeaseExpired(
    const UpstreamId& id, const UpstreamReport& report, TimePoint sentAt, TimePoint now)
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end())
        return;
    auto& upstream = found->second;
    std::vector<TaskKey> endedRuns;
    for (const auto& [key, run] : upstream.runs) {
        const bool listed = std::any_of(report.running.begin(), report.running.end(),
            [&key = key, &run = run](const RunningTask& each) { return each.task == key && each.run == run.number; });
        if (listed && run.state == RunState::Stopping)
            actions_.emplace_back(StopTask { .upstream = id, .task = key, .run = run.number });
        if (!listed && run.startSentAt < sentAt)
            endedRuns.push_back(key);
    }
    retryRuns(upstream, endedRuns, now);
    if (!upstream.registered)
        removeUpstream(id, now);
}

void ShardEngine::handleRestart(Upstream& upstream, TimePoint now)
{
    // Runs that the earlier incarnation listed have ended. Any other start may have reached the new incarnation,
    // because an idle upstream is sent a start without a preceding report request; later reports decide about such
    // runs.
    std::vector<TaskKey> endedRuns;
    for (const auto& [key, run] : upstream.runs) {
        if (run.listed)
            endedRuns.push_back(key);
    }
    retryRuns(upstream, endedRuns, now);
    upstream.lastEndHandled = 0;
    upstream.hasUnlistedEnds = false;
    upstream.coldSince = now;
    upstream.leaseEndsBy = TimePoint {};
    upstream.unrecorded.clear();
    // The new incarnation has seen no fencing token, so it accepts starts of an earlier owner until this owner requests
    // a report. One report is enough if this owner knew all runs before the restart.
    if (std::exchange(upstream.confirmed, false))
        confirmedByFirstReport_.insert(upstream.info.id);
    upstream.firstReportAt = TimePoint {};
}

void ShardEngine::retryRuns(Upstream& upstream, const std::vector<TaskKey>& keys, TimePoint now)
{
    for (const auto& key : keys) {
        const auto wanted = upstream.runs.at(key).job;
        dropRun(upstream, key, now);
        if (auto* job = wanted.empty() ? nullptr : findJob(wanted))
            retryTask(*job, key.step, key.index);
    }
}

void ShardEngine::suspect(Upstream& upstream, TimePoint now)
{
    if (now < upstream.suspectedUntil)
        return;
    upstream.suspicionPeriod = std::clamp(upstream.suspicionPeriod * 2, minSuspicionPeriod, maxSuspicionPeriod);
    upstream.suspectedUntil = now + upstream.suspicionPeriod;
    upstream.onProbation = true;
    upstream.consecutiveFailures = 0;
    actions_.emplace_back(UpstreamSuspected { .upstream = upstream.info.id, .pause = upstream.suspicionPeriod });
}

void ShardEngine::checkOverdue(Upstream& upstream, TimePoint now)
{
    for (auto& [key, run] : upstream.runs) {
        if (run.state != RunState::Running || run.job.empty())
            continue;
        auto* job = findJob(run.job);
        if (job == nullptr || job->spec->steps[key.step].gang || job->spec->longRunning)
            continue;
        const auto expected = job->expectedRunTime(model_, key.step);
        auto& task = job->steps[key.step].tasks[key.index];
        // Each stop doubles the limit, so that a long task can eventually complete.
        const double factor
            = std::ldexp(job->steps[key.step].observations > 0 ? overdueFactorBySiblings : overdueFactorByModel,
                static_cast<int>(task.overdueStops));
        const double coldFactor = run.startedCold ? overdueFactorIfCold : 1.0;
        const auto limit
            = Duration(static_cast<Duration::rep>(factor * coldFactor * static_cast<double>(expected.count())))
            + overdueMargin;
        if (now - run.startSentAt <= limit)
            continue;
        // The run may have ended without the owner's knowledge, so a report decides whether it is overdue.
        if (run.listedAt < run.startSentAt + limit) {
            run.checkAt = run.startSentAt + limit;
            continue;
        }
        if (!run.startedCold)
            model_.recordStopped(*job->spec, job->spec->steps[key.step], now - run.startSentAt);
        if (++upstream.consecutiveFailures >= failuresBeforeSuspicion)
            suspect(upstream, now);
        ++task.overdueStops;
        task.avoid = upstream.info.id;
        const auto jobKey = run.job;
        stopRun(upstream, run, now);
        // stopRun() clears the job, but the task is still needed and starts again once this run has ended.
        run.job = jobKey;
    }
}

void ShardEngine::advance(TimePoint now)
{
    for (auto& [id, upstream] : upstreams_) {
        checkOverdue(upstream, now);
        interference_.noteInUse(kindsOn(upstream), now);
    }
    noteLapsedLeases(now);
    finishEvacuatedJobs(now);
    dropLateJobs(now);
    std::erase_if(recentJobs_, [now](const auto& entry) { return entry.second.forgetAt <= now; });
}

bool ShardEngine::needsLease(const UpstreamId& id, TimePoint now) const
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end())
        return false;
    const auto& runs = found->second.runs;
    const bool stopOverdue = std::any_of(runs.begin(), runs.end(), [now](const auto& entry) {
        return entry.second.state == RunState::Stopping && entry.second.stopSentAt + stopTimeout <= now;
    });
    return !stopOverdue && std::any_of(runs.begin(), runs.end(), [](const auto& entry) {
        return entry.second.state != RunState::Stopping;
    });
}

bool ShardEngine::needsReport(const UpstreamId& id, TimePoint now) const
{
    const auto found = upstreams_.find(id);
    // While ends are not listed, reports are requested for their acknowledgement, and none decides about a run.
    return found != upstreams_.end() && !found->second.hasUnlistedEnds
        && std::any_of(found->second.runs.begin(), found->second.runs.end(), [this, now](const auto& entry) {
               const auto& run = entry.second;
               const bool endDue = run.state == RunState::Running && run.checkAt <= now && run.listedAt < run.checkAt;
               const bool missing = run.unlistedSince != TimePoint {} && run.unlistedSince + options_.stopGrace <= now;
               return endDue
                   || (missing
                       && (run.state == RunState::Running
                           || (run.state == RunState::Stopping && run.stopSentAt + stopTimeout <= now)));
           });
}

bool ShardEngine::isBusy(const UpstreamId& id) const
{
    const auto found = upstreams_.find(id);
    return found != upstreams_.end() && !found->second.runs.empty();
}

bool ShardEngine::isConfirmed(const UpstreamId& id) const
{
    const auto found = upstreams_.find(id);
    return found != upstreams_.end() && found->second.confirmed;
}

ShardLoad ShardEngine::load(TimePoint now) const
{
    ShardLoad load;
    for (const auto& [id, upstream] : upstreams_) {
        load.runningTasks += static_cast<std::uint32_t>(upstream.runs.size());
        if (!upstream.registered || !upstream.confirmed || !upstream.reachable || upstream.info.draining
            || !upstream.hasCurrentRegistration())
            continue;
        ++load.usableUpstreams;
        load.coldUpstreams += upstream.isCold(now) ? 1 : 0;
        load.freeMilliCores += usableCapacity(upstream, now).milliCores;
        load.capacityMilliCores += upstream.info.capacity.milliCores;
    }
    for (const auto& [id, job] : jobs_) {
        bool waits = false;
        for (std::size_t i = 0; i < job->steps.size(); ++i) {
            waits = waits || job->steps[i].waiting > 0;
            load.freeMilliCores -= job->spec->steps[i].need.milliCores * job->steps[i].waiting;
        }
        load.waitingJobs += waits ? 1 : 0;
    }
    if (noStartsFrom_)
        load.freeMilliCores = std::min<std::int64_t>(load.freeMilliCores, 0);
    return load;
}

} // namespace Balsammill::Shards
