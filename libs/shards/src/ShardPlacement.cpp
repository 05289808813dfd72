#include "ShardEngineDetail.h"

#include "balsammill/shards/Forecast.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace Balsammill::Shards {

namespace {

// Weight of the room that a task would leave unused on an upstream, against the upstream's slowness: filling an
// upstream is worth less than one that is half as fast again.
constexpr double leftoverWeight = 0.5;
// Added to an upstream's cost when the task's data, or the tasks that it works with, are in another rack, where it
// takes up to twice as long.
constexpr double otherRackCost = 1.0;
// Added when the last run of the task failed there; more than any other cost, so it is the last resort.
constexpr double failedBeforeCost = 10.0;

// Work of a less urgent job counts this much less against a job that would make it late: callers of the most urgent
// queue lose about two and a half times as much per core-second as those of the others.
constexpr int lessUrgentDivisor = 3;

std::int64_t placesOf(const Resources& room, const Resources& need)
{
    auto places = std::numeric_limits<std::int64_t>::max();
    if (need.milliCores > 0)
        places = std::min(places, room.milliCores / need.milliCores);
    if (need.memoryMb > 0)
        places = std::min(places, room.memoryMb / need.memoryMb);
    if (need.accelerators > 0)
        places = std::min(places, room.accelerators / need.accelerators);
    // Tasks that need nothing fit without limit; the cap keeps the forecast small.
    return std::clamp<std::int64_t>(places, 0, 64);
}

} // namespace

// A need that found no room in this pass, so that larger ones need not be tried.
struct ShardEngine::Blocked {
    std::vector<std::pair<ServiceName, Resources>> needs;
    // Kept free for the most urgent task that found no room.
    UpstreamId reserved;

    bool covers(const ServiceName& service, const Resources& need) const
    {
        return std::any_of(needs.begin(), needs.end(),
            [&](const auto& each) { return each.first == service && each.second.fitsIn(need); });
    }
};

bool ShardEngine::usable(const Upstream& upstream, TimePoint now) const
{
    return upstream.registered && upstream.isDescribed() && upstream.confirmed && upstream.foreignRuns == 0
        && upstream.reachable && !upstream.info.draining && now >= upstream.suspectedUntil;
}

bool ShardEngine::canHold(const Upstream& upstream, const JobSpec& job, const StepSpec& step) const
{
    return upstream.info.service == job.service && step.need.fitsIn(upstream.info.capacity)
        && (step.requiredLabel.empty() || upstream.info.hasLabel(step.requiredLabel));
}

// The rack in which the tasks of a step should run; empty if any will do.
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
    // None runs yet: the data's rack if it has room for all, else the rack with the most room.
    std::map<std::string, std::int64_t> places;
    for (const auto& [id, upstream] : upstreams_) {
        if (usable(upstream, now) && canHold(upstream, *job.spec, spec))
            places[upstream.info.rack] += placesOf(upstream.room, spec.need);
    }
    const auto data = places.find(spec.preferredRack);
    if (places.empty() || (data != places.end() && data->second >= job.steps[stepIndex].waiting))
        return spec.preferredRack;
    return std::max_element(places.begin(), places.end(), [](const auto& a, const auto& b) {
        return a.second < b.second;
    })->first;
}

