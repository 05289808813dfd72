#include "balsammill/entry/RequestPath.h"

#include "CompletionWaiter.h"
#include "ProtoCodec.h"
#include "balsammill/entry/Dispatcher.h"
#include "balsammill/entry/JobService.h"
#include "balsammill/observe/Metrics.h"
#include "balsammill/observe/Timeline.h"
#include "balsammill/rpc/VerdictMessage.h"
#include "balsammill/schema/Schema.h"
#include "balsammill/v1/config.pb.h"
#include "balsammill/v1/jobs.pb.h"

#include <algorithm>

namespace Balsammill {

namespace {

constexpr std::string_view jobsServicePrefix = "balsammill.v1.Jobs/";
bool isJobMethod(const MethodName& method) { return method.value.starts_with(jobsServicePrefix); }

constexpr Duration fallbackTimeout = std::chrono::seconds(10);
// Upper limit for the caller's timeout, so that an abandoned call cannot occupy a thread indefinitely.
constexpr Duration maxTimeout = std::chrono::minutes(10);

[[noreturn]] void refuse(ErrorCode code, std::string message, Duration retryAfter = {})
{
    throw RpcError(
        { .code = code, .message = std::move(message), .verdict = Verdict::NotRun, .retryAfter = retryAfter });
}

[[noreturn]] void throwUnavailable(const RpcRequest& request, std::string message)
{
    throw RpcError({ .code = ErrorCode::Unavailable,
        .message = std::move(message),
        .verdict = RequestPath::verdictOfRefusal(request.method) });
}

void requireRunningService(const ActiveConfig& config, const ServiceName& service)
{
    for (const auto& candidate : config.content->services()) {
        if (candidate.name() != service.value)
            continue;
        if (candidate.stopped())
            refuse(ErrorCode::Unavailable, "service " + service.value + " is stopped by an operator");
        return;
    }
    refuse(ErrorCode::Unimplemented, "service " + service.value + " is not part of this deployment");
}

TimePoint deadlineOf(const RpcRequest& request, const MethodInfo* method, const ActiveConfig& config)
{
    const auto latest = request.receivedAt + maxTimeout;
    if (request.deadline)
        return std::min(*request.deadline, latest);
    if (method && method->defaultTimeout > Duration::zero())
        return std::min(request.receivedAt + method->defaultTimeout, latest);
    if (const auto configured = config.content->limits().default_deadline_ms())
        return std::min(request.receivedAt + std::chrono::milliseconds(configured), latest);
    return request.receivedAt + fallbackTimeout;
}

DispatchTask makeTask(
    const RpcRequest& request, const MethodInfo& method, const std::string& callId, TimePoint deadline)
{
    return {
        .service = method.service,
        .method = method.name,
        .clientAccount = request.clientAccount,
        .taskName = callId,
        .idempotent = method.idempotent,
        .urgency = method.urgency,
        .slots = method.slots,
        .declaredRunTime = method.declaredRunTime,
        .queueLimit = method.queueLimit,
        .deadline = deadline,
        .request = {},
    };
}

Verdict verdictOf(const balsammill::v1::JobResult& result)
{
    return result.state() == balsammill::v1::JOB_STATE_COMPLETE ? Verdict::Ran : fromProto(result.verdict());
}

} // namespace

RequestPath::RequestPath(RequestPathOptions options)
    : options_(std::move(options))
{
}

Verdict RequestPath::verdictOfRefusal(const MethodName& method)
{
    return isJobMethod(method) ? Verdict::MayHaveRun : Verdict::NotRun;
}

RpcAnswer RequestPath::handle(const RpcRequest& request)
{
    auto callId = options_.callIdPrefix + std::to_string(nextCallNumber_.fetch_add(1, std::memory_order_relaxed));
    if (!request.taskId.empty())
        callId += "/" + request.taskId;
    options_.timeline.record(EventKind::Received, callId, request.method.value);
    const auto config = options_.config.load();
    bool dispatched = false;
    try {
        if (!config)
            throwUnavailable(request, "no configuration is in force yet");
        if (options_.members.load()->selfLeaving)
            throwUnavailable(request, "this entry is leaving; use another one");
        if (isJobMethod(request.method))
            return handleJobCall(request, *config);
        auto task = checkServiceCall(request, *config, callId);
        dispatched = true; // The dispatcher records the outcome from here on.
        return dispatchAndWait(request, *config, std::move(task));
    } catch (const RpcError& error) {
        if (!dispatched)
            recordRefusal(request, callId, error);
        throw;
    }
}

void RequestPath::recordRefusal(const RpcRequest& request, const std::string& callId, const RpcError& error)
{
    const auto verdict = error.details().verdict;
    options_.timeline.record(verdict == Verdict::NotRun ? EventKind::Refused : EventKind::Failed, callId, error.what());
    options_.metrics.recordCall({ .method = request.method,
        .clientAccount = request.clientAccount,
        .response = monotonicNow() - request.receivedAt,
        .verdict = verdict });
}

DispatchTask RequestPath::checkServiceCall(
    const RpcRequest& request, const ActiveConfig& config, const std::string& callId)
{
    const auto* method = config.schema->findMethod(request.method.value);
    if (!method)
        refuse(ErrorCode::Unimplemented, "there is no method " + request.method.value);
    requireRunningService(config, method->service);

    auto task = makeTask(request, *method, callId, deadlineOf(request, method, config));
    if (request.encoding == Encoding::Json) {
        task.request = config.schema->requestFromJson(*method, request.body);
    } else {
        config.schema->checkRequest(*method, request.body);
        task.request = request.body;
    }
    return task;
}

RpcAnswer RequestPath::dispatchAndWait(const RpcRequest& request, const ActiveConfig& config, DispatchTask task)
{
    Detail::CompletionWaiter<DispatchResult> waiter;
    options_.dispatcher.submit(
        std::move(task), [&waiter](DispatchResult result) { waiter.complete(std::move(result)); });
    auto result = waiter.wait();
    if (const auto* error = std::get_if<RpcErrorDetails>(&result))
        throw RpcError(*error);

    auto& answer = std::get<DispatchAnswer>(result);
    const auto* method = config.schema->findMethod(request.method.value);
    RpcAnswer reply { .encoding = request.encoding, .body = {}, .verdict = Verdict::Ran };
    if (request.encoding == Encoding::Json) {
        reply.body = config.schema->answerToJson(*method, answer.answer);
    } else {
        config.schema->checkAnswer(*method, answer.answer);
        reply.body = std::move(answer.answer);
    }
    return reply;
}

RpcAnswer RequestPath::handleJobCall(const RpcRequest& request, const ActiveConfig& config)
{
    const auto action = std::string_view(request.method.value).substr(jobsServicePrefix.size());
    const auto deadline = deadlineOf(request, nullptr, config);
    balsammill::v1::JobResult result;
    if (action == "Submit") {
        balsammill::v1::SubmitRequest submission;
        Detail::decodeBody(request, submission);
        if (submission.team().empty())
            submission.set_team(request.clientAccount.value);
        result = options_.jobs.submit(submission, deadline);
    } else if (action == "Get") {
        balsammill::v1::GetRequest query;
        Detail::decodeBody(request, query);
        if (query.team().empty())
            query.set_team(request.clientAccount.value);
        result = options_.jobs.get(query, deadline);
    } else if (action == "Cancel") {
        balsammill::v1::CancelRequest cancellation;
        Detail::decodeBody(request, cancellation);
        if (cancellation.team().empty())
            cancellation.set_team(request.clientAccount.value);
        result = options_.jobs.cancel(cancellation, deadline);
    } else {
        refuse(ErrorCode::Unimplemented, "there is no method " + request.method.value);
    }
    return Detail::encodeAnswer(request, result, verdictOf(result));
}

} // namespace Balsammill
