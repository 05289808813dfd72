#include "support/JobAnswers.h"

#include <doctest/doctest.h>

namespace IntegrationTest {

using namespace std::chrono_literals;

balsammill::v1::JobResult parseResult(const CallOutcome& outcome)
{
    balsammill::v1::JobResult result;
    REQUIRE_MESSAGE(outcome.ok, outcome.error.message);
    REQUIRE(result.ParseFromString(outcome.answer));
    return result;
}

CallOutcome submitUntilAnswered(
    const Deployment& deployment, const Entry& entry, const balsammill::v1::SubmitRequest& job)
{
    CallOutcome outcome;
    waitUntil(in(30s), [&] {
        outcome = deployment.submitJob(entry, job);
        return outcome.ok;
    });
    return outcome;
}

} // namespace IntegrationTest
