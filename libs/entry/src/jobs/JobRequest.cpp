#include "JobRequest.h"

#include "balsammill/config/ActiveConfig.h"
#include "balsammill/jobs/HomePlacement.h"
#include "balsammill/rpc/VerdictMessage.h"
#include "balsammill/schema/Schema.h"

#include <algorithm>
#include <utility>

namespace Balsammill::Detail {

namespace {

constexpr std::size_t maxIdLength = 128;
constexpr std::size_t maxClientAccountLength = 128;
constexpr std::uint32_t defaultShards = 16;

RpcErrorDetails invalid(std::string field, std::string message)
{
    return { ErrorCode::InvalidArgument, std::move(message), Verdict::NotRun, std::move(field) };
}

template <typename Request> void identify(JobRequest& job, Request& request, const ActiveConfig& config)
{
    const auto& domains = config.content->failure_domains();
    if (request.job_id().empty() || request.job_id().size() > maxIdLength)
        throw RpcError(invalid(
            "job_id", "the id must have 1 to 128 characters, it has " + std::to_string(request.job_id().size())));
    if (request.team().size() > maxClientAccountLength)
        throw RpcError(invalid("team", "the team must have at most 128 characters"));
    if (request.team().empty())
        request.set_team("default");
    job.id = JobId { request.job_id() };
    job.clientAccount = ClientAccountName { request.team() };
    if (request.home_failure_domain().empty()) {
        std::vector<FailureDomain> names;
        for (const auto& domain : domains)
            names.emplace_back(domain);
        request.set_home_failure_domain(HomePlacement(std::move(names)).homeOf(job.id).value);
    }
    job.home = FailureDomain { request.home_failure_domain() };
    if (std::find(domains.begin(), domains.end(), job.home.value) == domains.end())
        throw RpcError(invalid("home_failure_domain", "no failure domain \"" + job.home.value + "\" is configured"));
    job.key = makeJobKey(job.clientAccount, job.home, job.id);
}

std::optional<RpcErrorDetails> checkShape(const balsammill::v1::SubmitRequest& request, std::uint32_t maxTasks)
{
    if (request.tasks_size() > 0 && request.tasks_json_size() > 0)
        return invalid("tasks_json", "only one of tasks and tasks_json may be used");
    const auto count = static_cast<std::uint32_t>(request.tasks_size() + request.tasks_json_size());
    if (count == 0)
        return invalid("tasks", "a job needs at least one task");
    if (count > maxTasks)
        return invalid("tasks",
            "a job may have at most " + std::to_string(maxTasks) + " tasks, this one has " + std::to_string(count));
    return std::nullopt;
}

bool isStopped(const ActiveConfig& config, const ServiceName& service)
{
    const auto& services = config.content->services();
    return std::any_of(services.begin(), services.end(),
        [&service](const auto& each) { return each.name() == service.value && each.stopped(); });
}

// Prefixes the field path of a schema violation with the task's position in the list.
RpcErrorDetails withTaskPath(RpcErrorDetails error, const char* list, int index)
{
    const auto path = std::string(list) + "[" + std::to_string(index) + "]";
    error.field = error.field.empty() ? path : path + "." + error.field;
    error.verdict = Verdict::NotRun;
    return error;
}

std::optional<RpcErrorDetails> convertTasks(
    balsammill::v1::SubmitRequest& request, const MethodInfo& method, const Schema& schema)
{
    const bool json = request.tasks_json_size() > 0;
    const int count = json ? request.tasks_json_size() : request.tasks_size();
    for (int index = 0; index < count; ++index) {
        try {
            if (json)
                request.add_tasks(schema.requestFromJson(method, request.tasks_json(index)));
            else
                schema.checkRequest(method, request.tasks(index));
        } catch (const RpcError& error) {
            return withTaskPath(error.details(), json ? "tasks_json" : "tasks", index);
        }
    }
    return std::nullopt;
}

} // namespace

std::uint32_t shardsOf(const ActiveConfig& config)
{
    const auto shards = config.content->shards_per_domain();
    return shards != 0 ? shards : defaultShards;
}

JobRequest identifyJob(balsammill::internal::JobSubmit call, const ActiveConfig& config)
{
    JobRequest job;
    job.call = std::move(call);
    if (job.call.has_submit())
        identify(job, *job.call.mutable_submit(), config);
    else if (job.call.has_get())
        identify(job, *job.call.mutable_get(), config);
    else if (job.call.has_cancel())
        identify(job, *job.call.mutable_cancel(), config);
    else
        throw RpcError(invalid("request", "the message names neither a submission, a query nor a cancellation"));
    return job;
}

PreparedSubmission prepareSubmission(
    const balsammill::v1::SubmitRequest& request, const ActiveConfig& config, std::uint32_t maxTasksPerJob)
{
    auto content = std::make_shared<balsammill::v1::SubmitRequest>(request);
    const auto configuredMax = config.content->limits().max_tasks_per_job();
    auto refusal = checkShape(request, configuredMax != 0 ? configuredMax : maxTasksPerJob);
    const auto* method = config.schema ? config.schema->findMethod(request.method()) : nullptr;
    if (!refusal && !method)
        refusal = invalid("method", "no method \"" + request.method() + "\" is configured");
    if (!refusal && isStopped(config, method->service))
        refusal = RpcErrorDetails { ErrorCode::Unavailable, "service " + method->service.value + " is stopped",
            Verdict::NotRun };
    if (!refusal)
        refusal = convertTasks(*content, *method, *config.schema);
    return { std::move(content), std::move(refusal) };
}

balsammill::internal::RpcFailure toFailure(const RpcErrorDetails& error)
{
    balsammill::internal::RpcFailure failure;
    failure.set_code(std::string(nameOf(error.code)));
    failure.set_message(error.message);
    auto& detail = *failure.mutable_detail();
    detail.set_verdict(toProto(error.verdict));
    detail.set_field(error.field);
    const auto retryAfter = std::chrono::duration_cast<std::chrono::milliseconds>(error.retryAfter);
    detail.set_retry_after_ms(static_cast<std::uint32_t>(retryAfter.count()));
    return failure;
}

RpcErrorDetails fromFailure(const balsammill::internal::RpcFailure& failure)
{
    return { .code = parseErrorCode(failure.code()).value_or(ErrorCode::Internal),
        .message = failure.message(),
        .verdict = fromProto(failure.detail().verdict()),
        .field = failure.detail().field(),
        .retryAfter = std::chrono::milliseconds(failure.detail().retry_after_ms()) };
}

} // namespace Balsammill::Detail
