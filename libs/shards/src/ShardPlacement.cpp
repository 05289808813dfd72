#include "ShardEngineDetail.h"

#include "balsammill/shards/Forecast.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace Balsammill::Shards {

namespace {

// Weight of the share of an upstream's capacity that the task would leave unused, relative to the upstream's slowness.
// Filling an upstream is preferred, but less than using one that is half as fast again.
constexpr double unusedCapacityWeight = 0.5;
// Cost of an upstream in another rack than the task's data or the related tasks. The task takes up to twice as long
// there.
constexpr double otherRackCost = 1.0;
// Weight of the expected slowdown by other tasks on the upstream. The ratings of upstreams vary by a third, and would
// outweigh a slowdown by half without it.
constexpr double interferenceWeight = 2.0;
// Less than the cost of an upstream on which the task has failed.
constexpr double maxInterferenceCost = 5.0;
// Cost of a cold upstream: its tasks take longer, so a warm one is preferred even in another rack.
constexpr double coldCost = 1.5;
// Cost of an upstream on which the last run of the task failed, was overdue or, for a long-running task, ended too
// soon. It exceeds the costs above, so the upstream is used only if there is no other, or only ones that are about ten
// times as slow as usual.
constexpr double failedRunCost = 10.0;

// Work of a less urgent job that would become late is divided by this. Clients of the most urgent queue lose about two
// and a half times as much per core-second as those of the other queues.
constexpr int lessUrgentDivisor = 3;

std::int64_t countSlots(const Resources& freeCapacity, const Resources& need)
{
    auto slots = std::numeric_limits<std::int64_t>::max();
    if (need.milliCores > 0)
        slots = std::min(slots, freeCapacity.milliCores / need.milliCores);
    if (need.memoryMb > 0)
        slots = std::min(slots, freeCapacity.memoryMb / need.memoryMb);
    if (need.accelerators > 0)
        slots = std::min(slots, freeCapacity.accelerators / need.accelerators);
    // Tasks without requirements fit without limit; the cap bounds the size of the forecast.
    return std::clamp<std::int64_t>(slots, 0, 64);
}

} // namespace

// Resource needs that could not be placed in this scheduling pass, so that larger ones need not be tried.
struct ShardEngine::Blocked {
    std::vector<std::pair<ServiceName, Resources>> needs;
    // Upstream reserved for the most urgent task that could not be placed.
    UpstreamId reserved;

    bool covers(const ServiceName& service, const Resources& need) const
    {
        return std::any_of(needs.begin(), needs.end(),
            [&](const auto& each) { return each.first == service && each.second.fitsIn(need); });
    }
};

bool ShardEngine::hasRunThatEnds(const Upstream& upstream)
{
    return std::any_of(
        upstream.runs.begin(), upstream.runs.end(), [](const auto& entry) { return !entry.second.longRunning; });
}

bool ShardEngine::isUsable(const Upstream& upstream, TimePoint now) const
{
    return upstream.registered && upstream.hasCurrentRegistration() && upstream.confirmed
        && upstream.earlierOwnerRuns == 0 && upstream.reachable && !upstream.info.draining
        && now >= upstream.suspectedUntil;
}

bool ShardEngine::canHold(const Upstream& upstream, const JobSpec& job, const StepSpec& step) const
{
    return upstream.info.service == job.service && step.need.fitsIn(upstream.info.capacity)
        && (step.requiredLabel.empty() || upstream.info.hasLabel(step.requiredLabel));
}

// The rack in which the tasks of a step should run; empty if there is no preference.
std::string ShardEngine::rackFor(const Job& job, std::uint32_t stepIndex, TimePoint now) const
{
    const auto& spec = job.spec->steps[stepIndex];
    if (!spec.sameRack)
        return spec.preferredRack;
    for (const auto& task : job.steps[stepIndex].tasks) {
        const auto upstream = upstreams_.find(task.upstream);
        if (task.state == Task::State::Active && upstream != upstreams_.end())
            return upstream->second.info.rack;
    }
    // No task runs yet: the rack of the data if all waiting tasks fit there, else the rack with the most free slots.
    std::map<std::string, std::int64_t> slots;
    for (const auto& [id, upstream] : upstreams_) {
        if (isUsable(upstream, now) && canHold(upstream, *job.spec, spec))
            slots[upstream.info.rack] += countSlots(upstream.freeCapacity, spec.need);
    }
    const auto data = slots.find(spec.preferredRack);
    if (slots.empty() || (data != slots.end() && data->second >= job.steps[stepIndex].waiting))
        return spec.preferredRack;
    return std::max_element(slots.begin(), slots.end(), [](const auto& a, const auto& b) {
        return a.second < b.second;
    })->first;
}

