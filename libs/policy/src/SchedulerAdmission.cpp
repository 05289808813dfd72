#include "SchedulerDetail.h"

#include <algorithm>

namespace Balsammill {

namespace {

using namespace std::chrono_literals;

// A flow may queue this many times the room that is left, so that a flood never takes the whole queue.
constexpr std::size_t flowRoomFactor = 8;
constexpr Duration minRetryDelay = 10ms;
constexpr Duration maxRetryDelay = 10s;

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

Duration Scheduler::Detail::waitFor(std::int64_t slotMicrosAhead) const
{
    if (slotMicrosAhead == 0 && upstreams.hasFreeSlots())
        return Duration::zero();
    const std::int64_t slots = std::max(1U, upstreams.usableSlots());
    // A slot becomes free after a fraction of a mean run time, even if nothing is queued.
    const auto meanRun = runningTasks == 0 ? 0 : runningSlotMicros / static_cast<std::int64_t>(runningTasks);
    return Duration(slotMicrosAhead / slots + meanRun / (slots + 1));
}

std::optional<RpcErrorDetails> Scheduler::Detail::limitRefusal(const TaskRecord& task, const TaskSpec& spec) const
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
    const auto methodLimit = spec.methodQueueLimit;
    if (methodLimit > 0 && task.runTimes->queuedTasks() >= methodLimit)
        return exhausted("queue of " + spec.method.value + " is full: " + std::to_string(task.runTimes->queuedTasks())
                + " of " + std::to_string(methodLimit),
            wait);
    return std::nullopt;
}

std::optional<RpcErrorDetails> Scheduler::Detail::refusal(
    const TaskRecord& task, const TaskSpec& spec, TimePoint now) const
{
    if (!upstreams.hasUpstreams())
        return notRun(ErrorCode::Unavailable, "no upstream", minRetryDelay);
    if (task.slots.value > upstreams.maxSlots())
        return notRun(ErrorCode::FailedPrecondition,
            "task needs " + std::to_string(task.slots.value) + " slots, the largest upstream has "
                + std::to_string(upstreams.maxSlots()));
    if (auto limit = limitRefusal(task, spec))
        return limit;
    const auto wait = waitFor(std::visit([&](const auto& order) { return order.slotMicrosAhead(task); }, queue));
    const auto budget = task.deadline - now;
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
    if (auto error = refusal(task, spec, now))
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

} // namespace Balsammill
