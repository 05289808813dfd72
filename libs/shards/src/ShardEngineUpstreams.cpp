#include "ShardEngineDetail.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Balsammill::Shards {

namespace {

// First pause of an upstream that fails its tasks; doubled while it goes on failing. Disturbances of upstreams last 5
// to 8 s, so a longer pause would outlast them.
constexpr Duration firstSuspicion = std::chrono::seconds(1);
constexpr Duration longestSuspicion = std::chrono::seconds(8);
// A task is overdue after this many times its expected run time, and a margin for delivery. Tasks of one step differ by
// about 15 % and upstreams by 30 %; predictions are off by 40 %.
constexpr double overdueFactorBySiblings = 2.0;
constexpr double overdueFactorByModel = 3.0;
constexpr Duration overdueMargin = std::chrono::milliseconds(60);
// A stop that has no effect for this long lets the lease run out, which ends the run in any case.
constexpr Duration stopPatience = std::chrono::milliseconds(300);

} // namespace

void ShardEngine::updateUpstream(const UpstreamInfo& info, TimePoint now)
{
    auto [entry, added] = upstreams_.try_emplace(info.id);
    auto& upstream = entry->second;
    if (added) {
        upstream.info = info;
        upstream.describedBornMs = info.bornMs;
        upstream.room = info.capacity;
        return;
    }
    const auto knownBorn = upstream.info.bornMs;
    // A registration is up to a heartbeat old, so it may still be that of an earlier incarnation.
    if (info.bornMs != 0 && knownBorn != 0 && info.bornMs < knownBorn)
        return;
    if (info.bornMs > knownBorn && knownBorn != 0)
        noteRestart(upstream, now);
    Resources used = upstream.info.capacity;
    used -= upstream.room;
    upstream.info = info;
    upstream.describedBornMs = info.bornMs;
    upstream.info.bornMs = std::max(info.bornMs, knownBorn);
    upstream.room = info.capacity;
    upstream.room -= used;
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
        upstreams_.erase(found);
    }
}

void ShardEngine::setReachable(const UpstreamId& id, bool reachable, TimePoint)
{
    const auto found = upstreams_.find(id);
    if (found != upstreams_.end())
        found->second.reachable = reachable;
}

void ShardEngine::handleReport(const UpstreamId& id, const UpstreamReport& report, TimePoint sentAt, TimePoint now)
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end())
        return;
    auto& upstream = found->second;
    if (report.bornMs != 0 && report.bornMs < upstream.info.bornMs)
        return;
    if (upstream.info.bornMs != 0 && report.bornMs > upstream.info.bornMs)
        noteRestart(upstream, now);
    if (report.bornMs != 0)
        upstream.info.bornMs = report.bornMs;
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
            if (run->second.state == RunState::Ordered) {
                run->second.state = RunState::Running;
                run->second.confirmedAt = now;
            }
            continue;
        }
        if (run != upstream.runs.end() && run->second.number > running.run)
            continue;
        if (run == upstream.runs.end() && adoptRun(upstream, running, now))
            continue;
        // Started by an earlier owner of the shard, or too late: whoever asked for it has been answered.
        actions_.emplace_back(StopTask { .upstream = id, .task = running.task, .run = running.run });
        if (run == upstream.runs.end()) {
            ++liveRuns_[running.task];
            ++upstream.foreignRuns;
            upstream.runs.emplace(running.task,
                Run { .number = running.run,
                    .foreign = true,
                    .listed = true,
                    .state = RunState::Stopping,
                    .stopSentAt = now });
        }
    }
    // A run that was confirmed before the report was requested and is in neither list has ended without a trace.
    std::vector<TaskKey> vanished;
    for (auto& [key, run] : upstream.runs) {
        const bool listed = std::any_of(report.running.begin(), report.running.end(),
            [&key = key, &run = run](const RunningTask& each) { return each.task == key && each.run == run.number; });
        const bool wasThere = run.state == RunState::Running && run.confirmedAt <= sentAt;
        // While a run is being stopped it may be in neither list, and it still uses its room.
        const bool known = run.confirmedAt != TimePoint {} || run.orderedAt == TimePoint {};
        // Any of several stops may be the one that takes effect just now, also one that was carried out late, so the
        // grace counts from the first report that does not list the run.
        const bool graceOver = run.unlistedSince != TimePoint {} && run.unlistedSince + options_.stopGrace <= sentAt;
        const bool wasStopped
            = run.state == RunState::Stopping && known && run.stopSentAt + stopPatience <= sentAt && graceOver;
        if (listed || run.state != RunState::Stopping)
            run.unlistedSince = TimePoint {};
        else if (run.unlistedSince == TimePoint {})
            run.unlistedSince = now;
        if (!listed && (wasThere || wasStopped))
            vanished.push_back(key);
    }
    retryRuns(upstream, vanished, now);
    if (upstream.firstReportAt == TimePoint {})
        upstream.firstReportAt = now;
    const bool settled = trusted_.erase(id) > 0 || sentAt >= upstream.firstReportAt + options_.stopGrace;
    if (!upstream.confirmed && settled) {
        upstream.confirmed = true;
        // Under the new fencing token no earlier order can take effect, so what is not listed by now does not run.
        forgetExpected(id);
    }
    upstream.reachable = true;
    if (!upstream.registered)
        removeUpstream(id, now);
}

