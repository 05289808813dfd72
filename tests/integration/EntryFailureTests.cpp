#include "support/Deployment.h"
#include "support/JobAnswers.h"

#include <doctest/doctest.h>

#include <csignal>

using namespace IntegrationTest;
using namespace std::chrono_literals;
using Balsammill::Verdict;

namespace {

/// Finds the entry of the failure domain that is primary of a shard with job records; null if there is none.
Entry* findPrimary(Deployment& deployment, const std::string& domain)
{
    for (auto& entry : deployment.entries()) {
        if (entry.domain != domain)
            continue;
        const auto state = deployment.state(entry);
        for (const auto& shard : state.shards()) {
            if (shard.role() == "primary" && shard.records() > 0)
                return &entry;
        }
    }
    return nullptr;
}

} // namespace

// Guards against a second start of a task, and against a partial answer, when the entry that runs the job is killed.
TEST_CASE("A job whose primary is killed ends as failed or complete and starts no task twice [failures]")
{
    Deployment deployment({ .name = "kill-primary",
        .domains = { "malaybalay" },
        .entriesPerDomain = 3,
        .runMs = 200,
        .entryFlags = { "--job-orphan-timeout-ms", "3000" } });
    const auto job = makeJob("killed", 60, "malaybalay");
    CallOutcome first;
    std::jthread submitter([&] { first = deployment.submitJob(deployment.entries()[0], job); });
    REQUIRE_MESSAGE(waitUntil(in(10s), [&] { return !deployment.startCounts().empty(); }), first.error.message);
    auto* primary = findPrimary(deployment, "malaybalay");
    REQUIRE(primary != nullptr);
    primary->process->kill();
    submitter.join();

    for (auto& entry : deployment.entries()) {
        if (&entry == primary)
            continue;
        const auto result = parseResult(submitUntilAnswered(deployment, entry, job));
        if (result.state() == balsammill::v1::JOB_STATE_COMPLETE) {
            CHECK(result.answers_json_size() == 60);
        } else {
            CHECK(result.state() == balsammill::v1::JOB_STATE_FAILED);
            CHECK(result.verdict() == balsammill::v1::VERDICT_MAY_HAVE_RUN);
            CHECK(result.answers_json_size() == 0);
        }
    }
    CHECK(deployment.repeatedStarts() == "");
    const auto later = parseResult(submitUntilAnswered(deployment,
        *(primary == &deployment.entries()[1] ? &deployment.entries()[2] : &deployment.entries()[1]),
        makeJob("after-kill", 10, "malaybalay")));
    CHECK(later.state() == balsammill::v1::JOB_STATE_COMPLETE);
}

// Guards against a stale primary: it is paused, another entry replaces it, and after it resumes it starts tasks of jobs
// that now belong to its successor.
TEST_CASE("A primary that was paused until it was replaced starts no task twice [failures]")
{
    Deployment deployment({ .name = "pause-primary",
        .domains = { "malaybalay" },
        .entriesPerDomain = 3,
        .runMs = 100,
        .entryFlags = { "--job-orphan-timeout-ms", "20000" } });
    const auto job = makeJob("paused", 80, "malaybalay");
    CallOutcome first;
    std::jthread submitter([&] { first = deployment.submitJob(deployment.entries()[0], job, 60s); });
    REQUIRE_MESSAGE(waitUntil(in(10s), [&] { return !deployment.startCounts().empty(); }), first.error.message);
    auto* primary = findPrimary(deployment, "malaybalay");
    REQUIRE(primary != nullptr);
    auto& other = *(primary == &deployment.entries()[1] ? &deployment.entries()[2] : &deployment.entries()[1]);
    primary->process->signal(SIGSTOP);
    balsammill::v1::JobResult whilePaused;
    const bool replaced = waitUntil(in(20s), [&] {
        whilePaused = parseResult(submitUntilAnswered(deployment, other, makeJob("while-paused", 5, "malaybalay")));
        return whilePaused.state() == balsammill::v1::JOB_STATE_COMPLETE;
    });
    CHECK_MESSAGE(replaced, whilePaused.error_message());
    primary->process->signal(SIGCONT);
    const auto result = parseResult(submitUntilAnswered(deployment, other, job));
    submitter.join();
    if (result.state() == balsammill::v1::JOB_STATE_COMPLETE)
        CHECK(result.answers_json_size() == 80);
    else
        CHECK(result.verdict() == balsammill::v1::VERDICT_MAY_HAVE_RUN);
    CHECK(deployment.repeatedStarts() == "");
}

