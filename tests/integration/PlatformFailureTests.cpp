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

// Guards against serving that depends on the platform, and against a change that is called accepted without the table.
TEST_CASE("With the platform down calls and jobs go on and changes are refused [platform]")
{
    Deployment deployment({ .name = "platform-down" });
    auto& entry = deployment.entries()[0];
    REQUIRE(deployment.submitJob(entry, makeJob("before", 4)).ok);
    deployment.setPlatformFaults(R"({"outage":true})");
    const auto refused = deployment.operate(entry, "StopService", R"({"service":"banhay.Tanim"})", 3s);
    CHECK_FALSE(refused.ok);
    CHECK(refused.error.code == ErrorCode::Unavailable);
    for (auto& each : deployment.entries()) {
        CHECK(deployment.call(each, "banhay.Tanim/BulaklakCheck", R"({"requestId":"during"})").ok);
        const auto job = deployment.submitJob(each, makeJob("during-" + each.vm, 4));
        CHECK_MESSAGE(job.ok, job.error.message);
    }
    deployment.setPlatformFaults(R"({"outage":false})");
    CHECK(waitUntil(
        in(10s), [&] { return deployment.operate(entry, "StopService", R"({"service":"banhay.Tanim"})").ok; }));
    const auto stopped
        = deployment.call(deployment.entries().back(), "banhay.Tanim/BulaklakCheck", R"({"requestId":"stopped"})");
    CHECK_FALSE(stopped.ok);
    CHECK(stopped.error.verdict == Verdict::NotRun);
}

// Guards against a change that took effect in the table but is reported as refused, or applied twice.
TEST_CASE("A change whose write lost its answer is accepted once [platform]")
{
    Deployment deployment({ .name = "lost-answers" });
    auto& entry = deployment.entries()[0];
    const auto before = versionOf(deployment, entry);
    deployment.setPlatformFaults(R"({"lose_answers":1.0})");
    std::jthread healing([&] {
        std::this_thread::sleep_for(1s);
        deployment.setPlatformFaults(R"({"lose_answers":0.0})");
    });
    const auto outcome = deployment.operate(entry, "StopService", R"({"service":"banhay.Tanim"})", 10s);
    healing.join();
    CHECK(parseVersion(outcome) == before + 1);
    for (auto& each : deployment.entries())
        CHECK(waitUntil(in(10s), [&] { return versionOf(deployment, each) == before + 1; }));
}

// Guards against two operators who overwrite each other without noticing.
TEST_CASE("Of two operators with the same base version one wins and the other sees the newer version [platform]")
{
    Deployment deployment({ .name = "operator-race" });
    const auto base = versionOf(deployment, deployment.entries()[0]);
    std::vector<CallOutcome> outcomes(4);
    std::vector<std::jthread> operators;
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
        operators.emplace_back([&, i] {
            outcomes[i] = deployment.operate(deployment.entries()[i % deployment.entries().size()], "ApplyConfig",
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
    CHECK_MESSAGE(accepted == 1, accepted << " changes accepted, expected 1");
    for (auto& entry : deployment.entries())
        CHECK(versionOf(deployment, entry) == base + 1);
}

// Guards against new work on a VM that is about to go.
TEST_CASE("An upstream that is leaving or drained gets no new work after 3 s [platform]")
{
    Deployment deployment({ .name = "leaving", .domains = { "malaybalay" } });
    auto& entry = deployment.entries()[0];
    auto& leaving = deployment.upstreams()[0];
    auto& drained = deployment.upstreams()[1];
    deployment.publishUpstreams({ leaving.vm });
    std::this_thread::sleep_for(3s);
    const auto startsBefore = readStarts(leaving.port).size();
    for (int i = 0; i < 60; ++i)
        REQUIRE(
            deployment.call(deployment.entries()[static_cast<std::size_t>(i % 2)], "banhay.Tanim/BulaklakCheck", "{}")
                .ok);
    CHECK_MESSAGE(readStarts(leaving.port).size() == startsBefore,
        "starts before " << startsBefore << ", after " << readStarts(leaving.port).size());
    CHECK(readStarts(drained.port).size() >= 60);

    deployment.publishUpstreams();
    REQUIRE(deployment.operate(entry, "DrainVm", R"({"vm":")" + drained.vm + "\"}").ok);
    std::this_thread::sleep_for(3s);
    const auto drainedBefore = readStarts(drained.port).size();
    for (int i = 0; i < 60; ++i)
        REQUIRE(
            deployment.call(deployment.entries()[static_cast<std::size_t>(i % 2)], "banhay.Tanim/BulaklakCheck", "{}")
                .ok);
    CHECK_MESSAGE(readStarts(drained.port).size() == drainedBefore,
        "starts before " << drainedBefore << ", after " << readStarts(drained.port).size());
}
