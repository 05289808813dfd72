#include "balsammill/entry/TaskForwarding.h"

#include "ForwardReceiverTable.h"
#include "ForwardSenderTable.h"
#include "ForwardTargetChoice.h"
#include "balsammill/rpc/VerdictMessage.h"
#include "balsammill/schema/Schema.h"
#include "jobs/JobRequest.h"

#include <mutex>

namespace Balsammill {

namespace {

using namespace Balsammill::Detail;
using balsammill::internal::PeerMessage;
using balsammill::internal::TaskDone;

std::uint32_t remainingMs(TimePoint deadline, TimePoint now)
{
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(remaining, 0, UINT32_MAX));
}

std::uint32_t microseconds(Duration duration)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(duration.count(), 0, UINT32_MAX));
}

PeerMessage forwardMessage(const DispatchTask& task, RequestId id, const ProcessId& receiver, TimePoint now)
{
    PeerMessage message;
    auto& forward = *message.mutable_forward_task();
    forward.set_request_id(id.value);
    forward.set_method(task.method.value);
    forward.set_team(task.clientAccount.value);
    forward.set_task_id(task.taskName);
    forward.set_request(task.request);
    forward.set_remaining_ms(remainingMs(task.deadline, now));
    forward.set_receiver_incarnation(receiver.incarnation.value);
    forward.set_start_at_most_once(task.startAtMostOnce);
    return message;
}

std::shared_ptr<const TaskDone> doneMessage(RequestId id, const DispatchResult& result)
{
    auto done = std::make_shared<TaskDone>();
    done->set_request_id(id.value);
    if (const auto* answer = std::get_if<DispatchAnswer>(&result)) {
        done->set_answer(answer->answer);
        done->set_queued_us(microseconds(answer->queued));
        done->set_run_us(microseconds(answer->run));
        done->set_verdict(balsammill::v1::VERDICT_RAN);
        return done;
    }
    const auto& error = std::get<RpcErrorDetails>(result);
    *done->mutable_failure() = toFailure(error);
    done->set_verdict(toProto(error.verdict));
    return done;
}

DispatchResult resultOf(const TaskDone& done)
{
    if (done.has_failure()) {
        auto error = fromFailure(done.failure());
        // The receiver cancels a forwarded task only on revocation. The caller did not request this, so it must not see
        // the task as cancelled.
        if (error.code == ErrorCode::Canceled && error.verdict == Verdict::NotRun)
            error.code = ErrorCode::Unavailable;
        return error;
    }
    return DispatchAnswer { done.answer(), Duration(done.queued_us()), Duration(done.run_us()) };
}

DispatchResult refusal(ErrorCode code, std::string message)
{
    return RpcErrorDetails { .code = code, .message = std::move(message), .verdict = Verdict::NotRun };
}

} // namespace

struct TaskForwarding::Detail : std::enable_shared_from_this<TaskForwarding::Detail> {
    Detail(TaskForwardingOptions initial, Dispatcher& initialDispatcher, const RcuCell<ActiveConfig>& initialConfig,
        const RcuCell<MemberView>& initialMembers)
        : options(std::move(initial))
        , dispatcher(initialDispatcher)
        , config(initialConfig)
        , members(initialMembers)
        , sentTasks({ .answerTimeout = options.answerTimeout })
        , receivedTasks({})
        , targets({ .otherDomainDelay = options.otherDomainDelay })
    {
    }

    bool sendTo(const ProcessId& receiver, const DispatchTask&, const DispatchCompletion&, TimePoint now, bool& ended);
    void onForwardTask(const ProcessId& sender, const balsammill::internal::ForwardTask&);
    void onTaskDone(const ProcessId& sender, const TaskDone&);
    void onRevokeTask(const ProcessId& sender, const balsammill::internal::RevokeTask&);
    void onRevoked(const ProcessId& sender, const balsammill::internal::Revoked&);

    void submit(const ForwardKey&, const balsammill::internal::ForwardTask&, TimePoint deadline);
    void finish(const ForwardKey&, const DispatchResult&);
    void reply(const ForwardKey&, const TaskDone&);
    void replyRevoked(const ForwardKey&, bool started);
    void sendRevocation(const RevocationRequest&, TimePoint now);

    TaskForwardingOptions options;
    Dispatcher& dispatcher;
    const RcuCell<ActiveConfig>& config;
    const RcuCell<MemberView>& members;

