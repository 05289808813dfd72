#include "balsammill/policy/Scheduler.h"

#include "SchedulerDetail.h"

#include <algorithm>

namespace Balsammill {

namespace {

// A timeout counts as an upstream failure only if the task ran for at least this many times the usual run time. A
// shorter run timed out because of its deadline; counting it would eject healthy upstreams during overload, when tasks
// start late.
constexpr int slowRunFactor = 3;

Detail::UpstreamSetOptions upstreamSetOptions(const SchedulerOptions& options)
{
    return { .choice = options.choice, .maxEjectedShare = options.maxEjectedShare, .randomSeed = options.randomSeed };
}

} // namespace

Scheduler::Detail::Detail(SchedulerOptions initialOptions)
    : options(std::move(initialOptions))
    , queue(std::in_place_type<Balsammill::Detail::FairQueue>, estimates, options.clientAccountWeights)
    , upstreams(upstreamSetOptions(options))
{
    if (options.order == QueueOrder::FirstComeFirstServed)
        queue.emplace<Balsammill::Detail::FifoQueue>(estimates);
}

void Scheduler::Detail::prepare(TaskRecord& task, const TaskSpec& spec, TimePoint now)
{
    task.id = spec.id;
    task.deadline = spec.deadline;
    task.queuedAt = now;
    task.slots.value = std::max(1U, spec.slots.value);
    task.avoidUpstream = spec.avoidUpstream;
    task.sizeClass = Balsammill::Detail::sizeClassOf(spec.declaredRunTime);
    task.runTimes = &estimates.forMethod(spec.method);
    estimates.initializeEstimate(*task.runTimes, task.sizeClass, spec.declaredRunTime);
    std::visit([&](auto& taskQueue) { taskQueue.assignFlow(task, spec); }, queue);
}

void Scheduler::Detail::enqueue(TaskRecord& task, bool atFront)
{
    task.state = TaskState::Queued;
    estimates.addQueued(*task.runTimes, task.sizeClass, task.slots);
    std::visit([&](auto& taskQueue) { atFront ? taskQueue.pushFront(task) : taskQueue.push(task); }, queue);
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

Scheduler::Detail::TaskRecord* Scheduler::Detail::popUnexpired(TimePoint now)
{
    for (;;) {
        auto* task = std::visit([&](auto& taskQueue) { return taskQueue.pop(now); }, queue);
        if (!task)
            return nullptr;
        estimates.removeQueued(*task->runTimes, task->sizeClass, task->slots);
        if (task->deadline > now)
            return task;
        reconcileCharge(*task, 0);
        deadlines.remove(*task);
        expire(*task);
    }
}

void Scheduler::Detail::reconcileCharge(TaskRecord& task, std::int64_t usedSlotMicros)
{
    std::visit(
        [&](auto& taskQueue) {
            taskQueue.reconcileCharge(task, usedSlotMicros, std::max(1U, upstreams.usableSlots()));
        },
        queue);
}

void Scheduler::Detail::returnToQueue(TaskRecord& task)
{
    reconcileCharge(task, 0);
    // The task stays ahead of all tasks that arrived later.
    task.arrival = nextFrontArrival--;
    enqueue(task, true);
}

bool Scheduler::Detail::deferTask(TaskRecord& task)
{
    if (task.slots.value > upstreams.maxSlots()) {
        reconcileCharge(task, 0);
        task.state = TaskState::Unschedulable;
        unschedulable.pushBack(task);
        return true;
    }
    if (upstreams.onlyAvoidedHasFreeSlots(task.slots, task.avoidUpstream)) {
        task.state = TaskState::AwaitingOtherUpstream;
        awaitingOtherUpstream.pushBack(task);
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
    task.expectedSlotMicros = task.runTimes->expected(task.sizeClass).count() * task.slots.value;
    upstreams.start(upstream, task.slots);
    --waitingTasks;
    ++runningTasks;
    runningSlotMicros += task.expectedSlotMicros;
    return { task.id, upstream.spec.vm };
}

std::optional<Assignment> Scheduler::Detail::startDeferred(
    TaskRecord& task, Balsammill::Detail::Upstream& upstream, TimePoint now)
{
    if (task.deadline > now)
        return start(task, upstream, now);
    reconcileCharge(task, 0);
    deadlines.remove(task);
    expire(task);
    return std::nullopt;
}

std::optional<Assignment> Scheduler::Detail::nextDeferred(TimePoint now)
{
    while (auto* task = upstreams.popReadyReservation()) {
        if (auto assignment = startDeferred(*task, *task->upstream, now))
            return assignment;
    }
    while (auto* task = awaitingOtherUpstream.front()) {
        auto* upstream = upstreams.chooseAvoiding(task->slots, task->avoidUpstream);
        if (!upstream)
            break;
        awaitingOtherUpstream.remove(*task);
        if (auto assignment = startDeferred(*task, *upstream, now))
            return assignment;
    }
    return std::nullopt;
}

std::optional<Assignment> Scheduler::Detail::nextAssignment(TimePoint now)
{
    upstreams.advance(now);
    if (auto assignment = nextDeferred(now))
        return assignment;
    while (upstreams.hasFreeSlots()) {
        auto* task = popUnexpired(now);
        if (!task)
            return std::nullopt;
        if (auto* upstream = upstreams.chooseAvoiding(task->slots, task->avoidUpstream))
            return start(*task, *upstream, now);
        if (!deferTask(*task))
            return std::nullopt;
    }
    return std::nullopt;
}

std::optional<TaskId> Scheduler::Detail::popForForwarding(TimePoint now)
{
    auto* task = popUnexpired(now);
    if (!task)
        return std::nullopt;
    const auto id = task->id;
    reconcileCharge(*task, 0);
    deadlines.remove(*task);
    --waitingTasks;
    eraseRecord(*task);
    return id;
}

void Scheduler::Detail::detach(TaskRecord& task)
{
    switch (task.state) {
    case TaskState::Queued:
        estimates.removeQueued(*task.runTimes, task.sizeClass, task.slots);
        std::visit([&](auto& taskQueue) { taskQueue.remove(task); }, queue);
        break;
    case TaskState::Reserved:
        upstreams.cancelReservation(task);
        reconcileCharge(task, 0);
        break;
    case TaskState::AwaitingOtherUpstream:
        awaitingOtherUpstream.remove(task);
        reconcileCharge(task, 0);
        break;
    case TaskState::Unschedulable:
        unschedulable.remove(task);
        break;
    case TaskState::Expired:
        expired.remove(task);
        break;
    case TaskState::Running:
        break;
    }
}

void Scheduler::Detail::eraseRecord(const TaskRecord& task) { tasks.erase(TaskId(task.id)); }

std::vector<TaskId> Scheduler::Detail::popExpired(TimePoint now)
{
    for (auto* task : deadlines.advance(now)) {
        detach(*task);
        expire(*task);
    }
    std::vector<TaskId> result;
    result.reserve(expired.size());
    while (auto* task = expired.front()) {
        expired.remove(*task);
        result.push_back(task->id);
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

void Scheduler::Detail::recordCompletion(TaskId id, TaskOutcome outcome, TimePoint now)
{
    const auto found = tasks.find(id);
    if (found == tasks.end() || found->second.state != TaskState::Running)
        return;
    auto& task = found->second;
    const auto run = std::max(now - task.startedAt, Duration::zero());
    runningSlotMicros -= task.expectedSlotMicros;
    --runningTasks;
    if (outcome == TaskOutcome::TimedOut && run < slowRunFactor * task.runTimes->completedRunTime(task.sizeClass))
        outcome = TaskOutcome::Cancelled;
    upstreams.finish(*task.upstream, task.slots, task.upstreamGeneration, outcome, now);
    if (outcome == TaskOutcome::Succeeded || outcome == TaskOutcome::ApplicationError)
        estimates.observeCompleted(*task.runTimes, task.sizeClass, run);
    else if (outcome == TaskOutcome::TimedOut || outcome == TaskOutcome::Cancelled)
        estimates.observeInterrupted(*task.runTimes, task.sizeClass, run);
    reconcileCharge(task, run.count() * task.slots.value);
    tasks.erase(found);
}

void Scheduler::Detail::setUpstreams(const std::vector<UpstreamSpec>& specs, TimePoint now)
{
    for (auto* task : upstreams.replace(specs, now)) {
        task->upstream = nullptr;
        returnToQueue(*task);
    }
    while (auto* task = unschedulable.front()) {
        unschedulable.remove(*task);
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
        .expectedWait = estimateWait(estimates.queuedSlotMicros()),
    };
}

std::optional<TimePoint> Scheduler::Detail::nextWakeUp() const
{
    if (!expired.empty())
        return TimePoint {};
    auto next = deadlines.nextDue();
    const auto resumeTime = upstreams.nextResumeTime();
    // The end of an ejection or pause matters only if tasks are waiting.
    if (resumeTime && waitingTasks > 0 && (!next || *resumeTime < *next))
        next = resumeTime;
    return next;
}

Scheduler::Scheduler(SchedulerOptions options)
    : detail_(std::make_unique<Detail>(std::move(options)))
{
}

Scheduler::~Scheduler() = default;

void Scheduler::setClientAccountWeights(std::map<ClientAccountName, std::uint32_t> weights)
{
    std::visit([&](auto& taskQueue) { taskQueue.setClientAccountWeights(weights); }, detail_->queue);
}

void Scheduler::setUpstreams(const std::vector<UpstreamSpec>& specs, TimePoint now)
{
    detail_->setUpstreams(specs, now);
}
Admission Scheduler::submit(const TaskSpec& spec, TimePoint now) { return detail_->submit(spec, now); }
void Scheduler::requeue(const TaskSpec& spec, TimePoint now) { detail_->requeue(spec, now); }
std::optional<Assignment> Scheduler::nextAssignment(TimePoint now) { return detail_->nextAssignment(now); }
std::optional<TaskId> Scheduler::popForForwarding(TimePoint now) { return detail_->popForForwarding(now); }
std::vector<TaskId> Scheduler::popExpired(TimePoint now) { return detail_->popExpired(now); }
bool Scheduler::cancel(TaskId id) { return detail_->cancel(id); }
void Scheduler::recordCompletion(TaskId id, TaskOutcome outcome, TimePoint now)
{
    detail_->recordCompletion(id, outcome, now);
}
SchedulerLoad Scheduler::load(TimePoint) const { return detail_->load(); }
std::vector<ClientAccountDemand> Scheduler::clientAccountDemands() const
{
    return std::visit([](const auto& taskQueue) { return taskQueue.clientAccountDemands(); }, detail_->queue);
}

std::vector<UpstreamStatus> Scheduler::upstreams(TimePoint) const { return detail_->upstreams.status(); }
std::optional<TimePoint> Scheduler::nextWakeUp() const { return detail_->nextWakeUp(); }

} // namespace Balsammill
