#include "AttemptResult.h"

namespace Balsammill::Detail {

namespace {

// Enough to leave a group of upstreams that fail together before they are ejected.
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
        // The pool's own limit of connections.
        return TaskOutcome::RefusedFull;
    default:
        return TaskOutcome::ConnectionFailed;
    }
}

bool shouldRetry(const RetryQuestion& question, RetryBudget& budget, TimePoint now)
{
    if (question.attempts >= maxAttempts || now >= question.deadline)
        return false;
    const bool upstreamFailed = question.outcome == TaskOutcome::UpstreamError
        || question.outcome == TaskOutcome::ConnectionFailed || question.outcome == TaskOutcome::RefusedFull;
    if (question.failure.error.verdict == Verdict::NotRun)
        return upstreamFailed || question.outcome == TaskOutcome::TimedOut;
    return upstreamFailed && question.mayRunTwice && budget.takeRetry(now);
}

} // namespace Balsammill::Detail
