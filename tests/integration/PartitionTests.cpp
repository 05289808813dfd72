#include "support/Deployment.h"

#include <doctest/doctest.h>

using namespace IntegrationTest;
using namespace std::chrono_literals;
using Balsammill::ErrorCode;
using Balsammill::Verdict;

// Guards against a network partition between failure domains that stops calls and jobs inside a domain, and against
// wrong verdicts of jobs whose home is on the other side.
TEST_CASE("Two partitioned failure domains serve their own calls and jobs [partitions]")
{
    Deployment deployment({ .name = "partition", .entriesPerDomain = 2, .proxies = true });
    auto& left = deployment.entry("malaybalay-e1");
    auto& right = deployment.entry("valencia-e1");
    REQUIRE(deployment.submitJob(left, makeJob("warm-left", 3, "malaybalay")).ok);
    REQUIRE(deployment.submitJob(right, makeJob("warm-right", 3, "valencia")).ok);
    deployment.setDomainsCut("malaybalay", "valencia", true);
    for (auto* entry : { &left, &right }) {
        CHECK(deployment.call(*entry, "banhay.Tanim/BulaklakCheck", R"({"requestId":"cut"})").ok);
        const auto ownJob = deployment.submitJob(*entry, makeJob("own-" + entry->vm, 6, entry->domain));
        CHECK_MESSAGE(ownJob.ok, ownJob.error.message);
    }
    CHECK(waitUntil(in(20s), [&] {
        const auto remoteJob = deployment.submitJob(left, makeJob("away", 2, "valencia"), 5s);
        return !remoteJob.ok && remoteJob.error.code == ErrorCode::Unavailable
            && remoteJob.error.verdict == Verdict::MayHaveRun;
    }));
    deployment.setDomainsCut("malaybalay", "valencia", false);
    CHECK(waitUntil(in(20s), [&] { return deployment.submitJob(left, makeJob("away", 2, "valencia")).ok; }));
    CHECK(deployment.repeatedStarts() == "");
}

// Guards against a failure domain that stops serving, or starts tasks twice, when it cannot reach the platform.
TEST_CASE("A failure domain that cannot reach the platform continues to serve [partitions]")
{
    Deployment deployment({ .name = "platform-cut", .entriesPerDomain = 2, .proxies = true });
    deployment.setRoute("platform-malaybalay", R"({"cut":true})");
    auto& entry = deployment.entry("malaybalay-e2");
    for (int i = 0; i < 5; ++i) {
        CHECK(deployment.call(entry, "banhay.Tanim/TalaLog", R"({"requestId":"t"})").ok);
        const auto job = deployment.submitJob(entry, makeJob("isolated-" + std::to_string(i), 5, "malaybalay"));
        CHECK_MESSAGE(job.ok, job.error.message);
    }
    // A configuration change made in the other failure domain still arrives, because entries push it to each other.
    REQUIRE(deployment.callOperator(deployment.entry("valencia-e1"), "DrainVm", R"({"vm":"valencia-u1"})").ok);
    CHECK(waitUntil(in(10s), [&] {
        return deployment.state(entry).config_version()
            == deployment.state(deployment.entry("valencia-e1")).config_version();
    }));
    deployment.setRoute("platform-malaybalay", R"({"cut":false})");
    CHECK(deployment.repeatedStarts() == "");
}

// Guards against a second start under one-way message loss: one entry still receives the messages of the other, so the
// two disagree on which of them is alive.
TEST_CASE("One-way message loss between two entries of a failure domain starts no task twice [partitions]")
{
    Deployment deployment(
        { .name = "one-way", .domains = { "malaybalay" }, .entriesPerDomain = 3, .runMs = 50, .proxies = true });
    deployment.setRoute("malaybalay-e1-to-malaybalay-e2", R"({"drop_to_target":true})");
    for (int round = 0; round < 6; ++round) {
        std::vector<std::thread> callers;
        for (auto& entry : deployment.entries())
            callers.emplace_back([&, round] {
                deployment.submitJob(entry, makeJob("lossy-" + std::to_string(round), 8, "malaybalay"), 8s);
            });
        for (auto& caller : callers)
            caller.join();
    }
    deployment.setRoute("malaybalay-e1-to-malaybalay-e2", R"({"drop_to_target":false})");
    CHECK(waitUntil(
        in(20s), [&] { return deployment.submitJob(deployment.entries()[0], makeJob("healed", 4, "malaybalay")).ok; }));
    CHECK(deployment.repeatedStarts() == "");
}