    mutable std::mutex mutex;
    ForwardSenderTable sentTasks;
    ForwardReceiverTable receivedTasks;
    ForwardTargetChoice targets;
};

bool TaskForwarding::Detail::sendTo(const ProcessId& receiver, const DispatchTask& task,
    const DispatchCompletion& completion, TimePoint now, bool& ended)
{
    RequestId id;
    {
        std::lock_guard lock(mutex);
        id = sentTasks.add(receiver, task.deadline, completion, now);
        targets.recordSent(id, receiver.vm, task.service, task.slots, now);
    }
    if (options.send(receiver.vm, forwardMessage(task, id, receiver, now)))
        return true;
    std::lock_guard lock(mutex);
    // tick() may have ended the task in the meantime; its completion must not be called again.
    targets.recordEnded(id);
    ended = !sentTasks.take(id).has_value();
    return false;
}

void TaskForwarding::Detail::onForwardTask(const ProcessId& sender, const balsammill::internal::ForwardTask& forwarded)
{
    if (forwarded.receiver_incarnation() != options.self.incarnation.value)
        return;
    const ForwardKey key { sender, RequestId(forwarded.request_id()) };
    const auto deadline = monotonicNow() + std::chrono::milliseconds(forwarded.remaining_ms());
    ForwardAcceptance acceptance {};
    {
        std::lock_guard lock(mutex);
        acceptance = receivedTasks.accept(key, deadline);
    }
    if (acceptance == ForwardAcceptance::Submit)
        submit(key, forwarded, deadline);
    else if (acceptance == ForwardAcceptance::Full)
        reply(key, *doneMessage(key.id, refusal(ErrorCode::ResourceExhausted, "too many forwarded tasks")));
}

void TaskForwarding::Detail::submit(
    const ForwardKey& key, const balsammill::internal::ForwardTask& forwarded, TimePoint deadline)
{
    const auto active = config.load();
    const auto* method = active && active->schema ? active->schema->findMethod(forwarded.method()) : nullptr;
    if (!method) {
        finish(key, refusal(ErrorCode::Unavailable, "no configuration with method " + forwarded.method()));
        return;
    }
    const auto id = dispatcher.submit({ .service = method->service,
                                          .method = method->name,
                                          .clientAccount = ClientAccountName(forwarded.team()),
                                          .taskName = forwarded.task_id(),
                                          .idempotent = method->idempotent,
                                          .startAtMostOnce = forwarded.start_at_most_once(),
                                          .urgency = method->urgency,
                                          .slots = method->slots,
                                          .declaredRunTime = method->declaredRunTime,
                                          .queueLimit = method->queueLimit,
                                          .deadline = deadline,
                                          .request = forwarded.request(),
                                          .mayForward = false },
        [weak = weak_from_this(), key](const DispatchResult& result) {
            if (const auto self = weak.lock())
                self->finish(key, result);
        });
    std::lock_guard lock(mutex);
    receivedTasks.submitted(key, id);
}

void TaskForwarding::Detail::finish(const ForwardKey& key, const DispatchResult& result)
{
    const auto done = doneMessage(key.id, result);
    {
        std::lock_guard lock(mutex);
        receivedTasks.finish(key, done, monotonicNow());
    }
    reply(key, *done);
}

// A reply that is lost or cannot be sent is sent again when the sender asks to revoke the task.
void TaskForwarding::Detail::reply(const ForwardKey& key, const TaskDone& done)
{
    PeerMessage message;
    *message.mutable_task_done() = done;
    options.send(key.sender.vm, message);
}

void TaskForwarding::Detail::replyRevoked(const ForwardKey& key, bool started)
{
    PeerMessage message;
    message.mutable_revoked()->set_request_id(key.id.value);
    message.mutable_revoked()->set_started(started);
    options.send(key.sender.vm, message);
}

void TaskForwarding::Detail::onTaskDone(const ProcessId& sender, const TaskDone& done)
{
    std::optional<DispatchCompletion> completion;
    {
        std::lock_guard lock(mutex);
        completion = sentTasks.takeAnswered(RequestId(done.request_id()), sender);
        if (completion)
            targets.recordEnded(RequestId(done.request_id()));
    }
    if (completion)
        (*completion)(resultOf(done));
}

