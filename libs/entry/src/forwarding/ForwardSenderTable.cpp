#include "ForwardSenderTable.h"

#include <algorithm>

namespace Balsammill::Detail {

namespace {

enum class ReceiverState {
    Usable,
    /// Not listed, dead or unreachable; it may still answer.
    Unresponsive,
    /// Replaced by a process with a later incarnation, so it cannot answer any more.
    Replaced,
};

ReceiverState stateOf(const ProcessId& receiver, const MemberView& view)
{
    const auto found = std::find_if(
        view.members.begin(), view.members.end(), [&](const Member& member) { return member.id.vm == receiver.vm; });
    if (found == view.members.end())
        return ReceiverState::Unresponsive;
    if (found->id.incarnation > receiver.incarnation)
        return ReceiverState::Replaced;
    const bool silent = found->liveness == Liveness::Dead || found->liveness == Liveness::Unreachable;
    return silent ? ReceiverState::Unresponsive : ReceiverState::Usable;
}

RpcErrorDetails unansweredError(const ProcessId& receiver, TimePoint deadline, TimePoint now)
{
    const bool late = now >= deadline;
    return { .code = late ? ErrorCode::DeadlineExceeded : ErrorCode::Unavailable,
        .message = "no answer to the task forwarded to " + receiver.vm.value,
        .verdict = Verdict::MayHaveRun };
}

} // namespace

RequestId ForwardSenderTable::add(
    const ProcessId& receiver, TimePoint deadline, DispatchCompletion completion, TimePoint now)
{
    const RequestId id(++lastId_);
    pending_.emplace(id,
        Pending { .receiver = receiver,
            .deadline = deadline,
            .completion = std::move(completion),
            .nextRevokeAt = std::min(deadline, now + timeouts_.answerTimeout),
            .giveUpAt = deadline + timeouts_.gracePeriod });
    return id;
}

std::optional<DispatchCompletion> ForwardSenderTable::take(RequestId id)
{
    auto node = pending_.extract(id);
    if (node.empty())
        return std::nullopt;
    return std::move(node.mapped().completion);
}

std::optional<DispatchCompletion> ForwardSenderTable::takeAnswered(RequestId id, const ProcessId& sender)
{
    const auto found = pending_.find(id);
    if (found == pending_.end() || found->second.receiver != sender)
        return std::nullopt;
    return take(id);
}

std::optional<EndedForward> ForwardSenderTable::applyRevoked(
    RequestId id, const ProcessId& sender, bool started, TimePoint now)
{
    const auto found = pending_.find(id);
    // A different incarnation of the receiver cannot know whether the task started in the one that it was sent to.
    if (found == pending_.end() || found->second.receiver != sender || started)
        return std::nullopt;
    const bool late = now >= found->second.deadline;
    RpcErrorDetails error { .code = late ? ErrorCode::DeadlineExceeded : ErrorCode::Unavailable,
        .message = "the task forwarded to " + sender.vm.value + " was revoked before its start",
        .verdict = Verdict::NotRun };
    return EndedForward { *take(id), std::move(error) };
}

void ForwardSenderTable::markReceiverUnresponsive(Pending& pending, TimePoint now) const
{
    if (pending.receiverUnresponsive)
        return;
    pending.receiverUnresponsive = true;
    pending.nextRevokeAt = now;
    pending.giveUpAt = std::min(pending.giveUpAt, now + timeouts_.gracePeriod);
}

ForwardSenderTable::Due ForwardSenderTable::tick(const MemberView& view, TimePoint now)
{
    Due due;
    std::map<ProcessId, ReceiverState> states;
    for (auto next = pending_.begin(); next != pending_.end();) {
        auto& [id, pending] = *next;
        const auto [state, isNew] = states.try_emplace(pending.receiver, ReceiverState::Usable);
        if (isNew)
            state->second = stateOf(pending.receiver, view);
        if (state->second == ReceiverState::Unresponsive)
            markReceiverUnresponsive(pending, now);
        if (state->second == ReceiverState::Replaced || now >= pending.giveUpAt) {
            auto error = unansweredError(pending.receiver, pending.deadline, now);
            due.ended.push_back({ std::move(pending.completion), std::move(error) });
            next = pending_.erase(next);
            continue;
        }
        if (now >= pending.nextRevokeAt) {
            due.revocations.push_back({ pending.receiver, id, pending.deadline });
            pending.nextRevokeAt = now + timeouts_.revokeInterval;
        }
        ++next;
    }
    return due;
}

} // namespace Balsammill::Detail
