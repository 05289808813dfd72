#pragma once

#include "balsammill/policy/RetryBudget.h"
#include "balsammill/policy/Scheduler.h"
#include "balsammill/rpc/UpstreamPool.h"

namespace Balsammill::Detail {

/// Classifies the result of one exchange for the health tracking of the upstream.
TaskOutcome outcomeOf(const ExchangeResult&);

struct RetryContext {
    const UpstreamFailure& failure;
    TaskOutcome outcome;
    std::uint32_t attempts;
    /// True for idempotent calls that are not tasks of jobs.
    bool mayRunTwice;
    TimePoint deadline;
};

/// Returns true if the task should be retried. Consumes retry budget only if the task may have run.
bool shouldRetry(const RetryContext&, RetryBudget&, TimePoint now);

} // namespace Balsammill::Detail
