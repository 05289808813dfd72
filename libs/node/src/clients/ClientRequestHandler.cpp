#include "ClientRequestHandler.h"

#include "durable/JournalCodec.h"
#include "platform/JobMessages.h"
#include "platform/Json.h"

#include <algorithm>
#include <utility>

namespace Balsammill {

namespace {

// A node without a configuration receives one within this time once the store answers.
constexpr Duration noConfigurationRetryAfter = std::chrono::seconds(1);
// Time for which a request waits for the first configuration. A process that starts reads it within some tens of
// milliseconds unless the store is away.
constexpr Duration maxConfigurationWait = std::chrono::milliseconds(300);
// Requests that wait for the first configuration; bounds the memory for them.
constexpr std::size_t maxEarlyRequests = 500;

// A crowd of clients reaches a limit with each of its connections.
constexpr Duration limitLineInterval = std::chrono::seconds(1);

// Owners report their counts every 100 ms; a new owner loads its jobs within this time.
constexpr Duration noCountRetryAfter = std::chrono::seconds(1);
// Other entries of the failure domain accept connections at once.
constexpr Duration stoppingRetryAfter = std::chrono::milliseconds(500);
// The actual run times of nearly all tasks are within this factor of the declared run times.
constexpr int runTimeSafetyFactor = 2;
// Allowance for queueing delay and the response.
constexpr Duration queueingAndResponseMargin = std::chrono::milliseconds(400);

const char* nameOf(JobAnswer::Kind kind)
{
    switch (kind) {
    case JobAnswer::Kind::Completed:
        return "completed";
    case JobAnswer::Kind::Failed:
        return "failed";
    case JobAnswer::Kind::Refused:
        return "refused";
    case JobAnswer::Kind::NotStorable:
        return "not_storable";
    case JobAnswer::Kind::InDoubt:
        return "in_doubt";
    case JobAnswer::Kind::Accepted:
        return "accepted";
    case JobAnswer::Kind::Known:
        return "known";
    case JobAnswer::Kind::UnknownJob:
        return "unknown_job";
    case JobAnswer::Kind::Unreachable:
        return "unreachable";
    }
    return "unknown";
}

HttpResponse responseTo(const JobAnswer& answer)
{
    switch (answer.kind) {
    case JobAnswer::Kind::Completed:
        return Platform::jobState(Shards::JobState::Completed);
    case JobAnswer::Kind::Failed:
        return Platform::jobState(Shards::JobState::Failed);
    case JobAnswer::Kind::Refused:
        return Platform::jobRefused(answer.retryAfter);
    case JobAnswer::Kind::NotStorable:
        return Platform::jobNotStorable();
    case JobAnswer::Kind::Accepted:
        return Platform::jobState(Shards::JobState::Queued);
    case JobAnswer::Kind::Known:
        return Platform::jobState(answer.state);
    case JobAnswer::Kind::UnknownJob:
        return Platform::noSuchJob();
    case JobAnswer::Kind::Unreachable:
        return Platform::serviceUnavailable(answer.retryAfter);
    case JobAnswer::Kind::InDoubt:
        break;
    }
    return Platform::jobInDoubt();
}

} // namespace

ClientRequestHandler::ClientRequestHandler(NodeContext& context, JobClient& jobs)
    : context_(context)
    , jobs_(jobs)
{
}

void ClientRequestHandler::setQueues(std::shared_ptr<const QueueTable> queues)
{
    queues_ = std::move(queues);
    for (const auto& early : std::exchange(earlyRequests_, {})) {
        if (!early.exchange->hasClientLeft())
            handle(early.request, early.exchange, early.arrivedAt);
    }
}

void ClientRequestHandler::advance(TimePoint now)
{
    std::erase_if(earlyRequests_, [this, now](const EarlyRequest& early) {
        if (now < early.refuseAt)
            return false;
        refuseUnconfigured(*early.exchange);
        return true;
    });
}

void ClientRequestHandler::handleLimit(HttpBudgetLimit limit)
{
    const std::string reason = limit == HttpBudgetLimit::Connections ? "connections" : "buffered_bytes";
    context_.metrics.add("balsammill_connections_closed_total", "reason=\"" + reason + "\"");
    const auto now = monotonicNow();
    auto& nextLine = nextLimitLine_[limit];
    if (now < nextLine)
        return;
    nextLine = now + limitLineInterval;
    context_.log.event("client.limit_reached", { { "reason", reason } });
}

void ClientRequestHandler::refuseUnconfigured(HttpExchange& exchange)
{
    context_.metrics.add("balsammill_refused_without_configuration_total");
    exchange.respond(Platform::serviceUnavailable(noConfigurationRetryAfter));
}

void ClientRequestHandler::keepUntilConfigured(
    const HttpRequest& request, const std::shared_ptr<HttpExchange>& exchange)
{
    const auto now = monotonicNow();
    if (earlyRequests_.size() >= maxEarlyRequests) {
        refuseUnconfigured(*exchange);
        return;
    }
    earlyRequests_.push_back({ .request = request,
        .exchange = exchange,
        .arrivedAt = now,
        .refuseAt = std::min(now + maxConfigurationWait, responseDeadline(request, now)) });
}

void ClientRequestHandler::handle(const HttpRequest& request, const std::shared_ptr<HttpExchange>& exchange)
{
    if (queues_)
        handle(request, exchange, monotonicNow());
    else
        keepUntilConfigured(request, exchange);
}

void ClientRequestHandler::handle(
    const HttpRequest& request, const std::shared_ptr<HttpExchange>& exchange, TimePoint arrivedAt)
{
    const std::string path = request.target.substr(0, request.target.find('?'));
    const auto queues = queues_;
    const auto* queue = queues->find(request.host, path);
    if (queue == nullptr) {
        context_.metrics.add("balsammill_unknown_queue_total");
        exchange->respond(Platform::noSuchQueue());
        return;
    }
    const auto id = path.substr(queue->pathPrefix.size());
    if (request.method == "GET" && id.empty()) {
        // Only durable jobs are counted: other jobs wait for less than the time after which a job has to be counted.
        const auto waiting = jobs_.waitingJobs(queue->name);
        exchange->respond(waiting ? Platform::queueLength(*waiting) : Platform::serviceUnavailable(noCountRetryAfter));
        return;
    }
    if (!Platform::isJobId(id)) {
        exchange->respond(Platform::badRequest("the path does not end with a job id of 16 hexadecimal digits"));
        return;
    }
    if (request.method == "POST")
        submit(*queue, id, request, exchange, arrivedAt);
    else if (request.method == "GET" || request.method == "DELETE")
        queryOrCancel(JobId(id), request.method == "DELETE", request, exchange, arrivedAt);
    else
        exchange->respond(Platform::badRequest("method " + request.method + " is not supported"));
}

void ClientRequestHandler::submit(const QueueConfig& queue, const std::string& id, const HttpRequest& request,
    const std::shared_ptr<HttpExchange>& exchange, TimePoint arrivedAt)
{
    Platform::JobSubmission submission;
    try {
        submission = Platform::parseSubmission(request.body, JobId(id), queue);
    } catch (const Platform::FormatError& error) {
        context_.metrics.add("balsammill_bad_requests_total");
        context_.log.event("job.bad_request", { { "id", id }, { "reason", error.what() } });
        exchange->respond(Platform::badRequest(error.what()));
        return;
    }
    if (submission.spec.advice && context_.settings.adviceAddress.empty())
        submission.unsupported = "advised placement without an advice service in its settings";
    if (!submission.unsupported.empty()) {
        context_.metrics.add("balsammill_unsupported_total");
        context_.log.event("job.unsupported", { { "id", id }, { "feature", submission.unsupported } });
        exchange->respond(Platform::unsupportedJob(submission.unsupported));
        return;
    }
    if (submission.spec.durable
        && !storedStateLimits(submission.spec, Platform::maxValueBytes(context_.settings.storeRowBytes))) {
        context_.metrics.add("balsammill_not_storable_total");
        context_.log.event("job.not_storable", { { "id", id } });
        exchange->respond(Platform::jobNotStorable());
        return;
    }
    // A request that was delayed on its way can arrive together with the end of its connection.
    if (exchange->hasClientLeft()) {
        context_.metrics.add("balsammill_abandoned_total");
        if (context_.log.isSampled(id))
            context_.log.event("job.abandoned", { { "id", id }, { "ms", std::int64_t { 0 } } });
        return;
    }
    const auto queueLabel = "queue=\"" + queue.name.value + "\"";
    Duration declaredRunTime {};
    for (const auto& step : submission.spec.steps)
        declaredRunTime += step.estimate;
    if (stopAt_ != TimePoint::max()
        && arrivedAt + declaredRunTime * runTimeSafetyFactor + queueingAndResponseMargin > stopAt_) {
        context_.metrics.add("balsammill_refused_while_stopping_total");
        context_.log.event("job.refused_while_stopping", { { "id", id } });
        exchange->respond(Platform::serviceUnavailable(stoppingRetryAfter));
        return;
    }
    if (context_.log.isSampled(id))
        context_.log.event("job.received", { { "id", id }, { "queue", queue.name.value } });
    const auto number = jobs_.submit(std::move(submission.spec), responseDeadline(request, arrivedAt),
        [this, exchange, id, queueLabel, arrivedAt](const JobAnswer& answer) {
            const auto took = toMs(monotonicNow() - arrivedAt);
            context_.metrics.add("balsammill_answers_total", queueLabel + ",outcome=\"" + nameOf(answer.kind) + "\"");
            context_.metrics.observe("balsammill_answer_time_ms", queueLabel, took);
            const bool successful
                = answer.kind == JobAnswer::Kind::Completed || answer.kind == JobAnswer::Kind::Accepted;
            if (!successful || context_.log.isSampled(id))
                context_.log.event("job.answered",
                    { { "id", id }, { "outcome", nameOf(answer.kind) }, { "ms", static_cast<std::int64_t>(took) } });
            exchange->respond(responseTo(answer));
        });
    exchange->onAbandoned([this, number, id, arrivedAt] {
        context_.metrics.add("balsammill_abandoned_total");
        if (context_.log.isSampled(id))
            context_.log.event("job.abandoned",
                { { "id", id }, { "ms", static_cast<std::int64_t>(toMs(monotonicNow() - arrivedAt)) } });
        jobs_.cancel(number);
    });
}

TimePoint ClientRequestHandler::responseDeadline(const HttpRequest& request, TimePoint arrivedAt)
{
    const auto timeout = Platform::clientTimeout(request);
    return timeout ? arrivedAt + *timeout : TimePoint::max();
}

void ClientRequestHandler::queryOrCancel(const JobId& id, bool cancel, const HttpRequest& request,
    const std::shared_ptr<HttpExchange>& exchange, TimePoint arrivedAt)
{
    const auto callback = [this, exchange, id, cancel](const JobAnswer& answer) {
        context_.metrics.add(cancel ? "balsammill_cancellations_total" : "balsammill_state_queries_total",
            std::string("outcome=\"") + nameOf(answer.kind) + "\"");
        if (cancel || answer.kind == JobAnswer::Kind::Unreachable)
            context_.log.event(cancel ? "job.cancel_answered" : "job.state_unavailable",
                { { "id", id.value }, { "outcome", nameOf(answer.kind) } });
        exchange->respond(responseTo(answer));
    };
    const auto number = cancel ? jobs_.cancelJob(id, responseDeadline(request, arrivedAt), callback)
                               : jobs_.query(id, responseDeadline(request, arrivedAt), callback);
    exchange->onAbandoned([this, number] { jobs_.cancel(number); });
}

} // namespace Balsammill
