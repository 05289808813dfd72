#include "SimulatedWorld.h"

#include <algorithm>

namespace Balsammill::Shards::Testing {

SimulatedWorld::SimulatedWorld(unsigned seed)
    : random(seed)
{
    for (int i = 0; i < upstreamCount; ++i)
        hosts_.push_back(
            { .state = {}, .clockRate = oneIn(2) ? 0.98 : 1.0, .disturbedUntil = 0, .failingUntil = 0, .cutUntil = 0 });
}

std::int64_t SimulatedWorld::clockOf(const Host& host) const
{
    return 1'000'000 + static_cast<std::int64_t>(host.clockRate * now);
}

void SimulatedWorld::trace(const JobId& job, const std::string& text)
{
    if (traced)
        traces[job] += std::to_string(now) + " " + text + "\n";
}

std::string SimulatedWorld::traceOfViolation() const
{
    std::string wanted;
    for (const auto& [job, events] : traces) {
        if (job.empty() || violation.find(" " + job.value + " ") != std::string::npos)
            wanted += (job.empty() ? "all jobs" : job.value) + ":\n" + events;
    }
    return wanted;
}

void SimulatedWorld::noteDurableStart(const StartTask& start)
{
    const auto broken = history.noteStart(start);
    if (violation.empty() && !broken.empty())
        violation = broken + " at " + std::to_string(now);
}

void SimulatedWorld::setMaxListedEnds(std::size_t count)
{
    for (auto& host : hosts_)
        host.state.maxListedEnds = count;
}

void SimulatedWorld::advanceUpstreams()
{
    for (int i = 0; i < upstreamCount; ++i) {
        auto& host = hosts_[static_cast<std::size_t>(i)];
        if (!durableJobs && oneIn(800))
            host.disturbedUntil = now + between(300, 3'000);
        const auto running = host.state.running;
        for (const auto& each : running) {
            if (each.gangSize > 1 && !isRunning(host, each))
                continue;
            std::optional<RunEnd> how;
            if (each.stopEffectiveAt != 0 && each.stopEffectiveAt <= now)
                how = RunEnd::Stopped;
            else if (host.state.leaseUntil <= clockOf(host))
                how = RunEnd::LeaseExpired;
            else if (each.endsAt <= now)
                how = host.failingUntil > now || oneIn(20) ? RunEnd::Failed : endOfCompleteRun(each);
            if (!how)
                continue;
            runsStopped += *how == RunEnd::Stopped ? 1 : 0;
            runsLapsed += *how == RunEnd::LeaseExpired ? 1 : 0;
            trace(each.task.job,
                "ends on " + upstreamId(i).value + " run " + std::to_string(each.run.value) + " how "
                    + std::to_string(static_cast<int>(*how)));
            host.state.end(each.task, *how);
            if (durableJobs)
                history.noteEnd(each.task, each.run, *how);
            if (each.gangSize > 1)
                endGang(each, *how);
        }
    }
    const auto due
        = std::stable_partition(events_.begin(), events_.end(), [this](const Event& each) { return each.at > now; });
    std::vector<Event> arrived(std::make_move_iterator(due), std::make_move_iterator(events_.end()));
    events_.erase(due, events_.end());
    std::shuffle(arrived.begin(), arrived.end(), random);
    for (const auto& each : arrived)
        each.run();
}

bool SimulatedWorld::isRunning(const Host& host, const SimulatedUpstream::Running& run)
{
    return std::any_of(host.state.running.begin(), host.state.running.end(),
        [&](const auto& each) { return each.task == run.task && each.run == run.run; });
}

bool SimulatedWorld::areOfOneGang(const SimulatedUpstream::Running& a, const SimulatedUpstream::Running& b)
{
    return a.task.occurrenceKey() == b.task.occurrenceKey() && a.task.step == b.task.step && a.run == b.run;
}

RunEnd SimulatedWorld::endOfCompleteRun(const SimulatedUpstream::Running& run) const
{
    std::uint32_t members = 0;
    for (const auto& host : hosts_)
        members += static_cast<std::uint32_t>(std::count_if(host.state.running.begin(), host.state.running.end(),
            [&](const auto& each) { return areOfOneGang(each, run); }));
    return run.gangSize == 1 || members == run.gangSize ? RunEnd::Done : RunEnd::GangIncomplete;
}

void SimulatedWorld::endGang(const SimulatedUpstream::Running& member, RunEnd how)
{
    for (auto& host : hosts_) {
        const auto running = host.state.running;
        for (const auto& each : running) {
            if (!areOfOneGang(each, member))
                continue;
            // A completed gang has one end for all members.
            history.noteEnd(each.task, each.run, how == RunEnd::Done ? how : RunEnd::GangBroken);
            if (how == RunEnd::Done)
                std::erase_if(host.state.running, [&](const auto& other) { return other.task == each.task; });
            else
                host.state.end(each.task, RunEnd::GangBroken);
        }
    }
}

void SimulatedWorld::call(int upstream, std::uint64_t fence, const UpstreamRequest& request,
    const std::weak_ptr<ProcessInbox>& answerTo, const std::function<void(const UpstreamResponse&)>& done)
{
    const auto& callee = hosts_[static_cast<std::size_t>(upstream)];
    const unsigned faultOdds = callee.disturbedUntil > now ? 5 : 100;
    if (callee.cutUntil > now || oneIn(faultOdds))
        return;
    const auto arrivesAt = now + (oneIn(faultOdds) && !durableJobs ? between(50, 3'000) : between(1, 5));
    // The lease of a late request is as long as it was when the request was sent.
    auto arriving = request;
    if (auto* report = std::get_if<ReportRequest>(&arriving); report != nullptr && report->deadline)
        *report->deadline += arrivesAt - now;
    const bool responseLost = oneIn(faultOdds);
    const auto responseDelay = oneIn(faultOdds) ? between(50, 1'000) : between(1, 5);
    events_.push_back(
        { arrivesAt, [=, this] {
             auto response = std::visit([&](const auto& each) { return execute(upstream, fence, each); }, arriving);
             if (responseLost)
                 return;
             const auto respond = [=, this, first = response] {
                 auto last = first;
                 const auto& host = hosts_[static_cast<std::size_t>(upstream)];
                 last.clock = clockOf(host);
                 const auto* report = std::get_if<ReportRequest>(&request);
                 if (report != nullptr && !first.fenced)
                     last.report = hosts_[static_cast<std::size_t>(upstream)].state.report(report->lastSeen);
                 if (const auto inbox = answerTo.lock())
                     inbox->waiting.emplace_back(now + responseDelay, [done, last] { done(last); });
             };
             const auto* report = std::get_if<ReportRequest>(&request);
             const bool waits = report != nullptr && report->waitMs > 0 && response.report.ended.empty();
             if (waits)
                 events_.push_back({ now + between(1, report->waitMs), respond });
             else
                 respond();
         } });
}

UpstreamResponse SimulatedWorld::responseOf(const Host& host) const
{
    UpstreamResponse response;
    response.clock = clockOf(host);
    return response;
}

void SimulatedWorld::extendLease(Host& host, std::int64_t deadline) const
{
    const auto granted = std::min(deadline, clockOf(host) + maxLeaseMs);
    host.state.leaseUntil = std::max(host.state.leaseUntil, static_cast<int>(granted));
}

void SimulatedWorld::checkStart(int upstream, const StartTask& start)
{
    auto used = start.job->steps[start.task.step].need.milliCores;
    for (const auto& each : hosts_[static_cast<std::size_t>(upstream)].state.running)
        used += each.milliCores;
    if (used > hosts_[static_cast<std::size_t>(upstream)].state.capacity && violation.empty())
        violation = "capacity exceeded on " + start.upstream.value + " by " + start.task.job.value + " at "
            + std::to_string(now);
    for (const auto& host : hosts_) {
        const bool completed = std::any_of(host.state.done.begin(), host.state.done.end(),
            [&](const auto& each) { return each.task == start.task && each.acknowledged; });
        if (durableJobs && completed && violation.empty())
            violation = "a completed task of " + start.task.job.value + " is started again at " + std::to_string(now);
        for (const auto& each : host.state.running) {
            if (each.task == start.task && violation.empty())
                violation = "two runs of a task of " + start.task.job.value + " at " + std::to_string(now);
        }
    }
}

UpstreamResponse SimulatedWorld::execute(int upstream, std::uint64_t fence, const StartRequest& request)
{
    auto& host = hosts_[static_cast<std::size_t>(upstream)];
    auto& state = host.state;
    const auto& start = request.start;
    auto response = responseOf(host);
    if (fence < state.fencingToken) {
        response.fenced = true;
        return response;
    }
    state.fencingToken = fence;
    auto& highestRun = state.highestRuns[start.task];
    const bool runs = std::any_of(state.running.begin(), state.running.end(),
        [&](const auto& each) { return each.task == start.task && each.run == start.run; });
    if (!runs && start.run <= highestRun) {
        response.refusal = StartRefusal::OldRun;
        extendLease(host, request.deadline);
        return response;
    }
    if (request.deadline <= clockOf(host)) {
        response.refusal = StartRefusal::Late;
        return response;
    }
    extendLease(host, request.deadline);
    if (runs)
        return response;
    checkStart(upstream, start);
    highestRun = start.run;
    const auto& step = start.job->steps[start.task.step];
    const auto runTime = static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(step.estimate).count());
    state.running.push_back({ .task = start.task,
        .run = start.run,
        .milliCores = step.need.milliCores,
        .endsAt = now + runTime * between(80, 120) / 100,
        .gangSize = step.gang ? step.count : 1 });
    ++runsStarted;
    trace(start.task.job,
        "starts on " + start.upstream.value + " run " + std::to_string(start.run.value) + " fence "
            + std::to_string(fence));
    return response;
}

UpstreamResponse SimulatedWorld::execute(int upstream, std::uint64_t fence, const StopRequest& request)
{
    auto& host = hosts_[static_cast<std::size_t>(upstream)];
    auto& state = host.state;
    auto response = responseOf(host);
    if (fence < state.fencingToken) {
        response.fenced = true;
        return response;
    }
    state.fencingToken = fence;
    if (oneIn(host.disturbedUntil > now ? 2 : 30)) {
        response.hadNoEffect = true;
        trace(request.stop.task.job, "stop without effect on " + request.stop.upstream.value);
        return response;
    }
    auto& highestRun = state.highestRuns[request.stop.task];
    highestRun = std::max(highestRun, request.stop.run);
    for (auto& each : state.running) {
        if (each.task == request.stop.task && each.run <= request.stop.run && each.stopEffectiveAt == 0)
            each.stopEffectiveAt = now + between(5, stopGraceMs - 5);
    }
    return response;
}

UpstreamResponse SimulatedWorld::execute(int upstream, std::uint64_t fence, const ReportRequest& request)
{
    auto& host = hosts_[static_cast<std::size_t>(upstream)];
    auto response = responseOf(host);
    if (fence < host.state.fencingToken) {
        response.fenced = true;
        return response;
    }
    host.state.fencingToken = fence;
    if (request.deadline)
        extendLease(host, *request.deadline);
    response.report = host.state.report(request.lastSeen);
    return response;
}

} // namespace Balsammill::Shards::Testing
