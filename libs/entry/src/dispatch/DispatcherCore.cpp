#include "DispatcherCore.h"

#include "balsammill/base/Log.h"
#include "calls/AttemptResult.h"

#include <algorithm>

namespace Balsammill::Detail {

namespace {

constexpr Duration minTimerSleep = std::chrono::milliseconds(1);
// Heartbeats report the load of other entries every 200 ms, so a forward that found no capacity may soon succeed.
constexpr Duration forwardRetryInterval = std::chrono::milliseconds(50);
// Reassigning upstreams takes a few heartbeats; after this time no upstream is expected to become available.
constexpr Duration strandedTimeout = std::chrono::seconds(2);

RpcErrorDetails failure(ErrorCode code, std::string message, Verdict verdict)
{
    return { .code = code, .message = std::move(message), .verdict = verdict };
}

std::string queuedFor(const DispatchWork& work, TimePoint now)
{
    return std::to_string((now - work.submittedAt).count() / 1000) + " ms";
}

/// True if the other entry process did not run the task because it was unavailable or had no capacity, so that this
/// process may queue the task again.
bool mayRequeueLocally(const DispatchResult& result)
{
    const auto* error = std::get_if<RpcErrorDetails>(&result);
    return error && error->verdict == Verdict::NotRun
        && (error->code == ErrorCode::Unavailable || error->code == ErrorCode::ResourceExhausted);
}

} // namespace

DispatcherCore::DispatcherCore(DispatcherOptions options)
    : options_(std::move(options))
    , pool_(options_.pool)
    , executors_(options_.maxExecutorThreads)
{
}

void DispatcherCore::start()
{
    std::lock_guard lock(mutex_);
    if (!timer_.joinable())
        timer_ = std::thread([this] { runTimer(); });
}

DispatcherCore::Service& DispatcherCore::service(const ServiceName& name)
{
    return services_.try_emplace(name, options_.scheduler).first->second;
}

void DispatcherCore::setForwarder(TaskForwarder forwarder)
{
    std::lock_guard lock(mutex_);
    forwarder_ = std::move(forwarder);
}

void DispatcherCore::setClientAccountWeights(const std::map<ClientAccountName, std::uint32_t>& weights)
{
    std::lock_guard lock(mutex_);
    options_.scheduler.clientAccountWeights = weights;
    for (auto& [name, serviceState] : services_)
        serviceState.scheduler.setClientAccountWeights(weights);
}

void DispatcherCore::setUpstreams(const ServiceName& name, const std::vector<ReachableUpstream>& upstreams)
{
    std::unordered_map<VmName, NetworkAddress> addresses;
    std::vector<UpstreamSpec> specs;
    for (const auto& upstream : upstreams) {
        addresses.insert_or_assign(upstream.spec.vm, upstream.address);
        specs.push_back(upstream.spec);
    }
    std::vector<NetworkAddress> outdated;
    {
        std::lock_guard lock(mutex_);
        auto& changed = service(name);
        for (const auto& [vm, address] : changed.addresses) {
            const auto found = addresses.find(vm);
            if (found == addresses.end() || found->second.value != address.value)
                outdated.push_back(address);
        }
        changed.addresses = std::move(addresses);
        const auto now = monotonicNow();
        changed.scheduler.setUpstreams(specs, now);
        startAssignments(changed, now);
    }
    for (const auto& address : outdated)
        pool_.closeIdleConnections(address);
}

TaskId DispatcherCore::submit(DispatchTask task, DispatchCompletion completion)
{
    auto work = std::make_shared<DispatchWork>();
    work->task = std::move(task);
    work->completion = std::move(completion);
    work->submittedAt = monotonicNow();
    TaskForwarder forwarder;
    {
        std::lock_guard lock(mutex_);
        work->id = TaskId(++lastTaskId_);
        ++unfinished_;
        auto& target = service(work->task.service);
        target.retryBudget.recordCall(work->submittedAt);
        const bool busy = target.scheduler.load(work->submittedAt).freeSlots == 0;
        if (work->task.mayForward && forwarder_ && busy && !stopping_) {
            forwarder = forwarder_;
            work->state = WorkState::Forwarded;
            work_.emplace(work->id, work);
        }
    }
    if (forwarder && forward(work, forwarder))
        return work->id;
    CompletedList completed;
    {
        std::lock_guard lock(mutex_);
        // stop() may have completed the task while the forwarder was being called.
        if (!forwarder || work->state == WorkState::Forwarded)
            enqueue(work, monotonicNow(), completed);
    }
    complete(std::move(completed));
    return work->id;
}

bool DispatcherCore::forward(const WorkPtr& work, const TaskForwarder& forwarder)
{
    const auto completion = [weak = weak_from_this(), work](DispatchResult result) {
        if (const auto core = weak.lock())
            core->onForwardCompleted(work, std::move(result));
    };
    try {
        if (!forwarder(work->task, completion))
            return false;
    } catch (const std::exception& error) {
        logError(LogComponent::Dispatch, "forwarding " + work->task.taskName + " failed: " + error.what());
        return false;
    }
    record(EventKind::Forwarded, *work, {});
    return true;
}

void DispatcherCore::onForwardCompleted(const WorkPtr& work, DispatchResult result)
{
    CompletedList completed;
    {
        std::lock_guard lock(mutex_);
        if (work->state != WorkState::Forwarded)
            return;
        const auto now = monotonicNow();
        if (mayRequeueLocally(result) && now < work->task.deadline)
            requeueReturned(work, now, completed);
        else
            end(work, std::move(result), now, completed);
    }
    complete(std::move(completed));
}

void DispatcherCore::enqueue(const WorkPtr& work, TimePoint now, CompletedList& completed)
{
    if (stopping_) {
        end(work, failure(ErrorCode::Unavailable, "the process is stopping", Verdict::NotRun), now, completed);
        return;
    }
    auto& target = service(work->task.service);
    auto admission = target.scheduler.submit(specOf(*work), now);
    if (auto* refused = std::get_if<Refused>(&admission)) {
        end(work, std::move(refused->error), now, completed);
        return;
    }
    work->state = WorkState::Queued;
    work_.insert_or_assign(work->id, work);
    record(EventKind::Queued, *work, {});
    startAssignments(target, now);
}

void DispatcherCore::requeueReturned(const WorkPtr& work, TimePoint now, CompletedList& completed)
{
    if (stopping_) {
        end(work, failure(ErrorCode::Unavailable, "the process is stopping", Verdict::NotRun), now, completed);
        return;
    }
    auto& target = service(work->task.service);
    // requeue() skips admission control: the task was already accepted, so it is not refused for lack of upstreams.
    work->state = WorkState::Queued;
    target.scheduler.requeue(specOf(*work), now);
    startAssignments(target, now);
}

void DispatcherCore::startAssignments(Service& target, TimePoint now)
{
    while (const auto assignment = target.scheduler.nextAssignment(now)) {
        const auto& work = work_.at(assignment->task);
        work->state = WorkState::Running;
        work->startedAt = now;
        work->strandedDeadline = {};
        ++work->attempts;
        executors_.post([this, work, vm = assignment->upstream, address = target.addresses.at(assignment->upstream)] {
            run(work, vm, address);
        });
    }
    auto wakeUp = target.scheduler.nextWakeUp();
    if (hasStranded(target, now))
        wakeUp = std::min(wakeUp.value_or(TimePoint::max()), std::max(nextForwardAt_, now));
    if (wakeUp && (!timerDue_ || *wakeUp < *timerDue_)) {
        timerDue_ = wakeUp;
        timerChanged_.notify_one();
    }
}

ExchangeResult DispatcherCore::exchange(const DispatchWork& work, const NetworkAddress& address)
{
    try {
        return pool_.exchange({
            .address = address,
            .method = work.task.method,
            .body = work.task.request,
            .taskId = work.task.taskName,
            .attempt = work.attempts,
            .deadline = work.task.deadline,
        });
    } catch (const std::exception& error) {
        return UpstreamFailure { failure(ErrorCode::Internal, error.what(), Verdict::MayHaveRun) };
    }
}

void DispatcherCore::run(const WorkPtr& work, const VmName& vm, const NetworkAddress& address)
{
    record(EventKind::Started, *work, vm.value + " attempt " + std::to_string(work->attempts));
    auto result = exchange(*work, address);
    CompletedList completed;
    {
        std::lock_guard lock(mutex_);
        const auto now = monotonicNow();
        onExchangeFinished(work, vm, std::move(result), now, completed);
        startAssignments(service(work->task.service), now);
    }
    complete(std::move(completed));
}

void DispatcherCore::onExchangeFinished(
    const WorkPtr& work, const VmName& vm, ExchangeResult result, TimePoint now, CompletedList& completed)
{
    auto& target = service(work->task.service);
    const auto outcome = outcomeOf(result);
    work->run = now - work->startedAt;
    target.scheduler.recordCompletion(work->id, outcome, now);
    if (auto* answer = std::get_if<UpstreamAnswer>(&result)) {
        end(work, DispatchAnswer { std::move(answer->body), queuedTime(*work, now), work->run }, now, completed);
        return;
    }
    auto& failed = std::get<UpstreamFailure>(result);
    work->mayHaveRun = work->mayHaveRun || failed.error.verdict != Verdict::NotRun;
    const RetryContext context {
        .failure = failed,
        .outcome = outcome,
        .attempts = work->attempts,
        .mayRunTwice = work->task.idempotent && !work->task.startAtMostOnce,
        .deadline = work->task.deadline,
    };
    if (stopping_ || !shouldRetry(context, target.retryBudget, now)) {
        end(work, std::move(failed.error), now, completed);
        return;
    }
    record(EventKind::Queued, *work, "after " + vm.value + " failed: " + failed.error.message);
    work->failedUpstream = vm;
    work->state = WorkState::Queued;
    target.scheduler.requeue(specOf(*work), now);
}

void DispatcherCore::end(const WorkPtr& work, DispatchResult result, TimePoint now, CompletedList& completed)
{
    auto* error = std::get_if<RpcErrorDetails>(&result);
    if (error && work->mayHaveRun && error->verdict == Verdict::NotRun)
        error->verdict = Verdict::MayHaveRun;
    work->state = WorkState::Done;
    work_.erase(work->id);
    completed.push_back({ work, std::move(result), now });
}

bool DispatcherCore::cancel(TaskId id)
{
    std::lock_guard lock(mutex_);
    const auto found = work_.find(id);
    if (found == work_.end() || found->second->state != WorkState::Queued)
        return false;
    const auto work = found->second;
    if (!service(work->task.service).scheduler.cancel(id))
        return false;
    end(work, failure(ErrorCode::Canceled, "cancelled before its start", Verdict::NotRun), monotonicNow(), cancelled_);
    timerChanged_.notify_one();
    return !work->mayHaveRun;
}

void DispatcherCore::expire(Service& target, TimePoint now, CompletedList& completed)
{
    for (const auto id : target.scheduler.popExpired(now)) {
        const auto work = work_.at(id);
        end(work,
            failure(ErrorCode::DeadlineExceeded, "deadline passed after " + queuedFor(*work, now) + " in the queue",
                Verdict::NotRun),
            now, completed);
    }
}

bool DispatcherCore::hasStranded(const Service& target, TimePoint now) const
{
    const auto load = target.scheduler.load(now);
    return forwarder_ && load.totalSlots == 0 && load.queuedTasks > 0;
}

std::vector<WorkPtr> DispatcherCore::takeStranded(Service& target, TimePoint now, CompletedList& completed)
{
    std::vector<WorkPtr> stranded;
    if (now < nextForwardAt_ || !hasStranded(target, now))
        return stranded;
    while (const auto id = target.scheduler.popForForwarding(now)) {
        const auto work = work_.at(*id);
        if (work->strandedDeadline == TimePoint {})
            work->strandedDeadline = now + strandedTimeout;
        if (!work->task.mayForward || now >= work->strandedDeadline) {
            end(work, failure(ErrorCode::Unavailable, "this entry has no upstream for the task", Verdict::NotRun), now,
                completed);
            continue;
        }
        work->state = WorkState::Forwarded;
        stranded.push_back(work);
    }
    return stranded;
}

void DispatcherCore::forwardStranded(
    const std::vector<WorkPtr>& stranded, const TaskForwarder& forwarder, CompletedList& completed)
{
    for (const auto& work : stranded) {
        if (forward(work, forwarder))
            continue;
        std::lock_guard lock(mutex_);
        // stop() may have completed the task while the forwarder was being called.
        if (work->state != WorkState::Forwarded)
            continue;
        requeueReturned(work, monotonicNow(), completed);
    }
}

void DispatcherCore::runTimer()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        const auto now = monotonicNow();
        CompletedList completed;
        completed.swap(cancelled_);
        timerDue_.reset();
        std::vector<WorkPtr> stranded;
        for (auto& [name, target] : services_) {
            expire(target, now, completed);
            startAssignments(target, now);
            const auto taken = takeStranded(target, now, completed);
            stranded.insert(stranded.end(), taken.begin(), taken.end());
        }
        if (!stranded.empty() || !completed.empty()) {
            if (!stranded.empty())
                nextForwardAt_ = now + forwardRetryInterval;
            const auto forwarder = forwarder_;
            lock.unlock();
            forwardStranded(stranded, forwarder, completed);
            complete(std::move(completed));
            lock.lock();
            continue;
        }
        if (timerDue_)
            timerChanged_.wait_until(lock, std::max(*timerDue_, now + minTimerSleep));
        else
            timerChanged_.wait(lock);
    }
}

void DispatcherCore::failTasksNotRunning(TimePoint now, CompletedList& completed)
{
    std::vector<WorkPtr> all;
    for (const auto& [id, work] : work_)
        all.push_back(work);
    for (const auto& work : all) {
        if (work->state == WorkState::Queued) {
            service(work->task.service).scheduler.cancel(work->id);
            end(work, failure(ErrorCode::Unavailable, "the process is stopping", Verdict::NotRun), now, completed);
        } else if (work->state == WorkState::Forwarded) {
            end(work,
                failure(ErrorCode::Unavailable, "stopped before the answer to a forwarded task", Verdict::MayHaveRun),
                now, completed);
        }
    }
}

void DispatcherCore::stop()
{
    CompletedList completed;
    std::thread timer;
    {
        std::lock_guard lock(mutex_);
        stopping_ = true;
        completed.swap(cancelled_);
        failTasksNotRunning(monotonicNow(), completed);
        timer.swap(timer_);
    }
    timerChanged_.notify_all();
    if (timer.joinable())
        timer.join();
    complete(std::move(completed));
    executors_.stop();
}

} // namespace Balsammill::Detail
