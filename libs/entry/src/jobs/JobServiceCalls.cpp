#include "JobServiceDetail.h"

#include "balsammill/config/ActiveConfig.h"
#include "balsammill/jobs/HomePlacement.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace Balsammill {

using Detail::identifyJob;
using Detail::prepareSubmission;

namespace {

constexpr Duration retryDelay = std::chrono::milliseconds(50);
/// How often a thread that waits for an answer of another entry checks that entry's liveness.
constexpr Duration checkInterval = std::chrono::milliseconds(100);

RpcErrorDetails noConfiguration()
{
    return { ErrorCode::Unavailable, "this entry has no configuration yet", Verdict::NotRun };
}

/// Error of a request that should be retried, because the ownership of its shard is being transferred.
RpcErrorDetails transient(std::string message, Verdict verdict)
{
    return { ErrorCode::Unavailable, std::move(message), verdict, {}, retryDelay };
}

bool isTransient(const RpcErrorDetails& error)
{
    return error.code == ErrorCode::Unavailable && error.retryAfter > Duration::zero();
}

const Member* findMember(const MemberView& view, const VmName& vm)
{
    const auto found = std::find_if(
        view.members.begin(), view.members.end(), [&vm](const Member& member) { return member.id.vm == vm; });
    return found == view.members.end() ? nullptr : &*found;
}

} // namespace

balsammill::v1::JobResult JobService::Detail::call(balsammill::internal::JobSubmit message, TimePoint deadline)
{
    const auto config = config_.load();
    if (!config)
        throw RpcError(noConfiguration());
    auto request = identifyJob(std::move(message), *config);
    const auto retryUntil = std::min(deadline, monotonicNow() + options_.retryWindow);
    std::optional<ProcessId> redirect;
    for (;;) {
        auto reply = redirect ? requestFromPeer(request, *redirect, deadline) : requestFromHome(request, deadline);
        if (auto* result = std::get_if<balsammill::v1::JobResult>(&reply))
            return std::move(*result);
        if (const auto* primary = std::get_if<ProcessId>(&reply)) {
            redirect = *primary;
            continue;
        }
        const auto& error = std::get<RpcErrorDetails>(reply);
        if (!isTransient(error) || monotonicNow() + error.retryAfter >= retryUntil || stopping_)
            throw RpcError(error);
        // An earlier attempt may have been admitted, so a later refusal no longer proves that the job did not run.
        if (error.verdict != Verdict::NotRun && request.call.has_submit())
            request.call.mutable_submit()->set_first_attempt(false);
        std::this_thread::sleep_for(error.retryAfter);
        redirect.reset();
    }
}

JobService::Detail::JobReply JobService::Detail::requestFromHome(const JobRequest& request, TimePoint deadline)
{
    if (request.home == options_.domain)
        return requestLocally(request, deadline);
    const auto entries = entriesOfHome(request);
    if (!entries.empty())
        return requestFromPeer(request, entries.front(), deadline);
    return RpcErrorDetails { ErrorCode::Unavailable,
        "no entry of the job's home failure domain \"" + request.home.value + "\" can be reached",
        request.firstAttempt() ? Verdict::NotRun : Verdict::MayHaveRun };
}

JobService::Detail::JobReply JobService::Detail::requestLocally(const JobRequest& request, TimePoint deadline)
{
    const auto waiter = waiters_.addThread();
    if (!submitToLedger(request, waiter)) {
        waiters_.remove(waiter);
        return noConfiguration();
    }
    auto reply = waiters_.wait(waiter, deadline);
    if (reply)
        return std::move(*reply);
    waiters_.remove(waiter);
    {
        std::lock_guard lock(mutex_);
        ledger_->removeWaiter(waiter);
    }
    return RpcErrorDetails { ErrorCode::DeadlineExceeded, "the job has not ended in time", Verdict::MayHaveRun };
}