ShardEngine::Upstream* ShardEngine::chooseUpstream(const Job& job, std::uint32_t stepIndex, const Task& task,
    const std::string& rack, const UpstreamId& reserved, TimePoint now)
{
    const auto& step = job.spec->steps[stepIndex];
    const auto latestEnd = latestEndFor(job.origin);
    const auto kind = interference_.any() ? interference_.kindOf(*job.spec, step, now) : std::optional<TaskKind>();
    Upstream* best = nullptr;
    Upstream* bestWithoutInterference = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    double bestCostWithoutInterference = std::numeric_limits<double>::max();
    for (auto& [id, upstream] : upstreams_) {
        if (!isUsable(upstream, now) || id == reserved || !canHold(upstream, *job.spec, step)
            || !hasRoomFor(upstream, step.need, now))
            continue;
        // These last until a confirmation or the end of a run arrives, so forecasts count on the upstream.
        if (!upstream.mayExtendLease(now) || upstream.leaseEndsBy > latestEnd
            || isLeaseLimitedByOwnership(upstream, now))
            continue;
        if (job.spec->advice && job.steps[stepIndex].permits.ticketFor(upstream.info, now) == nullptr)
            continue;
        if (upstream.onProbation && hasRunThatEnds(upstream))
            continue;
        if (step.maxPerUpstream > 0) {
            const auto runsOfStep = std::count_if(upstream.runs.begin(), upstream.runs.end(),
                [&](const auto& run) { return run.first.occurrenceKey() == job.key && run.first.step == stepIndex; });
            if (runsOfStep >= step.maxPerUpstream)
                continue;
        }
        const auto unusedMilliCores = static_cast<double>(upstream.freeCapacity.milliCores - step.need.milliCores);
        double cost = model_.slowness(id)
            + unusedCapacityWeight * unusedMilliCores
                / static_cast<double>(std::max<std::int64_t>(upstream.info.capacity.milliCores, 1));
        if (!rack.empty() && !upstream.info.hasLabel(rack))
            cost += otherRackCost;
        if (upstream.isCold(now))
            cost += coldCost;
        if (task.avoid == id)
            cost += failedRunCost;
        if (cost < bestCostWithoutInterference) {
            bestCostWithoutInterference = cost;
            bestWithoutInterference = &upstream;
        }
        if (kind)
            cost += std::min(interferenceWeight * interference_.cost(*kind, kindsOn(upstream)), maxInterferenceCost);
        if (cost < bestCost) {
            bestCost = cost;
            best = &upstream;
        }
    }
    placementsApart_ += best != bestWithoutInterference ? 1 : 0;
    return best;
}

TaskKinds ShardEngine::kindsOn(const Upstream& upstream)
{
    TaskKinds kinds = 0;
    for (const auto& [key, run] : upstream.runs)
        kinds |= run.kind ? InterferenceModel::bitOf(*run.kind) : 0;
    return kinds;
}

void ShardEngine::noteNeighbours(Upstream& upstream, Run& started)
{
    if (!started.kind)
        return;
    for (auto& [key, run] : upstream.runs) {
        if (&run == &started || !run.kind)
            continue;
        run.beside |= InterferenceModel::bitOf(*started.kind);
        started.beside |= InterferenceModel::bitOf(*run.kind);
    }
}

void ShardEngine::startTask(
    Job& job, std::uint32_t stepIndex, std::uint32_t index, Upstream& upstream, RunNumber number, TimePoint now)
{
    auto& step = job.steps[stepIndex];
    auto& task = step.tasks[index];
    const auto& spec = job.spec->steps[stepIndex];
    const auto key = job.taskKey(stepIndex, index);
    const auto expected = job.expectedRunTime(model_, stepIndex);
    const auto adjustedRunTime = Duration(
        static_cast<Duration::rep>(static_cast<double>(expected.count()) * model_.slowness(upstream.info.id)));
    task.state = Task::State::Active;
    job.noteRun(task, number);
    task.upstream = upstream.info.id;
    --step.waiting;
    ++step.active;
    if (!job.started)
        job.firstStartAt = now;
    job.started = true;
    job.lastStartAt = now;
    upstream.freeCapacity -= spec.need;
    const auto [started, added] = upstream.runs.emplace(key,
        Run { .number = number,
            .job = job.key,
            .upstream = upstream.info.id,
            .origin = job.origin,
            .need = spec.need,
            .kind = interference_.kindOf(*job.spec, spec, now),
            .longRunning = job.spec->longRunning,
            .startedCold = upstream.isCold(now),
            .state = RunState::StartSent,
            .startSentAt = now,
            .expectedEnd = now + adjustedRunTime,
            .checkAt = now + adjustedRunTime + std::max(lateEndMargin, adjustedRunTime / lateEndDivisor) });
    noteNeighbours(upstream, started->second);
    ++liveRuns_[key];
    const auto* ticket = job.spec->advice ? step.permits.ticketFor(upstream.info, now) : nullptr;
    actions_.emplace_back(StartTask { .upstream = upstream.info.id,
        .task = key,
        .run = number,
        .job = job.spec,
        .checkpoint = task.checkpoint,
        .ticket = ticket == nullptr ? std::string() : *ticket });
}

