#include "support/Deployment.h"
#include "support/JobAnswers.h"

#include <doctest/doctest.h>

#include <csignal>
#include <thread>

using namespace IntegrationTest;
using namespace std::chrono_literals;

// Guards against a graceful stop (SIGTERM) that aborts requests in flight or loses the job records of its shards.
TEST_CASE("A gracefully stopped entry finishes its requests and hands over its shards [failures]")
{
    Deployment deployment({ .name = "graceful", .domains = { "malaybalay" }, .entriesPerDomain = 3, .runMs = 300 });
    auto& stopped = deployment.entries()[0];
    const auto job = makeJob("in-flight", 30, "malaybalay");
    CallOutcome jobOutcome;
    std::vector<CallOutcome> callOutcomes(8);
    std::vector<std::jthread> callers;
    callers.emplace_back([&] { jobOutcome = deployment.submitJob(stopped, job); });
    for (auto& outcome : callOutcomes)
        callers.emplace_back(
            [&] { outcome = deployment.call(stopped, "banhay.Tanim/ParesAssign", R"({"requestId":"p"})"); });
    REQUIRE(waitUntil(in(10s), [&] { return deployment.startCounts().size() > 8; }));
    stopped.process->signal(SIGTERM);
    const auto status = stopped.process->waitForExit(in(30s));
    for (auto& caller : callers)
        caller.join();
    REQUIRE(status.has_value());
    CHECK_MESSAGE(*status == 0, stopped.process->logTail());
    for (const auto& outcome : callOutcomes)
        CHECK_MESSAGE(outcome.ok, outcome.error.message);
    CHECK_MESSAGE(
        parseResult(jobOutcome).state() == balsammill::v1::JOB_STATE_COMPLETE, parseResult(jobOutcome).error_message());
    const auto again = parseResult(submitUntilAnswered(deployment, deployment.entries()[1], job));
    CHECK(again.state() == balsammill::v1::JOB_STATE_COMPLETE);
    CHECK(deployment.repeatedStarts() == "");
}
