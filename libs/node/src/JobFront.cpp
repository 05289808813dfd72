#include "JobFront.h"

#include "platform/JobMessages.h"
#include "platform/Json.h"

namespace Balsammill {

namespace {

// A node without a configuration gets one within this time, once the store answers.
constexpr Duration retryWithoutConfiguration = std::chrono::seconds(1);

// Other entries of the failure domain take the connections over at once.
constexpr Duration retryWhileStopping = std::chrono::milliseconds(500);
// Real run times of nearly all tasks are within this factor of the declared ones.
constexpr int declaredTimeMargin = 2;
// Waiting for room and for the answer.
constexpr Duration answerMargin = std::chrono::milliseconds(400);

} // namespace

JobFront::JobFront(NodeContext& context, JobClient& jobs)
    : context_(context)
    , jobs_(jobs)
{
}

void JobFront::adopt(std::shared_ptr<const QueueTable> queues) { queues_ = std::move(queues); }

void JobFront::handle(const HttpRequest& request, const std::shared_ptr<HttpExchange>& exchange)
{
    if (!queues_) {
        context_.metrics.count("refused_without_configuration");
        auto response = Platform::jobRefused(retryWithoutConfiguration);
        response.status = 503;
        exchange->respond(response);
        return;
    }
    const std::string path = request.target.substr(0, request.target.find('?'));
    const auto queues = queues_;
    const auto* queue = queues->find(request.host, path);
    if (queue == nullptr) {
        context_.metrics.count("unknown_queue");
        exchange->respond(Platform::noSuchQueue());
        return;
    }
    const auto id = path.substr(queue->pathPrefix.size());
    if (request.method == "GET" && id.empty()) {
        // Jobs that are answered at their end wait for less than the time after which they would have to be counted.
        exchange->respond(Platform::queueLength(0));
        return;
    }
    if (!Platform::isJobId(id)) {
        exchange->respond(Platform::badRequest("the path does not end with a job id of 16 hexadecimal digits"));
        return;
    }
    if (request.method == "POST")
        submit(*queue, id, request, exchange);
    else if (request.method == "GET" || request.method == "DELETE")
        exchange->respond(Platform::noSuchJob());
    else
        exchange->respond(Platform::badRequest("method " + request.method + " is not supported"));
}

void JobFront::submit(const QueueConfig& queue, const std::string& id, const HttpRequest& request,
    const std::shared_ptr<HttpExchange>& exchange)
{
    Platform::JobSubmission submission;
    try {
        submission = Platform::parseSubmission(request.body, JobId(id), queue);
    } catch (const Platform::FormatError& error) {
        context_.metrics.count("bad_requests");
        context_.log.event("job.bad_request", { { "id", id }, { "reason", error.what() } });
        exchange->respond(Platform::badRequest(error.what()));
        return;
    }
    if (!submission.unsupported.empty()) {
        context_.metrics.count("unsupported");
        context_.log.event("job.unsupported", { { "id", id }, { "feature", submission.unsupported } });
        exchange->respond(Platform::unsupportedJob(submission.unsupported));
        return;
    }
    const auto arrivedAt = monotonicNow();
    const auto queueLabel = "queue=\"" + queue.name.value + "\"";
    Duration declared {};
    for (const auto& step : submission.spec.steps)
        declared += step.estimate;
    if (stopAt_ != TimePoint::max() && arrivedAt + declared * declaredTimeMargin + answerMargin > stopAt_) {
        context_.metrics.count("refused_while_stopping");
        context_.log.event("job.refused_while_stopping", { { "id", id } });
        auto response = Platform::jobRefused(retryWhileStopping);
        response.status = 503;
        exchange->respond(response);
        return;
    }
    if (context_.log.samples(id))
        context_.log.event("job.received", { { "id", id }, { "queue", queue.name.value } });
    const auto patience = Platform::clientPatience(request);
    const auto answerBy = patience ? arrivedAt + *patience : TimePoint::max();
    const auto number = jobs_.submit(
        std::move(submission.spec), answerBy, [this, exchange, id, queueLabel, arrivedAt](const JobAnswer& answer) {
            const auto took = toMs(monotonicNow() - arrivedAt);
            const char* outcome = "in_doubt";
            HttpResponse response;
            switch (answer.kind) {
            case JobAnswer::Kind::Completed:
                outcome = "completed";
                response = Platform::jobEnded(true);
                break;
            case JobAnswer::Kind::Failed:
                outcome = "failed";
                response = Platform::jobEnded(false);
                break;
            case JobAnswer::Kind::Refused:
                outcome = "refused";
                response = Platform::jobRefused(answer.retryAfter);
                break;
            case JobAnswer::Kind::InDoubt:
                response = Platform::jobInDoubt();
                break;
            }
            context_.metrics.count("answers", queueLabel + ",outcome=\"" + outcome + "\"");
            context_.metrics.observeMs("answer_time", queueLabel, took);
            if (answer.kind != JobAnswer::Kind::Completed || context_.log.samples(id))
                context_.log.event("job.answered",
                    { { "id", id }, { "outcome", outcome }, { "ms", static_cast<std::int64_t>(took) } });
            exchange->respond(response);
        });
    exchange->onAbandoned([this, number, id, arrivedAt] {
        context_.metrics.count("abandoned");
        if (context_.log.samples(id))
            context_.log.event("job.abandoned",
                { { "id", id }, { "ms", static_cast<std::int64_t>(toMs(monotonicNow() - arrivedAt)) } });
        jobs_.cancel(number);
    });
}

} // namespace Balsammill
