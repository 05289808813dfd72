#include "AttemptResult.h"

namespace Balsammill::Detail {

namespace {

// Enough attempts to reach a healthy upstream while a group of failing upstreams has not been ejected yet.
constexpr std::uint32_t maxAttempts = 6;

TaskOutcome outcomeOfAnswer(const RpcErrorDetails& error)
{
    switch (error.code) {
    case ErrorCode::ResourceExhausted:
        return error.verdict == Verdict::NotRun ? TaskOutcome::RefusedFull : TaskOutcome::ApplicationError;
    case ErrorCode::Unknown:
    case ErrorCode::Internal:
    case ErrorCode::Unavailable:
    case ErrorCode::DataLoss:
        return TaskOutcome::UpstreamError;
    case ErrorCode::DeadlineExceeded:
        return TaskOutcome::TimedOut;
    default:
        return TaskOutcome::ApplicationError;
    }
}

} // namespace

TaskOutcome outcomeOf(const ExchangeResult& result)
{
    const auto* failure = std::get_if<UpstreamFailure>(&result);
    if (!failure)
        return TaskOutcome::Succeeded;
    if (failure->answered)
        return outcomeOfAnswer(failure->error);
    switch (failure->error.code) {
    case ErrorCode::DeadlineExceeded:
        return TaskOutcome::TimedOut;
    case ErrorCode::ResourceExhausted:
        // The connection limit of the local pool was reached; the upstream was not contacted.
        return TaskOutcome::RefusedFull;
    default:
        return TaskOutcome::ConnectionFailed;
    }
}

bool shouldRetry(const RetryContext& context, RetryBudget& budget, TimePoint now)
{
    if (context.attempts >= maxAttempts || now >= context.deadline)
        return false;
    const bool upstreamFailed = context.outcome == TaskOutcome::UpstreamError
        || context.outcome == TaskOutcome::ConnectionFailed || context.outcome == TaskOutcome::RefusedFull;
    if (context.failure.error.verdict == Verdict::NotRun)
        return upstreamFailed || context.outcome == TaskOutcome::TimedOut;
    return upstreamFailed && context.mayRunTwice && budget.tryAcquireRetry(now);
}

} // namespace Balsammill::Detail