bool ShardEngine::stepIsReady(const Job& job, std::uint32_t step) const
{
    if (job.steps[step].waiting == 0)
        return false;
    const auto& after = job.spec->steps[step].after;
    return std::all_of(after.begin(), after.end(),
        [&](std::uint32_t earlier) { return job.steps[earlier].done == job.steps[earlier].tasks.size(); });
}

bool ShardEngine::placeStep(Job& job, std::uint32_t stepIndex, Blocked& blocked, TimePoint now)
{
    const auto& spec = job.spec->steps[stepIndex];
    if (spec.gang)
        return placeGang(job, stepIndex, blocked, now);
    auto& step = job.steps[stepIndex];
    const auto rack = rackFor(job, stepIndex, now);
    for (std::uint32_t index = 0; index < step.tasks.size() && step.waiting > 0; ++index) {
        auto& task = step.tasks[index];
        if (task.state != Task::State::Waiting || now < task.notBefore || isExpected(task, now))
            continue;
        // An earlier run of the task may still be in progress on an upstream.
        if (liveRuns_.contains(job.taskKey(stepIndex, index)))
            continue;
        const RunNumber number { std::max(task.run.value, job.runFloor.value) + 1 };
        if (!takeRunNumber(job, number))
            continue;
        auto* upstream = chooseUpstream(job, stepIndex, task, rack, blocked.reserved, now);
        if (upstream == nullptr)
            return false;
        startTask(job, stepIndex, index, *upstream, number, now);
    }
    return true;
}

bool ShardEngine::placeGang(Job& job, std::uint32_t stepIndex, Blocked& blocked, TimePoint now)
{
    auto& step = job.steps[stepIndex];
    const auto& spec = job.spec->steps[stepIndex];
    // All members start together, so no run of an earlier start may be left.
    if (step.active > 0)
        return true;
    for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
        if (liveRuns_.contains(job.taskKey(stepIndex, index)) || isExpected(step.tasks[index], now))
            return true;
    }
    const RunNumber number { std::max(job.highestRun.value, job.runFloor.value) + 1 };
    if (!takeRunNumber(job, number))
        return true;
    const auto rack = rackFor(job, stepIndex, now);
    std::vector<Upstream*> members;
    for (const auto& task : step.tasks) {
        auto* upstream = chooseUpstream(job, stepIndex, task, rack, blocked.reserved, now);
        if (upstream == nullptr)
            break;
        upstream->freeCapacity -= spec.need;
        members.push_back(upstream);
    }
    for (auto* upstream : members)
        upstream->freeCapacity += spec.need;
    if (members.size() < step.tasks.size())
        return false;
    for (std::uint32_t index = 0; index < members.size(); ++index)
        startTask(job, stepIndex, index, *members[index], number, now);
    return true;
}

Duration ShardEngine::criticalPath(const JobSpec& spec) const
{
    std::vector<Duration> endOf(spec.steps.size());
    Duration longest {};
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        Duration begin {};
        for (const auto earlier : spec.steps[i].after)
            begin = std::max(begin, endOf[earlier]);
        endOf[i] = begin + maxAdviceTime(spec) + model_.predict(spec, spec.steps[i]);
        longest = std::max(longest, endOf[i]);
    }
    return longest;
}

Duration ShardEngine::remainingCriticalPath(const Job& job) const
{
    std::vector<Duration> endOf(job.steps.size());
    Duration longest {};
    for (std::uint32_t i = 0; i < job.steps.size(); ++i) {
        Duration begin {};
        for (const auto earlier : job.spec->steps[i].after)
            begin = std::max(begin, endOf[earlier]);
        const bool open = job.steps[i].done < job.steps[i].tasks.size();
        const auto advice = job.steps[i].permits.empty() ? maxAdviceTime(*job.spec) : Duration::zero();
        endOf[i] = begin + (open ? advice + job.expectedRunTime(model_, i) : Duration::zero());
        longest = std::max(longest, endOf[i]);
    }
    return longest;
}

