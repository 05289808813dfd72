#include "balsammill/policy/Scheduler.h"

#include "SchedulerDetail.h"

#include <algorithm>

namespace Balsammill {

namespace {

using namespace std::chrono_literals;

// A flow may queue this many times the room that is left, so that a flood never takes the whole queue.
constexpr std::size_t flowRoomFactor = 8;
constexpr Duration minRetryDelay = 10ms;
constexpr Duration maxRetryDelay = 10s;
// A time-out after a shorter run comes from the deadline and says nothing against the upstream's health. Counting it
// would eject healthy upstreams in an overload, when tasks start late.
constexpr int slowRunFactor = 3;

Detail::UpstreamSetOptions upstreamSetOptions(const SchedulerOptions& options)
{
    return { .choice = options.choice, .maxEjectedShare = options.maxEjectedShare, .randomSeed = options.randomSeed };
}

RpcErrorDetails notRun(ErrorCode code, std::string message, Duration retryAfter = {})
{
    return { .code = code, .message = std::move(message), .verdict = Verdict::NotRun, .retryAfter = retryAfter };
}

RpcErrorDetails exhausted(std::string message, Duration wait)
{
    return notRun(ErrorCode::ResourceExhausted, std::move(message), std::clamp(wait, minRetryDelay, maxRetryDelay));
}

std::string millis(Duration duration) { return std::to_string(duration.count() / 1000) + " ms"; }

} // namespace

Scheduler::Detail::Detail(SchedulerOptions given)
    : options(std::move(given))
    , queue(std::in_place_type<Balsammill::Detail::FairQueue>, estimates, options.teamWeights)
    , upstreams(upstreamSetOptions(options))
{
    if (options.order == QueueOrder::FirstComeFirstServed)
        queue.emplace<Balsammill::Detail::FifoQueue>(estimates);
}

void Scheduler::Detail::prepare(TaskRecord& task, const TaskSpec& spec, TimePoint now)
{
    task.spec = spec;
    task.spec.slots.value = std::max(1U, spec.slots.value);
    task.queuedAt = now;
    task.sizeClass = Balsammill::Detail::sizeClassOf(spec.declaredRunTime);
    task.runTimes = &estimates.of(spec.method);
    std::visit([&](auto& order) { order.bind(task); }, queue);
}

void Scheduler::Detail::enqueue(TaskRecord& task, bool atFront)
{
    task.state = TaskState::Queued;
    estimates.addQueued(*task.runTimes, task.sizeClass, task.spec.slots, task.spec.declaredRunTime);
    std::visit([&](auto& order) { atFront ? order.pushFront(task) : order.push(task); }, queue);
}

Duration Scheduler::Detail::waitFor(std::int64_t slotMicrosAhead) const
{
    if (slotMicrosAhead == 0 && upstreams.hasFreeSlots())
        return Duration::zero();
    const std::int64_t slots = std::max(1U, upstreams.usableSlots());
    // A slot becomes free after a fraction of a mean run time, even if nothing is queued.
    const auto meanRun = runningTasks == 0 ? 0 : runningSlotMicros / static_cast<std::int64_t>(runningTasks);
    return Duration(slotMicrosAhead / slots + meanRun / (slots + 1));
}

std::optional<RpcErrorDetails> Scheduler::Detail::limitRefusal(const TaskRecord& task) const
{
    const auto wait = waitFor(estimates.queuedSlotMicros());
    const auto limit = options.maxQueuedTasks;
    if (waitingTasks >= limit)
        return exhausted("queue is full: " + std::to_string(waitingTasks) + " of " + std::to_string(limit), wait);
    const auto inFlow = std::visit([&](const auto& order) { return order.queuedInFlow(task); }, queue);
    if (inFlow > flowRoomFactor * (limit - waitingTasks))
        return exhausted("team and method hold " + std::to_string(inFlow) + " of " + std::to_string(waitingTasks)
                + " queued tasks, the queue limit is " + std::to_string(limit),
            wait);
    const auto methodLimit = task.spec.methodQueueLimit;
    if (methodLimit > 0 && task.runTimes->queuedTasks() >= methodLimit)
        return exhausted("queue of " + task.spec.method.value
                + " is full: " + std::to_string(task.runTimes->queuedTasks()) + " of " + std::to_string(methodLimit),
            wait);
    return std::nullopt;
}

std::optional<RpcErrorDetails> Scheduler::Detail::refusal(const TaskRecord& task, TimePoint now) const
{
    if (!upstreams.hasUpstreams())
        return notRun(ErrorCode::Unavailable, "no upstream", minRetryDelay);
    if (task.spec.slots.value > upstreams.maxSlots())
        return notRun(ErrorCode::FailedPrecondition,
            "task needs " + std::to_string(task.spec.slots.value) + " slots, the largest upstream has "
                + std::to_string(upstreams.maxSlots()));
    if (auto limit = limitRefusal(task))
        return limit;
    const auto wait = waitFor(std::visit([&](const auto& order) { return order.slotMicrosAhead(task); }, queue));
    const auto budget = task.spec.deadline - now;
    // A task that could start but not end in time wastes its run. At most half the budget is kept for the run, so that
    // an estimate that is far too long cannot refuse a task when nothing is queued.
    const bool observed = task.runTimes->observed(task.sizeClass);
    const auto run = observed ? std::min(task.runTimes->expected(task.sizeClass), budget / 2) : Duration::zero();
    if (wait + run > budget || budget <= Duration::zero())
        return exhausted("expected wait of " + millis(wait) + " and run of " + millis(run) + " exceed the "
                + millis(budget) + " until the deadline",
            wait);
    return std::nullopt;
}

Admission Scheduler::Detail::submit(const TaskSpec& spec, TimePoint now)
{
    TaskRecord task;
    prepare(task, spec, now);
    if (auto error = refusal(task, now))
        return Refused { std::move(*error) };
    const auto [entry, added] = tasks.try_emplace(spec.id, std::move(task));
    if (!added)
        return Refused { notRun(ErrorCode::AlreadyExists, "task id is in use") };
    auto& record = entry->second;
    const auto ahead = std::visit([&](const auto& order) { return order.slotMicrosAhead(record); }, queue);
    record.arrival = nextArrival++;
    enqueue(record, false);
    deadlines.insert(record);
    ++waitingTasks;
    return Queued { waitFor(ahead) };
}

void Scheduler::Detail::requeue(const TaskSpec& spec, TimePoint now)
{
    const auto [entry, added] = tasks.try_emplace(spec.id);
    if (!added)
        return;
    auto& record = entry->second;
    prepare(record, spec, now);
    record.arrival = nextFrontArrival--;
    enqueue(record, true);
    deadlines.insert(record);
    ++waitingTasks;
}

void Scheduler::Detail::expire(TaskRecord& task)
{
    task.state = TaskState::Expired;
    expired.pushBack(task);
}

Scheduler::Detail::TaskRecord* Scheduler::Detail::popLive(TimePoint now)
{
    for (;;) {
        auto* task = std::visit([&](auto& order) { return order.pop(now); }, queue);
        if (!task)
            return nullptr;
        estimates.removeQueued(*task->runTimes, task->sizeClass, task->spec.slots);
        if (task->spec.deadline > now)
            return task;
        settle(*task, 0);
        deadlines.remove(*task);
        expire(*task);
    }
}

void Scheduler::Detail::settle(TaskRecord& task, std::int64_t usedSlotMicros)
{
    std::visit([&](auto& order) { order.settle(task, usedSlotMicros, std::max(1U, upstreams.usableSlots())); }, queue);
}

void Scheduler::Detail::returnToQueue(TaskRecord& task)
{
    settle(task, 0);
    // The task stays before every task that arrived later.
    task.arrival = nextFrontArrival--;
    enqueue(task, true);
}

bool Scheduler::Detail::holdForLater(TaskRecord& task)
{
    if (task.spec.slots.value > upstreams.maxSlots()) {
        settle(task, 0);
        task.state = TaskState::Parked;
        parked.pushBack(task);
        return true;
    }
    if (upstreams.reserve(task)) {
        task.state = TaskState::Reserved;
        return true;
    }
    returnToQueue(task);
    return false;
}

Assignment Scheduler::Detail::start(TaskRecord& task, Balsammill::Detail::Upstream& upstream, TimePoint now)
{
    deadlines.remove(task);
    task.state = TaskState::Running;
    task.startedAt = now;
    task.upstream = &upstream;
    task.upstreamGeneration = upstream.generation;
    task.expectedSlotMicros = task.runTimes->expected(task.sizeClass).count() * task.spec.slots.value;
    upstreams.start(upstream, task.spec.slots);
    --waitingTasks;
    ++runningTasks;
    runningSlotMicros += task.expectedSlotMicros;
    return { task.spec.id, upstream.spec.vm };
}

std::optional<Assignment> Scheduler::Detail::nextAssignment(TimePoint now)
{
    upstreams.advance(now);
    while (auto* task = upstreams.takeReadyReservation()) {
        if (task->spec.deadline > now)
            return start(*task, *task->upstream, now);
        settle(*task, 0);
        deadlines.remove(*task);
        expire(*task);
    }
    while (upstreams.hasFreeSlots()) {
        auto* task = popLive(now);
        if (!task)
            return std::nullopt;
        if (auto* upstream = upstreams.choose(task->spec.slots))
            return start(*task, *upstream, now);
        if (!holdForLater(*task))
            return std::nullopt;
    }
    return std::nullopt;
}

std::optional<TaskId> Scheduler::Detail::takeForForwarding(TimePoint now)
{
    auto* task = popLive(now);
    if (!task)
        return std::nullopt;
    const auto id = task->spec.id;
    settle(*task, 0);
    deadlines.remove(*task);
    --waitingTasks;
    eraseRecord(*task);
    return id;
}

void Scheduler::Detail::detach(TaskRecord& task)
{
    switch (task.state) {
    case TaskState::Queued:
        estimates.removeQueued(*task.runTimes, task.sizeClass, task.spec.slots);
        std::visit([&](auto& order) { order.remove(task); }, queue);
        break;
    case TaskState::Reserved:
        upstreams.cancelReservation(task);
        settle(task, 0);
        break;
    case TaskState::Parked:
        parked.remove(task);
        break;
    case TaskState::Expired:
        expired.remove(task);
        break;
    case TaskState::Running:
        break;
    }
}

void Scheduler::Detail::eraseRecord(const TaskRecord& task) { tasks.erase(TaskId(task.spec.id)); }

std::vector<TaskId> Scheduler::Detail::takeExpired(TimePoint now)
{
    for (auto* task : deadlines.advance(now)) {
        detach(*task);
        expire(*task);
    }
    std::vector<TaskId> result;
    result.reserve(expired.size());
    while (auto* task = expired.front()) {
        expired.remove(*task);
        result.push_back(task->spec.id);
        --waitingTasks;
        eraseRecord(*task);
    }
    return result;
}

bool Scheduler::Detail::cancel(TaskId id)
{
    const auto found = tasks.find(id);
    if (found == tasks.end() || found->second.state == TaskState::Running)
        return false;
    auto& task = found->second;
    if (task.state != TaskState::Expired)
        deadlines.remove(task);
    detach(task);
    --waitingTasks;
    eraseRecord(task);
    return true;
}

void Scheduler::Detail::finished(TaskId id, TaskOutcome outcome, TimePoint now)
{
    const auto found = tasks.find(id);
    if (found == tasks.end() || found->second.state != TaskState::Running)
        return;
    auto& task = found->second;
    const auto run = std::max(now - task.startedAt, Duration::zero());
    const auto expected = task.runTimes->expected(task.sizeClass);
    runningSlotMicros -= task.expectedSlotMicros;
    --runningTasks;
    if (outcome == TaskOutcome::TimedOut && run < slowRunFactor * expected)
        outcome = TaskOutcome::Cancelled;
    upstreams.finish(*task.upstream, task.spec.slots, task.upstreamGeneration, outcome, now);
    const bool ended = outcome == TaskOutcome::Succeeded || outcome == TaskOutcome::ApplicationError;
    // A task that was cut off would have run for longer, so its time is a lower bound.
    const bool cutOff = outcome == TaskOutcome::TimedOut || outcome == TaskOutcome::Cancelled;
    if (ended || (cutOff && run > expected))
        estimates.observe(*task.runTimes, task.sizeClass, run);
    settle(task, run.count() * task.spec.slots.value);
    tasks.erase(found);
}

void Scheduler::Detail::setUpstreams(const std::vector<UpstreamSpec>& specs, TimePoint now)
{
    for (auto* task : upstreams.replace(specs, now)) {
        task->upstream = nullptr;
        returnToQueue(*task);
    }
    while (auto* task = parked.front()) {
        parked.remove(*task);
        task->arrival = nextFrontArrival--;
        enqueue(*task, true);
    }
}

SchedulerLoad Scheduler::Detail::load() const
{
    return {
        .queuedTasks = static_cast<std::uint32_t>(waitingTasks),
        .runningTasks = static_cast<std::uint32_t>(runningTasks),
        .freeSlots = upstreams.freeSlots(),
        .totalSlots = upstreams.usableSlots(),
        .expectedWait = waitFor(estimates.queuedSlotMicros()),
    };
}

std::optional<TimePoint> Scheduler::Detail::nextWakeUp() const
{
    if (!expired.empty())
        return TimePoint {};
    auto next = deadlines.nextDue();
    const auto event = upstreams.nextEvent();
    // The end of an ejection only matters to a task that waits for it.
    if (event && waitingTasks > 0 && (!next || *event < *next))
        next = event;
    return next;
}

Scheduler::Scheduler(SchedulerOptions options)
    : detail_(std::make_unique<Detail>(std::move(options)))
{
}

Scheduler::~Scheduler() = default;

void Scheduler::setTeamWeights(std::map<TeamName, std::uint32_t> weights)
{
    std::visit([&](auto& order) { order.setTeamWeights(weights); }, detail_->queue);
}

void Scheduler::setUpstreams(const std::vector<UpstreamSpec>& specs, TimePoint now)
{
    detail_->setUpstreams(specs, now);
}
Admission Scheduler::submit(const TaskSpec& spec, TimePoint now) { return detail_->submit(spec, now); }
void Scheduler::requeue(const TaskSpec& spec, TimePoint now) { detail_->requeue(spec, now); }
std::optional<Assignment> Scheduler::nextAssignment(TimePoint now) { return detail_->nextAssignment(now); }
std::optional<TaskId> Scheduler::takeForForwarding(TimePoint now) { return detail_->takeForForwarding(now); }
std::vector<TaskId> Scheduler::takeExpired(TimePoint now) { return detail_->takeExpired(now); }
bool Scheduler::cancel(TaskId id) { return detail_->cancel(id); }
void Scheduler::finished(TaskId id, TaskOutcome outcome, TimePoint now) { detail_->finished(id, outcome, now); }
SchedulerLoad Scheduler::load(TimePoint) const { return detail_->load(); }
std::vector<UpstreamStatus> Scheduler::upstreams(TimePoint) const { return detail_->upstreams.status(); }
std::optional<TimePoint> Scheduler::nextWakeUp() const { return detail_->nextWakeUp(); }

} // namespace Balsammill