ShardEngine::Upstream* ShardEngine::choose(const Job& job, std::uint32_t stepIndex, const Task& task,
    const std::string& rack, const UpstreamId& reserved, TimePoint now)
{
    const auto& step = job.spec->steps[stepIndex];
    Upstream* best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    for (auto& [id, upstream] : upstreams_) {
        if (!usable(upstream, now) || id == reserved || !canHold(upstream, *job.spec, step)
            || !step.need.fitsIn(upstream.room))
            continue;
        if (job.spec->advice && job.steps[stepIndex].permits.ticketFor(upstream.info, now) == nullptr)
            continue;
        if (upstream.onProbation && !upstream.runs.empty())
            continue;
        if (step.maxPerUpstream > 0) {
            const auto there = std::count_if(upstream.runs.begin(), upstream.runs.end(),
                [&](const auto& run) { return run.first.occurrenceKey() == job.key && run.first.step == stepIndex; });
            if (there >= step.maxPerUpstream)
                continue;
        }
        const auto left = static_cast<double>(upstream.room.milliCores - step.need.milliCores);
        double cost = model_.slowness(id)
            + leftoverWeight * left / static_cast<double>(std::max<std::int64_t>(upstream.info.capacity.milliCores, 1));
        if (!rack.empty() && !upstream.info.hasLabel(rack))
            cost += otherRackCost;
        if (task.avoid == id)
            cost += failedBeforeCost;
        if (cost < bestCost) {
            bestCost = cost;
            best = &upstream;
        }
    }
    return best;
}

void ShardEngine::startTask(
    Job& job, std::uint32_t stepIndex, std::uint32_t index, Upstream& upstream, RunNumber number, TimePoint now)
{
    auto& step = job.steps[stepIndex];
    auto& task = step.tasks[index];
    const auto& spec = job.spec->steps[stepIndex];
    const auto key = job.taskKey(stepIndex, index);
    const auto expected = job.expectedRunTime(model_, stepIndex);
    const auto there = Duration(
        static_cast<Duration::rep>(static_cast<double>(expected.count()) * model_.slowness(upstream.info.id)));
    task.state = Task::State::Active;
    task.run = number;
    task.upstream = upstream.info.id;
    --step.waiting;
    ++step.active;
    job.highestRun.value = std::max(job.highestRun.value, number.value);
    if (!job.started)
        job.firstStartAt = now;
    job.started = true;
    job.lastStartAt = now;
    upstream.room -= spec.need;
    upstream.runs.emplace(key,
        Run { .number = number,
            .job = job.key,
            .upstream = upstream.info.id,
            .need = spec.need,
            .state = RunState::Ordered,
            .orderedAt = now,
            .expectedEnd = now + there });
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
        if (task.state != Task::State::Waiting || now < task.notBefore || task.isExpected(now))
            continue;
        // Another run of the task may still be ending elsewhere.
        if (liveRuns_.contains(job.taskKey(stepIndex, index)))
            continue;
        auto* upstream = choose(job, stepIndex, task, rack, blocked.reserved, now);
        if (upstream == nullptr)
            return false;
        const RunNumber number { std::max(task.run.value, job.runFloor.value) + 1 };
        startTask(job, stepIndex, index, *upstream, number, now);
    }
    return true;
}

bool ShardEngine::placeGang(Job& job, std::uint32_t stepIndex, Blocked& blocked, TimePoint now)
{
    auto& step = job.steps[stepIndex];
    const auto& spec = job.spec->steps[stepIndex];
    // All members start together, so nothing of an earlier run may be left.
    if (step.active > 0)
        return true;
    for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
        if (liveRuns_.contains(job.taskKey(stepIndex, index)) || step.tasks[index].isExpected(now))
            return true;
    }
    const auto rack = rackFor(job, stepIndex, now);
    std::vector<Upstream*> members;
    for (const auto& task : step.tasks) {
        auto* upstream = choose(job, stepIndex, task, rack, blocked.reserved, now);
        if (upstream == nullptr)
            break;
        upstream->room -= spec.need;
        members.push_back(upstream);
    }
    for (auto* upstream : members)
        upstream->room += spec.need;
    if (members.size() < step.tasks.size())
        return false;
    const RunNumber number { std::max(job.highestRun.value, job.runFloor.value) + 1 };
    for (std::uint32_t index = 0; index < members.size(); ++index)
        startTask(job, stepIndex, index, *members[index], number, now);
    return true;
}

Duration ShardEngine::chain(const JobSpec& spec) const
{
    std::vector<Duration> endOf(spec.steps.size());
    Duration longest {};
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        Duration begin {};
        for (const auto earlier : spec.steps[i].after)
            begin = std::max(begin, endOf[earlier]);
        endOf[i] = begin + adviceTime(spec) + model_.predict(spec, spec.steps[i]);
        longest = std::max(longest, endOf[i]);
    }
    return longest;
}