std::vector<ShardEngine::QueuedJob> ShardEngine::jobsInPlacementOrder(TimePoint now) const
{
    std::vector<QueuedJob> order;
    const bool inheritedMayStart = mayStartInherited(now);
    for (const auto& [key, job] : jobs_) {
        bool waits = false;
        for (std::uint32_t i = 0; i < job->steps.size(); ++i)
            waits = waits || stepIsReady(*job, i);
        if (!waits || (job->inherited && !inheritedMayStart) || !isOriginConfirmed(*job, now))
            continue;
        // A long-running task is due from the moment its job was submitted.
        const bool runsIndefinitely = job->spec->longRunning;
        const auto latestStart = runsIndefinitely ? job->submittedAt : job->objectiveAt - remainingCriticalPath(*job);
        // A job that has started is never moved behind the others, so that the work done for it is not wasted.
        order.push_back({ .late = latestStart < now && !job->started && !runsIndefinitely,
            .latestStart = latestStart,
            .job = job.get(),
            .spec = job->spec.get() });
    }
    std::sort(order.begin(), order.end(), [](const QueuedJob& a, const QueuedJob& b) {
        if (a.before(b) != b.before(a))
            return a.before(b);
        return std::tie(a.job->submission, a.job->key) < std::tie(b.job->submission, b.job->key);
    });
    return order;
}

void ShardEngine::schedule(TimePoint now)
{
    if (startsHeld_ || !mayStartTasks(now))
        return;
    Blocked blocked;
    for (const auto& queued : jobsInPlacementOrder(now)) {
        auto* job = queued.job;
        for (std::uint32_t i = 0; i < job->steps.size(); ++i) {
            const auto& step = job->spec->steps[i];
            if (!stepIsReady(*job, i) || blocked.covers(job->spec->service, step.need))
                continue;
            if (placeStep(*job, i, blocked, now))
                continue;
            // The step may have failed for lack of tickets, so it neither blocks other needs nor reserves an upstream.
            if (job->spec->advice) {
                requestPermits(*job, i, now);
                continue;
            }
            if (step.requiredLabel.empty() && step.maxPerUpstream == 0 && !step.gang)
                blocked.needs.emplace_back(job->spec->service, step.need);
            if (!blocked.reserved.empty())
                continue;
            // Without a reservation, small tasks would take up capacity as it becomes free and starve a large one.
            TimePoint soonest = TimePoint::max();
            for (const auto& [id, upstream] : upstreams_) {
                if (!isUsable(upstream, now) || upstream.onProbation || !canHold(upstream, *job->spec, step))
                    continue;
                Resources freeCapacity = usableCapacity(upstream, now);
                std::vector<const Run*> runs;
                for (const auto& [key, run] : upstream.runs)
                    runs.push_back(&run);
                std::sort(runs.begin(), runs.end(),
                    [](const Run* a, const Run* b) { return a->expectedEnd < b->expectedEnd; });
                for (const auto* run : runs) {
                    // Its capacity may never become free, and the reservation would keep the rest from all others.
                    if (run->longRunning)
                        continue;
                    freeCapacity += run->need;
                    // An upstream without runs takes any task that it can hold.
                    if (!step.need.fitsIn(freeCapacity) && run != runs.back())
                        continue;
                    if (run->expectedEnd < soonest) {
                        soonest = run->expectedEnd;
                        blocked.reserved = id;
                    }
                    break;
                }
            }
        }
    }
}

std::vector<TimePoint> ShardEngine::slotsFreeAt(const JobSpec& job, const StepSpec& step, TimePoint now) const
{
    std::vector<TimePoint> slots;
    for (const auto& [id, upstream] : upstreams_) {
        if (!isUsable(upstream, now) || !canHold(upstream, job, step))
            continue;
        Resources freeCapacity = usableCapacity(upstream, now);
        auto open = countSlots(freeCapacity, step.need);
        if (open == 0 && hasRoomFor(upstream, step.need, now))
            open = 1;
        slots.insert(slots.end(), static_cast<std::size_t>(open), now);
        std::vector<const Run*> runs;
        for (const auto& [key, run] : upstream.runs)
            runs.push_back(&run);
        std::sort(runs.begin(), runs.end(), [](const Run* a, const Run* b) { return a->expectedEnd < b->expectedEnd; });
        for (const auto* run : runs) {
            freeCapacity += run->need;
            const auto more = countSlots(freeCapacity, step.need);
            for (; open < more; ++open)
                slots.push_back(run->expectedEnd);
        }
    }
    return slots;
}

