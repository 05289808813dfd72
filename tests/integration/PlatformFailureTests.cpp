#include "support/Deployment.h"

#include <doctest/doctest.h>

#include <google/protobuf/util/json_util.h>

using namespace IntegrationTest;
using namespace std::chrono_literals;
using Balsammill::ErrorCode;
using Balsammill::Verdict;

namespace {

std::uint64_t versionOf(const Deployment& deployment, const Entry& entry)
{
    return deployment.state(entry).config_version();
}

std::uint64_t parseVersion(const CallOutcome& outcome)
{
    balsammill::v1::ApplyConfigResponse response;
    REQUIRE_MESSAGE(outcome.ok, outcome.error.message);
    REQUIRE(google::protobuf::util::JsonStringToMessage(outcome.answer, &response).ok());
    return response.version();
}

} // namespace

// Guards against calls and jobs that fail while the platform is down, and against a configuration change that is
// acknowledged although it could not be written to the configuration table.
TEST_CASE("While the platform is down, calls and jobs are served and configuration changes refused [platform]")
{
    Deployment deployment({ .name = "platform-down" });
    auto& entry = deployment.entries()[0];
    REQUIRE(deployment.submitJob(entry, makeJob("before", 4)).ok);
    deployment.setPlatformFaults(R"({"outage":true})");
    const auto refused = deployment.callOperator(entry, "StopService", R"({"service":"banhay.Tanim"})", 3s);
    CHECK_FALSE(refused.ok);
    CHECK(refused.error.code == ErrorCode::Unavailable);
    for (auto& each : deployment.entries()) {
        CHECK(deployment.call(each, "banhay.Tanim/BulaklakCheck", R"({"requestId":"during"})").ok);
        const auto job = deployment.submitJob(each, makeJob("during-" + each.vm, 4));
        CHECK_MESSAGE(job.ok, job.error.message);
    }
    deployment.setPlatformFaults(R"({"outage":false})");
    CHECK(waitUntil(
        in(10s), [&] { return deployment.callOperator(entry, "StopService", R"({"service":"banhay.Tanim"})").ok; }));
    const auto stopped
        = deployment.call(deployment.entries().back(), "banhay.Tanim/BulaklakCheck", R"({"requestId":"stopped"})");
    CHECK_FALSE(stopped.ok);
    CHECK(stopped.error.verdict == Verdict::NotRun);
}

// Guards against a configuration change that is reported as refused, or applied twice, when the write took effect but
// its answer was lost.
TEST_CASE("A configuration change is accepted once when the answer to its write is lost [platform]")
{
    Deployment deployment({ .name = "lost-answers" });
    auto& entry = deployment.entries()[0];
    const auto before = versionOf(deployment, entry);
    deployment.setPlatformFaults(R"({"lose_answers":1.0})");
    std::jthread healing([&] {
        std::this_thread::sleep_for(1s);
        deployment.setPlatformFaults(R"({"lose_answers":0.0})");
    });
    const auto outcome = deployment.callOperator(entry, "StopService", R"({"service":"banhay.Tanim"})", 10s);
    healing.join();
    CHECK(parseVersion(outcome) == before + 1);
    for (auto& each : deployment.entries())
        CHECK(waitUntil(in(10s), [&] { return versionOf(deployment, each) == before + 1; }));
}

// Guards against lost updates: concurrent changes on the same base version must not silently overwrite each other.
TEST_CASE(
    "Of concurrent changes on one base version one is accepted and the others report the newer version [platform]")
{
    Deployment deployment({ .name = "operator-race" });
    const auto base = versionOf(deployment, deployment.entries()[0]);
    std::vector<CallOutcome> outcomes(4);
    std::vector<std::jthread> operators;
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
        operators.emplace_back([&, i] {
            outcomes[i] = deployment.callOperator(deployment.entries()[i % deployment.entries().size()], "ApplyConfig",
                deployment.exampleConfig(base, "race-" + std::to_string(i)));
        });
    }
    for (auto& each : operators)
        each.join();
    int accepted = 0;
    for (const auto& outcome : outcomes) {
        if (outcome.ok) {
            ++accepted;
        } else {
            CHECK(outcome.error.code == ErrorCode::Aborted);
            CHECK(outcome.error.message.find(std::to_string(base + 1)) != std::string::npos);
        }
    }
    CHECK_MESSAGE(accepted == 1, accepted << " configuration changes accepted, expected 1");
    for (auto& entry : deployment.entries())
        CHECK(versionOf(deployment, entry) == base + 1);
}

// Guards against new tasks on a VM that the platform is about to remove or an operator has drained.
TEST_CASE("An upstream that is leaving or drained gets no new tasks after 3 s [platform]")
{
    Deployment deployment({ .name = "leaving", .domains = { "malaybalay" } });
    auto& entry = deployment.entries()[0];
    auto& leaving = deployment.upstreams()[0];
    auto& drained = deployment.upstreams()[1];
    deployment.registerUpstreams({ leaving.vm });
    std::this_thread::sleep_for(3s);
    const auto startsBefore = readStarts(leaving.port).size();
    for (int i = 0; i < 60; ++i)
        REQUIRE(
            deployment.call(deployment.entries()[static_cast<std::size_t>(i % 2)], "banhay.Tanim/BulaklakCheck", "{}")
                .ok);
    CHECK_MESSAGE(readStarts(leaving.port).size() == startsBefore,
        "starts before " << startsBefore << ", after " << readStarts(leaving.port).size());
    CHECK(readStarts(drained.port).size() >= 60);

    deployment.registerUpstreams();
    REQUIRE(deployment.callOperator(entry, "DrainVm", R"({"vm":")" + drained.vm + "\"}").ok);
    std::this_thread::sleep_for(3s);
    const auto drainedBefore = readStarts(drained.port).size();
    for (int i = 0; i < 60; ++i)
        REQUIRE(
            deployment.call(deployment.entries()[static_cast<std::size_t>(i % 2)], "banhay.Tanim/BulaklakCheck", "{}")
                .ok);
    CHECK_MESSAGE(readStarts(drained.port).size() == drainedBefore,
        "starts before " << drainedBefore << ", after " << readStarts(drained.port).size());
}