Duration ShardEngine::remainingChain(const Job& job) const
{
    std::vector<Duration> endOf(job.steps.size());
    Duration longest {};
    for (std::uint32_t i = 0; i < job.steps.size(); ++i) {
        Duration begin {};
        for (const auto earlier : job.spec->steps[i].after)
            begin = std::max(begin, endOf[earlier]);
        const bool open = job.steps[i].done < job.steps[i].tasks.size();
        const auto advice = job.steps[i].permits.empty() ? adviceTime(*job.spec) : Duration::zero();
        endOf[i] = begin + (open ? advice + job.expectedRunTime(model_, i) : Duration::zero());
        longest = std::max(longest, endOf[i]);
    }
    return longest;
}

std::vector<ShardEngine::Place> ShardEngine::jobsInOrder(TimePoint now) const
{
    std::vector<Place> order;
    for (const auto& [key, job] : jobs_) {
        bool waits = false;
        for (std::uint32_t i = 0; i < job->steps.size(); ++i)
            waits = waits || stepIsReady(*job, i);
        if (!waits || (job->inherited && now < inheritedHeldUntil_))
            continue;
        // A task that has to run all the time is missed from the moment it is not there.
        const bool lasting = job->spec->longRunning;
        const auto latestStart = lasting ? job->submittedAt : job->objectiveAt - remainingChain(*job);
        // A job that has begun keeps its place, so that the work done for it is not wasted by waiting.
        order.push_back({ .late = latestStart < now && !job->started && !lasting,
            .latestStart = latestStart,
            .job = job.get(),
            .spec = job->spec.get() });
    }
    std::sort(order.begin(), order.end(), [](const Place& a, const Place& b) {
        if (a.before(b) != b.before(a))
            return a.before(b);
        return std::tie(a.job->submission, a.job->key) < std::tie(b.job->submission, b.job->key);
    });
    return order;
}

