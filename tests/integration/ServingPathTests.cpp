#include "support/Deployment.h"

#include <doctest/doctest.h>

using namespace IntegrationTest;
using Balsammill::ErrorCode;
using Balsammill::Verdict;

// Guards against a break between the stages of a request: HTTP, schema check, queue, upstream, and the answer to the
// caller.
TEST_CASE("A call and a job are answered by every entry [serving]")
{
    Deployment deployment({ .name = "serving" });
    for (auto& entry : deployment.entries()) {
        const auto outcome = deployment.call(
            entry, "banhay.Tanim/BulaklakCheck", R"({"requestId":"r-)" + entry.vm + R"(","vineId":"v1"})");
        REQUIRE_MESSAGE(outcome.ok, outcome.error.message);
        CHECK(outcome.answer.find("r-" + entry.vm) != std::string::npos);

        const auto job = deployment.submitJob(entry, makeJob("job-" + entry.vm, 20));
        REQUIRE_MESSAGE(job.ok, job.error.message);
        balsammill::v1::JobResult result;
        REQUIRE(result.ParseFromString(job.answer));
        CHECK_MESSAGE(result.state() == balsammill::v1::JOB_STATE_COMPLETE, result.error_message());
        REQUIRE(result.answers_json_size() == 20);
        for (int i = 0; i < 20; ++i)
            CHECK(result.answers_json(i).find("job-" + entry.vm + "-" + std::to_string(i) + "\"") != std::string::npos);
    }
    CHECK(deployment.repeatedStarts() == "");
}

// Guards against refusals that carry a wrong verdict or do not name the invalid field.
TEST_CASE("The refusal of a request that violates the schema names the invalid field [serving]")
{
    Deployment deployment({ .name = "refusals", .domains = { "malaybalay" }, .entriesPerDomain = 1 });
    auto& entry = deployment.entries().front();
    const auto wrongType = deployment.call(entry, "banhay.Tanim/ParesAssign", R"({"row":"not a number"})");
    CHECK_FALSE(wrongType.ok);
    CHECK(wrongType.error.code == ErrorCode::InvalidArgument);
    CHECK(wrongType.error.verdict == Verdict::NotRun);
    CHECK(wrongType.error.field == "row");

    const auto unknown = deployment.call(entry, "banhay.Tanim/Nothing", "{}");
    CHECK(unknown.error.code == ErrorCode::Unimplemented);
    CHECK(unknown.error.verdict == Verdict::NotRun);

    const auto noToken = httpRequest(
        "POST", entry.operatorPort.number(), "/balsammill.v1.Operator/StopService", R"({"service":"banhay.Tanim"})");
    CHECK(noToken.status == 401);
    CHECK(noToken.verdict == "not-run");
    const auto after = deployment.call(entry, "banhay.Tanim/BulaklakCheck", R"({"requestId":"after"})");
    CHECK_MESSAGE(after.ok, after.error.message);
    CHECK(deployment.startCounts().size() == 1);
}

// Guards against a resubmission that starts tasks again, and against two different jobs accepted under one id.
TEST_CASE("A resubmitted job is answered from its record and starts no task again [jobs]")
{
    Deployment deployment({ .name = "resubmission", .runMs = 50 });
    auto& entries = deployment.entries();
    const auto job = makeJob("resubmitted", 12);
    std::vector<std::thread> submitters;
    std::vector<CallOutcome> outcomes(entries.size() * 2);
    for (std::size_t i = 0; i < outcomes.size(); ++i)
        submitters.emplace_back([&, i] { outcomes[i] = deployment.submitJob(entries[i % entries.size()], job); });
    for (auto& submitter : submitters)
        submitter.join();
    outcomes.push_back(deployment.submitJob(entries.back(), job));
    for (const auto& outcome : outcomes) {
        REQUIRE_MESSAGE(outcome.ok, outcome.error.message);
        CHECK(outcome.answer == outcomes.front().answer);
    }
    const auto counts = deployment.startCounts();
    CHECK(counts.size() == 12);
    CHECK(deployment.repeatedStarts() == "");

    const auto other = deployment.submitJob(entries.front(), makeJob("resubmitted", 3));
    CHECK_FALSE(other.ok);
    CHECK(other.error.code == ErrorCode::AlreadyExists);
    CHECK(other.error.verdict == Verdict::NotRun);
    CHECK(deployment.startCounts().size() == 12);
}
