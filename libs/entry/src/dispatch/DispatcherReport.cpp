#include "DispatcherCore.h"

#include "balsammill/base/Log.h"
#include "balsammill/observe/Metrics.h"

namespace Balsammill::Detail {

namespace {

CallSample sampleOf(const DispatchWork& work, const DispatchResult& result, TimePoint now)
{
    CallSample sample {
        .method = work.task.method,
        .clientAccount = work.task.clientAccount,
        .response = now - work.submittedAt,
        .queued = queuedTime(work, now),
        .run = work.run,
        .verdict = Verdict::Ran,
        .succeeded = true,
    };
    if (const auto* error = std::get_if<RpcErrorDetails>(&result)) {
        sample.verdict = error->verdict;
        sample.succeeded = false;
    }
    return sample;
}

} // namespace

void DispatcherCore::record(EventKind kind, const DispatchWork& work, std::string detail)
{
    if (options_.timeline)
        options_.timeline->record(kind, work.task.taskName, std::move(detail));
}

void DispatcherCore::reportCompletion(const Completed& completed)
{
    const auto& work = *completed.work;
    if (options_.metrics) {
        options_.metrics->recordCall(sampleOf(work, completed.result, completed.endedAt));
        if (work.attempts > 1)
            options_.metrics->add(
                "balsammill_retries_total", "method=\"" + work.task.method.value + "\"", work.attempts - 1);
    }
    if (const auto* error = std::get_if<RpcErrorDetails>(&completed.result))
        record(EventKind::Failed, work,
            std::string(nameOf(error->code)) + " " + std::string(nameOf(error->verdict)) + ": " + error->message);
    else
        record(EventKind::Answered, work, {});
}

void DispatcherCore::complete(CompletedList list)
{
    for (auto& completed : list) {
        reportCompletion(completed);
        try {
            completed.work->completion(std::move(completed.result));
        } catch (const std::exception& error) {
            logError(
                LogComponent::Dispatch, "completion of " + completed.work->task.taskName + " threw: " + error.what());
        }
        completed.work->completion = nullptr;
    }
    if (list.empty())
        return;
    std::lock_guard lock(mutex_);
    unfinished_ -= list.size();
    if (unfinished_ == 0)
        idle_.notify_all();
}

SchedulerLoad DispatcherCore::load(const ServiceName& name) const
{
    std::lock_guard lock(mutex_);
    const auto found = services_.find(name);
    return found == services_.end() ? SchedulerLoad {} : found->second.scheduler.load(monotonicNow());
}

std::vector<UpstreamStatus> DispatcherCore::upstreams(const ServiceName& name) const
{
    std::lock_guard lock(mutex_);
    const auto found = services_.find(name);
    if (found == services_.end())
        return {};
    return found->second.scheduler.upstreams(monotonicNow());
}

std::vector<ServiceName> DispatcherCore::services() const
{
    std::lock_guard lock(mutex_);
    std::vector<ServiceName> names;
    for (const auto& [name, serviceState] : services_)
        names.push_back(name);
    return names;
}

std::vector<ClientAccountDemand> DispatcherCore::clientAccountDemands() const
{
    std::map<ClientAccountName, ClientAccountDemand> sums;
    {
        std::lock_guard lock(mutex_);
        for (const auto& [name, serviceState] : services_) {
            for (const auto& demand : serviceState.scheduler.clientAccountDemands()) {
                auto& sum = sums.try_emplace(
                                    demand.clientAccount, ClientAccountDemand { .clientAccount = demand.clientAccount })
                                .first->second;
                sum.slotsInUse += demand.slotsInUse;
                sum.queued += demand.queued;
            }
        }
    }
    std::vector<ClientAccountDemand> demands;
    for (auto& [clientAccount, sum] : sums)
        demands.push_back(std::move(sum));
    return demands;
}

std::size_t DispatcherCore::unfinishedTasks() const
{
    std::lock_guard lock(mutex_);
    return unfinished_;
}

bool DispatcherCore::waitUntilIdle(TimePoint deadline) const
{
    std::unique_lock lock(mutex_);
    return idle_.wait_until(lock, deadline, [this] { return unfinished_ == 0; });
}

} // namespace Balsammill::Detail
