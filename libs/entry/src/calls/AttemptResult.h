#pragma once

#include "balsammill/policy/RetryBudget.h"
#include "balsammill/policy/Scheduler.h"
#include "balsammill/rpc/UpstreamPool.h"

namespace Balsammill::Detail {

/// What the result of one exchange says about the health of the upstream.
TaskOutcome outcomeOf(const ExchangeResult&);

struct RetryQuestion {
    const UpstreamFailure& failure;
    TaskOutcome outcome;
    std::uint32_t attempts;
    /// True for idempotent calls that are not tasks of jobs.
    bool mayRunTwice;
    TimePoint deadline;
};

/// True if the task is to be tried elsewhere. Takes from the budget only for a task that may have run.
bool shouldRetry(const RetryQuestion&, RetryBudget&, TimePoint now);

} // namespace Balsammill::Detail