void ShardEngine::handleLeaseExpired(const UpstreamId& id, TimePoint now)
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end())
        return;
    auto& upstream = found->second;
    std::vector<TaskKey> over;
    for (const auto& [key, run] : upstream.runs)
        over.push_back(key);
    retryRuns(upstream, over, now);
    upstream.lastEndHandled = 0;
    forgetExpected(id);
    if (!upstream.registered)
        removeUpstream(id, now);
}

void ShardEngine::noteRestart(Upstream& upstream, TimePoint now)
{
    // What the earlier incarnation listed is over. Any other start may have reached the next one, because an idle
    // upstream is sent a start without being asked for a report first; such a run is judged by the reports that follow.
    std::vector<TaskKey> over;
    for (const auto& [key, run] : upstream.runs) {
        if (run.listed)
            over.push_back(key);
    }
    retryRuns(upstream, over, now);
    upstream.lastEndHandled = 0;
    upstream.unrecorded.clear();
    // The next incarnation has seen no fencing token, so a former owner's orders take effect there until it has been
    // asked for a report. One is enough if this owner knew all runs before.
    if (std::exchange(upstream.confirmed, false))
        trusted_.insert(upstream.info.id);
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
    upstream.suspicion = std::clamp(upstream.suspicion * 2, firstSuspicion, longestSuspicion);
    upstream.suspectedUntil = now + upstream.suspicion;
    upstream.onProbation = true;
    upstream.consecutiveFailures = 0;
    actions_.emplace_back(UpstreamSuspected { .upstream = upstream.info.id, .pause = upstream.suspicion });
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
        // Each stop doubles the limit, so that a task that really is long gets its time.
        const double factor
            = std::ldexp(job->steps[key.step].observations > 0 ? overdueFactorBySiblings : overdueFactorByModel,
                static_cast<int>(task.overdueStops));
        const auto limit
            = Duration(static_cast<Duration::rep>(factor * static_cast<double>(expected.count()))) + overdueMargin;
        if (now - run.orderedAt <= limit)
            continue;
        model_.recordStopped(*job->spec, job->spec->steps[key.step], now - run.orderedAt);
        if (++upstream.consecutiveFailures >= failuresBeforeSuspicion)
            suspect(upstream, now);
        ++task.overdueStops;
        task.avoid = upstream.info.id;
        const auto keep = run.job;
        stopRun(upstream, run, now);
        // The task is still wanted and starts again once this run has ended.
        run.job = keep;
    }
}

void ShardEngine::advance(TimePoint now)
{
    for (auto& [id, upstream] : upstreams_)
        checkOverdue(upstream, now);
    giveUpHopeless(now);
    std::erase_if(recentJobs_, [now](const auto& entry) { return entry.second.forgetAt <= now; });
}

bool ShardEngine::needsLease(const UpstreamId& id, TimePoint now) const
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end())
        return false;
    const auto& runs = found->second.runs;
    const bool stuck = std::any_of(runs.begin(), runs.end(), [now](const auto& entry) {
        return entry.second.state == RunState::Stopping && entry.second.stopSentAt + stopPatience <= now;
    });
    return !stuck && std::any_of(runs.begin(), runs.end(), [](const auto& entry) {
        return entry.second.state != RunState::Stopping;
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

ShardLoad ShardEngine::load() const
{
    ShardLoad load;
    for (const auto& [id, upstream] : upstreams_) {
        load.runningTasks += static_cast<std::uint32_t>(upstream.runs.size());
        if (!upstream.registered || !upstream.confirmed || !upstream.reachable || upstream.info.draining
            || !upstream.isDescribed())
            continue;
        ++load.usableUpstreams;
        load.freeMilliCores += upstream.room.milliCores;
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
    return load;
}

} // namespace Balsammill::Shards
