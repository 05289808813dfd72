#pragma once

#include "Deployment.h"

namespace IntegrationTest {

/// Decodes the answer to a job; fails the test if the call did not succeed.
balsammill::v1::JobResult parseResult(const CallOutcome&);

/// Resubmits the job until a submission is answered without an error, for up to 30 s, as a caller does that got no
/// answer. Returns the last outcome.
CallOutcome submitUntilAnswered(const Deployment&, const Entry&, const balsammill::v1::SubmitRequest&);

} // namespace IntegrationTest
