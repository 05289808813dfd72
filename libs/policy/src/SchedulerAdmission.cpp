#include "SchedulerDetail.h"

#include <algorithm>

namespace Balsammill {

namespace {

using namespace std::chrono_literals;

// A flow may hold up to this many times the remaining queue capacity, so that a flood in one flow never fills the
// queue.
constexpr std::size_t flowCapacityFactor = 8;
constexpr Duration minRetryDelay = 10ms;
constexpr Duration maxRetryDelay = 10s;

RpcErrorDetails notRunError(ErrorCode code, std::string message, Duration retryAfter = {})
{
    return { .code = code, .message = std::move(message), .verdict = Verdict::NotRun, .retryAfter = retryAfter };
}

RpcErrorDetails resourceExhausted(std::string message, Duration wait)
{
    return notRunError(
        ErrorCode::ResourceExhausted, std::move(message), std::clamp(wait, minRetryDelay, maxRetryDelay));
}

std::string millis(Duration duration) { return std::to_string(duration.count() / 1000) + " ms"; }

} // namespace

Duration Scheduler::Detail::estimateWait(std::int64_t slotMicrosAhead) const
{
    if (slotMicrosAhead == 0 && upstreams.hasFreeSlots())
        return Duration::zero();
    const std::int64_t slots = std::max(1U, upstreams.usableSlots());
    // Even with an empty queue, the task waits for a slot to become free, which takes a fraction of a mean run time.
    const auto meanRun = runningTasks == 0 ? 0 : runningSlotMicros / static_cast<std::int64_t>(runningTasks);
    return Duration(slotMicrosAhead / slots + meanRun / (slots + 1));
}

std::optional<RpcErrorDetails> Scheduler::Detail::checkQueueLimits(const TaskRecord& task, const TaskSpec& spec) const
{
    const auto wait = estimateWait(estimates.queuedSlotMicros());
    const auto limit = options.maxQueuedTasks;
    if (waitingTasks >= limit)
        return resourceExhausted(
            "queue is full: " + std::to_string(waitingTasks) + " of " + std::to_string(limit), wait);
    const auto inFlow = std::visit([&](const auto& taskQueue) { return taskQueue.queuedInFlow(task); }, queue);
    if (inFlow > flowCapacityFactor * (limit - waitingTasks))
        return resourceExhausted("team and method hold " + std::to_string(inFlow) + " of "
                + std::to_string(waitingTasks) + " queued tasks, the queue limit is " + std::to_string(limit),
            wait);
    const auto methodLimit = spec.methodQueueLimit;
    if (methodLimit > 0 && task.runTimes->queuedTasks() >= methodLimit)
        return resourceExhausted("queue of " + spec.method.value
                + " is full: " + std::to_string(task.runTimes->queuedTasks()) + " of " + std::to_string(methodLimit),
            wait);
    return std::nullopt;
}

std::optional<RpcErrorDetails> Scheduler::Detail::checkAdmission(
    const TaskRecord& task, const TaskSpec& spec, TimePoint now) const
{
    if (!upstreams.hasUpstreams())
        return notRunError(ErrorCode::Unavailable, "no upstream", minRetryDelay);
    if (task.slots.value > upstreams.maxSlots())
        return notRunError(ErrorCode::FailedPrecondition,
            "task needs " + std::to_string(task.slots.value) + " slots, the largest upstream has "
                + std::to_string(upstreams.maxSlots()));
    if (auto limit = checkQueueLimits(task, spec))
        return limit;
    const auto wait
        = estimateWait(std::visit([&](const auto& taskQueue) { return taskQueue.slotMicrosAhead(task); }, queue));
    const auto budget = task.deadline - now;
    // A task that starts but cannot end before its deadline wastes slot time, so the expected run time counts as well.
    // It counts for at most half the budget, so that an estimate that is far too long causes no refusal when nothing is
    // queued.
    const bool observed = task.runTimes->observed(task.sizeClass);
    const auto run = observed ? std::min(task.runTimes->expected(task.sizeClass), budget / 2) : Duration::zero();
    if (wait + run > budget || budget <= Duration::zero())
        return resourceExhausted("expected wait of " + millis(wait) + " and run of " + millis(run) + " exceed the "
                + millis(budget) + " until the deadline",
            wait);
    return std::nullopt;
}

Admission Scheduler::Detail::submit(const TaskSpec& spec, TimePoint now)
{
    TaskRecord task;
    prepare(task, spec, now);
    if (auto error = checkAdmission(task, spec, now))
        return Refused { std::move(*error) };
    const auto [entry, added] = tasks.try_emplace(spec.id, std::move(task));
    if (!added)
        return Refused { notRunError(ErrorCode::AlreadyExists, "task id is in use") };
    auto& record = entry->second;
    const auto ahead = std::visit([&](const auto& taskQueue) { return taskQueue.slotMicrosAhead(record); }, queue);
    record.arrival = nextArrival++;
    enqueue(record, false);
    deadlines.insert(record);
    ++waitingTasks;
    return Queued { estimateWait(ahead) };
}

} // namespace Balsammill
