#pragma once

#include "Deployment.h"

namespace IntegrationTest {

/// Decodes the answer to a job; fails the test if the call did not succeed.
balsammill::v1::JobResult parseResult(const CallOutcome&);

/// Submits until the answer is final, as callers do that believe their job lost.
CallOutcome submitUntilAnswered(const Deployment&, const Entry&, const balsammill::v1::SubmitRequest&);

} // namespace IntegrationTest