void ShardEngine::schedule(TimePoint now)
{
    Blocked blocked;
    for (const auto& place : jobsInOrder(now)) {
        auto* job = place.job;
        for (std::uint32_t i = 0; i < job->steps.size(); ++i) {
            const auto& step = job->spec->steps[i];
            if (!stepIsReady(*job, i) || blocked.covers(job->spec->service, step.need))
                continue;
            if (placeStep(*job, i, blocked, now))
                continue;
            // Room that the step is not allowed to use says nothing about other steps.
            if (job->spec->advice) {
                askPermits(*job, i, now);
                continue;
            }
            if (step.requiredLabel.empty() && step.maxPerUpstream == 0 && !step.gang)
                blocked.needs.emplace_back(job->spec->service, step.need);
            if (!blocked.reserved.empty())
                continue;
            // Without a reservation smaller tasks would take each piece of room before a large one fits.
            TimePoint soonest = TimePoint::max();
            for (const auto& [id, upstream] : upstreams_) {
                if (!usable(upstream, now) || upstream.onProbation || !canHold(upstream, *job->spec, step))
                    continue;
                Resources room = upstream.room;
                std::vector<const Run*> runs;
                for (const auto& [key, run] : upstream.runs)
                    runs.push_back(&run);
                std::sort(runs.begin(), runs.end(),
                    [](const Run* a, const Run* b) { return a->expectedEnd < b->expectedEnd; });
                for (const auto* run : runs) {
                    room += run->need;
                    if (!step.need.fitsIn(room))
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

std::vector<TimePoint> ShardEngine::placesFreeAt(const JobSpec& job, const StepSpec& step, TimePoint now) const
{
    std::vector<TimePoint> places;
    for (const auto& [id, upstream] : upstreams_) {
        if (!usable(upstream, now) || !canHold(upstream, job, step))
            continue;
        Resources room = upstream.room;
        auto open = placesOf(room, step.need);
        places.insert(places.end(), static_cast<std::size_t>(open), now);
        std::vector<const Run*> runs;
        for (const auto& [key, run] : upstream.runs)
            runs.push_back(&run);
        std::sort(runs.begin(), runs.end(), [](const Run* a, const Run* b) { return a->expectedEnd < b->expectedEnd; });
        for (const auto* run : runs) {
            room += run->need;
            const auto more = placesOf(room, step.need);
            for (; open < more; ++open)
                places.push_back(run->expectedEnd);
        }
    }
    return places;
}

ShardEngine::Plan ShardEngine::plan(std::vector<Place> order, const JobSpec& sizedFor, TimePoint now) const
{
    // Places are counted in tasks of one size; tasks of the queues of one service are of similar size.
    Forecast places(placesFreeAt(sizedFor, sizedFor.steps.front(), now), now);
    Plan plan;
    for (const auto& place : order) {
        std::vector<TimePoint> endOf(place.spec->steps.size(), now);
        TimePoint end = now;
        for (std::uint32_t i = 0; i < endOf.size(); ++i) {
            TimePoint begin = now;
            for (const auto earlier : place.spec->steps[i].after)
                begin = std::max(begin, endOf[earlier]);
            const auto tasks = place.job == nullptr ? place.spec->steps[i].count : place.job->steps[i].waiting;
            if (tasks == 0)
                continue;
            const auto runTime = place.job == nullptr ? model_.predict(*place.spec, place.spec->steps[i])
                                                      : place.job->expectedRunTime(model_, i);
            if (place.job == nullptr || place.job->steps[i].permits.empty())
                begin += adviceTime(*place.spec);
            endOf[i] = places.add({ .tasks = tasks, .runTime = runTime }, begin);
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
    const auto longestChain = chain(spec);
    result.objectiveAt = arrivedAt + spec.targetOverhead
        + Duration(static_cast<Duration::rep>(spec.stretch * static_cast<double>(longestChain.count())));
    for (const auto& step : spec.steps) {
        const bool possible = std::any_of(upstreams_.begin(), upstreams_.end(), [&](const auto& entry) {
            return entry.second.registered && !entry.second.info.draining && canHold(entry.second, spec, step);
        });
        result.impossible = result.impossible || !possible;
        const auto coreTime = model_.predict(spec, step) * step.count * step.need.milliCores / 1000;
        result.ownWork += coreTime;
    }
    if (result.impossible || spec.steps.empty())
        return result;

    const Place own { .late = false, .latestStart = result.objectiveAt - longestChain, .job = nullptr, .spec = &spec };
    const auto before = jobsInOrder(now);
    auto with = before;
    const auto position
        = std::upper_bound(with.begin(), with.end(), own, [](const Place& a, const Place& b) { return a.before(b); });
    const auto index = static_cast<std::size_t>(position - with.begin());
    with.insert(position, own);
    const auto planned = plan(std::move(with), spec, now);
    result.endAt = planned.endAt[index];
    if (index + 1 == planned.order.size())
        return result;
    const auto unchanged = plan(before, spec, now);
    for (std::size_t i = index; i < before.size(); ++i) {
        const auto* job = before[i].job;
        if (unchanged.endAt[i] > job->objectiveAt || planned.endAt[i + 1] <= job->objectiveAt)
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

void ShardEngine::giveUpHopeless(TimePoint now)
{
    const auto order = jobsInOrder(now);
    const auto firstLate = std::find_if(order.begin(), order.end(), [](const Place& place) { return place.late; });
    if (firstLate == order.end())
        return;
    const auto planned = plan(order, *firstLate->spec, now);
    for (std::size_t i = 0; i < planned.order.size(); ++i) {
        const auto& place = planned.order[i];
        if (place.late && !place.job->spec->durable && planned.endAt[i] > place.job->uselessAfter())
            finishJob(*place.job, JobResult::NotRun, now);
    }
}

} // namespace Balsammill::Shards