ShardEngine::Plan ShardEngine::plan(std::vector<QueuedJob> order, const JobSpec& sizedFor, TimePoint now) const
{
    // Slots are counted for tasks of one size, as the tasks of the queues of one service have similar sizes.
    Forecast slots(slotsFreeAt(sizedFor, sizedFor.steps.front(), now), now);
    Plan plan;
    for (const auto& queued : order) {
        std::vector<TimePoint> endOf(queued.spec->steps.size(), now);
        TimePoint end = now;
        for (std::uint32_t i = 0; i < endOf.size(); ++i) {
            TimePoint begin = now;
            for (const auto earlier : queued.spec->steps[i].after)
                begin = std::max(begin, endOf[earlier]);
            const auto tasks = queued.job == nullptr ? queued.spec->steps[i].count : queued.job->steps[i].waiting;
            if (tasks == 0)
                continue;
            const auto runTime = queued.job == nullptr ? model_.predict(*queued.spec, queued.spec->steps[i])
                                                       : queued.job->expectedRunTime(model_, i);
            if (queued.job == nullptr || queued.job->steps[i].permits.empty())
                begin += maxAdviceTime(*queued.spec);
            endOf[i] = slots.add({ .tasks = tasks, .runTime = runTime }, begin);
            end = std::max(end, endOf[i]);
        }
        plan.endAt.push_back(end);
    }
    plan.order = std::move(order);
    return plan;
}

JobForecast ShardEngine::forecast(const JobSpec& spec, TimePoint arrivedAt, TimePoint now) const
{
    JobForecast result;
    const auto criticalPathTime = criticalPath(spec);
    result.objectiveAt = arrivedAt + spec.targetOverhead
        + Duration(static_cast<Duration::rep>(spec.stretch * static_cast<double>(criticalPathTime.count())));
    for (const auto& step : spec.steps) {
        const bool possible = std::any_of(upstreams_.begin(), upstreams_.end(), [&](const auto& entry) {
            return entry.second.registered && !entry.second.info.draining && canHold(entry.second, spec, step);
        });
        result.impossible = result.impossible || !possible;
        const auto coreTime = model_.predict(spec, step) * step.count * step.need.milliCores / 1000;
        result.ownWork += coreTime;
    }
    if (noStartsFrom_)
        result.impossible = result.evacuated = true;
    if (result.impossible || spec.steps.empty())
        return result;

    const QueuedJob own {
        .late = false, .latestStart = result.objectiveAt - criticalPathTime, .job = nullptr, .spec = &spec
    };
    const auto before = jobsInPlacementOrder(now);
    auto orderWithJob = before;
    const auto position = std::upper_bound(orderWithJob.begin(), orderWithJob.end(), own,
        [](const QueuedJob& a, const QueuedJob& b) { return a.before(b); });
    const auto index = static_cast<std::size_t>(position - orderWithJob.begin());
    orderWithJob.insert(position, own);
    const auto planWithJob = plan(std::move(orderWithJob), spec, now);
    result.endAt = planWithJob.endAt[index];
    if (index + 1 == planWithJob.order.size())
        return result;
    const auto planWithoutJob = plan(before, spec, now);
    for (std::size_t i = index; i < before.size(); ++i) {
        const auto* job = before[i].job;
        if (planWithoutJob.endAt[i] > job->objectiveAt || planWithJob.endAt[i + 1] <= job->objectiveAt)
            continue;
        Duration work {};
        for (std::uint32_t step = 0; step < job->steps.size(); ++step)
            work += job->expectedRunTime(model_, step) * job->steps[step].tasks.size()
                * job->spec->steps[step].need.milliCores / 1000;
        const bool lessUrgent = job->spec->priority > spec.priority;
        result.displacedWork += lessUrgent ? work / lessUrgentDivisor : work;
    }
    return result;
}

void ShardEngine::dropLateJobs(TimePoint now)
{
    const auto order = jobsInPlacementOrder(now);
    const auto firstLate
        = std::find_if(order.begin(), order.end(), [](const QueuedJob& queued) { return queued.late; });
    if (firstLate == order.end())
        return;
    const auto planned = plan(order, *firstLate->spec, now);
    for (std::size_t i = 0; i < planned.order.size(); ++i) {
        const auto& queued = planned.order[i];
        if (queued.late && !queued.job->spec->durable && planned.endAt[i] > queued.job->latestUsefulEnd())
            finishJob(*queued.job, JobResult::NotRun, now);
    }
}

} // namespace Balsammill::Shards