JobService::Detail::JobReply JobService::Detail::requestFromPeer(
    const JobRequest& request, const ProcessId& target, TimePoint deadline)
{
    const auto waiter = waiters_.addThread();
    {
        std::lock_guard lock(outstandingMutex_);
        outstandingTargets_[waiter] = target;
    }
    JobReply outcome = RpcErrorDetails { ErrorCode::DeadlineExceeded, "the job's home has not answered in time",
        Verdict::MayHaveRun };
    auto resendAt = monotonicNow();
    for (auto now = resendAt; now < deadline; now = monotonicNow()) {
        if (now >= resendAt) {
            sendSubmit(target, waiter, request.call);
            resendAt = now + options_.resendInterval;
        }
        if (auto reply = waiters_.wait(waiter, std::min({ deadline, resendAt, now + checkInterval }))) {
            outcome = std::move(*reply);
            break;
        }
        if (isLost(target)) {
            outcome = transient("entry " + target.vm.value + " was lost before it answered", Verdict::MayHaveRun);
            break;
        }
    }
    waiters_.remove(waiter);
    std::lock_guard lock(outstandingMutex_);
    outstandingTargets_.erase(waiter);
    return outcome;
}

bool JobService::Detail::submitToLedger(const JobRequest& request, RequestId waiter)
{
    if (request.call.has_submit()) {
        const auto config = config_.load();
        auto prepared = prepareSubmission(request.call.submit(), *config, options_.maxTasksPerJob);
        JobSubmission submission { request.id, request.key, contentDigest(request.call.submit()),
            std::move(prepared.content), waiter, std::move(prepared.refusal) };
        return applyToLedger(
            [&](JobLedger& each, ClockReadings time) { return each.submit(std::move(submission), time); });
    }
    const JobQuery query { request.id, request.key, waiter };
    return applyToLedger([&](JobLedger& each, ClockReadings time) {
        return request.call.has_get() ? each.get(query, time) : each.cancel(query, time);
    });
}

std::vector<ProcessId> JobService::Detail::entriesOfHome(const JobRequest& request) const
{
    const auto view = members_.load();
    const auto config = config_.load();
    std::vector<const Member*> entries;
    for (const auto& member : view ? view->members : std::vector<Member> {}) {
        const bool reachable = member.liveness == Liveness::Alive || member.liveness == Liveness::Suspect;
        if (member.failureDomain == request.home && reachable)
            entries.push_back(findMember(*view, member.id.vm));
    }
    // The entry with the highest rank is usually the shard's primary; asking it first saves a redirect.
    const auto subject = shardTableKey(request.home, shardOf(request.id, Balsammill::Detail::shardsOf(*config)));
    const auto rank = [&subject](const Member& member) {
        return std::pair(!member.leaving, rendezvousScore(subject, member.id.vm.value));
    };
    std::sort(entries.begin(), entries.end(),
        [&rank](const Member* first, const Member* second) { return rank(*first) > rank(*second); });
    std::vector<ProcessId> result;
    for (const auto* entry : entries)
        result.push_back(entry->id);
    return result;
}

bool JobService::Detail::isLost(const ProcessId& process) const
{
    const auto view = members_.load();
    const auto* member = view ? findMember(*view, process.vm) : nullptr;
    return !member || member->id.incarnation > process.incarnation || member->liveness == Liveness::Dead
        || member->liveness == Liveness::Unreachable;
}

bool JobService::Detail::isOfOwnDomain(const ProcessId& process) const
{
    const auto view = members_.load();
    const auto* member = view ? findMember(*view, process.vm) : nullptr;
    return member && member->failureDomain == options_.domain;
}

void JobService::Detail::sendSubmit(const ProcessId& target, RequestId requestId, balsammill::internal::JobSubmit call)
{
    balsammill::internal::PeerMessage message;
    *message.mutable_job_submit() = std::move(call);
    message.mutable_job_submit()->set_request_id(requestId.value);
    // A message that cannot be sent now is sent again after the resend interval, like a lost one.
    options_.send(target.vm, message);
}