// Guards against calls lost in a rolling restart, in which the process of each VM is stopped gracefully and replaced by
// a new one.
TEST_CASE("A rolling restart of all entries under load loses no call and starts no task twice [failures]")
{
    Deployment deployment({ .name = "rolling", .domains = { "malaybalay" }, .entriesPerDomain = 3, .runMs = 30 });
    std::atomic<bool> stop { false };
    std::atomic<int> answered { 0 };
    std::atomic<int> lost { 0 };
    std::string firstLoss;
    std::atomic<int> targetEntry { 1 };
    std::vector<std::jthread> callers;
    for (int c = 0; c < 4; ++c) {
        callers.emplace_back([&, c] {
            for (int i = 0; !stop.load(); ++i) {
                // Like a load balancer, sends no calls to the entry that is being restarted.
                const auto& entry = deployment.entries()[static_cast<std::size_t>(targetEntry.load())];
                const auto id = "roll-" + std::to_string(c) + "-" + std::to_string(i);
                const auto outcome = deployment.call(entry, "banhay.Tanim/TalaLog", R"({"requestId":")" + id + "\"}");
                if (outcome.ok)
                    ++answered;
                else if (outcome.error.verdict != Verdict::NotRun && ++lost == 1)
                    firstLoss = entry.vm + ": " + outcome.error.message;
            }
        });
    }
    for (std::size_t i = 0; i < deployment.entries().size(); ++i) {
        auto& entry = deployment.entries()[i];
        targetEntry = static_cast<int>((i + 1) % deployment.entries().size());
        entry.process->signal(SIGTERM);
        const auto status = entry.process->waitForExit(in(30s));
        REQUIRE(status.has_value());
        CHECK_MESSAGE(*status == 0, entry.process->logTail());
        deployment.startEntry(entry);
        REQUIRE(deployment.waitUntilReady(entry));
    }
    stop = true;
    for (auto& caller : callers)
        caller.join();
    CHECK(answered.load() > 0);
    CHECK_MESSAGE(lost.load() == 0,
        lost.load() << " calls lost, expected 0; " << answered.load() << " answered; first loss: " << firstLoss);
    CHECK(deployment.repeatedStarts() == "");
}

// Guards against a wrong not-run verdict, as seen in fault runs: the job had started through another entry, and its
// resubmission reached an entry that had just started and had no configuration yet.
TEST_CASE("An entry that cannot reach a job's home never answers not-run for the job [failures]")
{
    Deployment deployment({ .name = "refused-job", .domains = { "malaybalay" }, .entriesPerDomain = 2 });
    const auto job = makeJob("known-elsewhere", 4, "malaybalay");
    REQUIRE(deployment.submitJob(deployment.entries()[1], job).ok);
    auto& entry = deployment.entries()[0];
    entry.process->kill();
    deployment.setPlatformFaults(R"({"outage":true})");
    deployment.entries()[1].process->signal(SIGSTOP);
    deployment.startEntry(entry);
    const auto refused = deployment.submitJob(entry, job);
    deployment.entries()[1].process->signal(SIGCONT);
    CHECK_FALSE(refused.ok);
    CHECK_MESSAGE(refused.error.verdict == Verdict::MayHaveRun, refused.error.message);
    const auto call = deployment.call(entry, "banhay.Tanim/TalaLog", R"({"requestId":"c"})");
    CHECK((call.ok || call.error.verdict == Verdict::NotRun));
}