void TaskForwarding::Detail::onRevokeTask(const ProcessId& sender, const balsammill::internal::RevokeTask& revoke)
{
    const ForwardKey key { sender, RequestId(revoke.request_id()) };
    // Only the incarnation that the task was sent to can know that it did not start.
    if (revoke.receiver_incarnation() != options.self.incarnation.value) {
        replyRevoked(key, true);
        return;
    }
    const auto now = monotonicNow();
    RevocationDecision decision;
    {
        std::lock_guard lock(mutex);
        decision = receivedTasks.revoke(key, now + std::chrono::milliseconds(revoke.remaining_ms()), now);
    }
    if (const auto* answered = std::get_if<Answered>(&decision))
        reply(key, *answered->reply);
    else if (const auto* tryCancel = std::get_if<TryCancel>(&decision))
        replyRevoked(key, !dispatcher.cancel(tryCancel->task));
    else
        replyRevoked(key, std::holds_alternative<MayHaveStarted>(decision));
}

void TaskForwarding::Detail::onRevoked(const ProcessId& sender, const balsammill::internal::Revoked& revoked)
{
    std::optional<EndedForward> ended;
    {
        std::lock_guard lock(mutex);
        ended = sentTasks.applyRevoked(RequestId(revoked.request_id()), sender, revoked.started(), monotonicNow());
    }
    if (ended)
        ended->completion(std::move(ended->error));
}

void TaskForwarding::Detail::sendRevocation(const RevocationRequest& request, TimePoint now)
{
    PeerMessage message;
    auto& revoke = *message.mutable_revoke_task();
    revoke.set_request_id(request.id.value);
    revoke.set_receiver_incarnation(request.receiver.incarnation.value);
    revoke.set_remaining_ms(remainingMs(request.deadline, now));
    options.send(request.receiver.vm, message);
}

TaskForwarding::TaskForwarding(TaskForwardingOptions options, Dispatcher& dispatcher,
    const RcuCell<ActiveConfig>& config, const RcuCell<MemberView>& members)
    : detail_(std::make_shared<Detail>(std::move(options), dispatcher, config, members))
{
}

TaskForwarding::~TaskForwarding() = default;

bool TaskForwarding::forward(const DispatchTask& task, const DispatchCompletion& completion)
{
    const auto view = detail_->members.load();
    const auto now = monotonicNow();
    if (!view || !task.mayForward || remainingMs(task.deadline, now) == 0)
        return false;
    const auto load = detail_->dispatcher.load(task.service);
    const Balsammill::Detail::LocalQueueLoad own { .totalSlots = Slots(load.totalSlots),
        .expectedWait = load.expectedWait };
    std::vector<ProcessId> receivers;
    {
        std::lock_guard lock(detail_->mutex);
        receivers = detail_->targets.candidates(*view, task.service, task.slots, own, now);
    }
    for (const auto& receiver : receivers) {
        bool ended = false;
        if (detail_->sendTo(receiver, task, completion, now, ended) || ended)
            return true;
    }
    return false;
}

void TaskForwarding::handlePeerMessage(const ProcessId& sender, const PeerMessage& message)
{
    switch (message.body_case()) {
    case PeerMessage::kForwardTask:
        detail_->onForwardTask(sender, message.forward_task());
        break;
    case PeerMessage::kTaskDone:
        detail_->onTaskDone(sender, message.task_done());
        break;
    case PeerMessage::kRevokeTask:
        detail_->onRevokeTask(sender, message.revoke_task());
        break;
    case PeerMessage::kRevoked:
        detail_->onRevoked(sender, message.revoked());
        break;
    default:
        break;
    }
}

void TaskForwarding::tick(TimePoint now)
{
    const auto view = detail_->members.load();
    if (!view)
        return;
    ForwardSenderTable::Due due;
    {
        std::lock_guard lock(detail_->mutex);
        due = detail_->sentTasks.tick(*view, now);
        detail_->receivedTasks.tick(now);
    }
    for (const auto& revocation : due.revocations)
        detail_->sendRevocation(revocation, now);
    for (auto& ended : due.ended)
        ended.completion(std::move(ended.error));
}

std::size_t TaskForwarding::pendingForwards() const
{
    std::lock_guard lock(detail_->mutex);
    return detail_->sentTasks.size();
}

} // namespace Balsammill