void JobService::Detail::handleSubmit(const ProcessId& sender, const balsammill::internal::JobSubmit& call)
{
    const PeerRequest origin { sender, call.request_id() };
    const auto config = config_.load();
    if (!config) {
        sendDone(origin, noConfiguration());
        return;
    }
    std::optional<RequestId> waiter;
    try {
        const auto request = identifyJob(call, *config);
        if (request.home != options_.domain) {
            sendDone(origin, transient("this entry belongs to another failure domain", Verdict::NotRun));
            return;
        }
        waiter = waiters_.addPeer(origin);
        if (!waiter)
            return;
        if (!isOfOwnDomain(sender)) {
            std::lock_guard lock(outstandingMutex_);
            relays_[*waiter] = Relay { request.call };
        }
        if (!submitToLedger(request, *waiter))
            answer(*waiter, noConfiguration());
    } catch (const RpcError& error) {
        if (waiter)
            answer(*waiter, error.details());
        else
            sendDone(origin, error.details());
    }
}

void JobService::Detail::handleDone(const ProcessId& sender, const balsammill::internal::JobDone& done)
{
    const RequestId waiter { done.request_id() };
    {
        std::lock_guard lock(outstandingMutex_);
        const auto found = outstandingTargets_.find(waiter);
        if (found == outstandingTargets_.end() || found->second != sender)
            return;
    }
    if (done.has_failure())
        answer(waiter, Balsammill::Detail::fromFailure(done.failure()));
    else
        answer(waiter, done.result());
}

void JobService::Detail::answer(RequestId waiter, const JobReply& reply)
{
    {
        std::lock_guard lock(outstandingMutex_);
        relays_.erase(waiter);
        outstandingTargets_.erase(waiter);
    }
    if (const auto origin = waiters_.reply(waiter, reply))
        sendDone(*origin, reply);
}

void JobService::Detail::sendDone(const PeerRequest& origin, const JobReply& reply)
{
    balsammill::internal::PeerMessage message;
    auto& done = *message.mutable_job_done();
    done.set_request_id(origin.requestId);
    if (const auto* result = std::get_if<balsammill::v1::JobResult>(&reply))
        *done.mutable_result() = *result;
    else if (const auto* error = std::get_if<RpcErrorDetails>(&reply))
        *done.mutable_failure() = Balsammill::Detail::toFailure(*error);
    else
        // The sender is in this failure domain and finds the primary by itself.
        *done.mutable_failure() = Balsammill::Detail::toFailure(
            transient("this entry is not the primary of the job's shard", Verdict::MayHaveRun));
    options_.send(origin.peer.vm, message);
}

void JobService::Detail::redirect(RequestId waiter, const ProcessId& primary)
{
    balsammill::internal::JobSubmit call;
    {
        std::lock_guard lock(outstandingMutex_);
        const auto relay = relays_.find(waiter);
        if (relay != relays_.end()) {
            relay->second.resendAt = monotonicNow() + options_.resendInterval;
            outstandingTargets_[waiter] = primary;
            call = relay->second.call;
        }
    }
    if (call.request_case() == balsammill::internal::JobSubmit::REQUEST_NOT_SET)
        answer(waiter, primary);
    else
        sendSubmit(primary, waiter, std::move(call));
}

void JobService::Detail::repeatRelays(TimePoint now)
{
    std::vector<std::tuple<ProcessId, RequestId, balsammill::internal::JobSubmit>> due;
    {
        std::lock_guard lock(outstandingMutex_);
        for (auto& [waiter, relay] : relays_) {
            if (!relay.resendAt || now < *relay.resendAt)
                continue;
            relay.resendAt = now + options_.resendInterval;
            due.emplace_back(outstandingTargets_.at(waiter), waiter, relay.call);
        }
    }
    for (auto& [primary, waiter, call] : due) {
        if (isLost(primary))
            answer(waiter, transient("entry " + primary.vm.value + " was lost", Verdict::MayHaveRun));
        else
            sendSubmit(primary, waiter, std::move(call));
    }
}

} // namespace Balsammill
