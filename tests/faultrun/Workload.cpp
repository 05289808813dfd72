#include "Workload.h"

#include <Poco/JSON/Parser.h>
#include <Poco/Timestamp.h>

namespace FaultRun {

using namespace IntegrationTest;
using namespace std::chrono_literals;

namespace {

constexpr int maxAttempts = 4;
constexpr Balsammill::Duration attemptTimeout = 8s;

std::string requestIdOf(const std::string& json)
{
    try {
        return Poco::JSON::Parser().parse(json).extract<Poco::JSON::Object::Ptr>()->optValue<std::string>(
            "requestId", "");
    } catch (const Poco::Exception&) {
        return {};
    }
}

int uniform(std::mt19937_64& random, int from, int to) { return std::uniform_int_distribution<int>(from, to)(random); }

} // namespace

std::int64_t wallClockUs() { return Poco::Timestamp().epochMicroseconds(); }

Workload::Workload(WorkloadOptions options, Deployment& deployment, Records& records)
    : options_(options)
    , deployment_(deployment)
    , records_(records)
{
}

Workload::~Workload() { stop(); }

void Workload::start()
{
    for (int i = 0; i < options_.callers; ++i)
        threads_.emplace_back([this, i] { runCaller(i); });
}

void Workload::stop()
{
    stop_ = true;
    for (auto& thread : threads_)
        thread.join();
    threads_.clear();
}

const Entry& Workload::pickEntry(std::mt19937_64& random)
{
    auto& entries = deployment_.entries();
    return entries[static_cast<std::size_t>(uniform(random, 0, static_cast<int>(entries.size()) - 1))];
}

void Workload::runCaller(int index)
{
    std::mt19937_64 random(options_.seed * 1000 + static_cast<std::uint64_t>(index));
    for (int n = 0; !stop_.load(); ++n) {
        const auto id = "s" + std::to_string(options_.seed) + "c" + std::to_string(index) + "n" + std::to_string(n);
        if (uniform(random, 0, 2) == 0)
            submitJob(random, "job-" + id);
        else
            makeCall(random, "call-" + id);
    }
}

void Workload::makeCall(std::mt19937_64& random, const std::string& id)
{
    CallAttempt attempt { .id = id, .idempotent = uniform(random, 0, 1) == 0, .error = {} };
    attempt.beginUs = wallClockUs();
    const auto* method = attempt.idempotent ? "banhay.Tanim/BulaklakCheck" : "banhay.Tanim/TalaLog";
    const auto outcome = deployment_.call(pickEntry(random), method, R"({"requestId":")" + id + "\"}", 4s, id);
    attempt.endUs = wallClockUs();
    attempt.ok = outcome.ok;
    attempt.mismatched = outcome.ok && requestIdOf(outcome.answer) != id;
    attempt.verdict = outcome.ok ? Verdict::Ran : outcome.error.verdict;
    attempt.error = outcome.error.message;
    std::lock_guard lock(records_.mutex);
    records_.calls.push_back(attempt);
}

JobAttempt Workload::attemptJob(std::mt19937_64& random, const std::string& id, int tasks, const std::string& home)
{
    JobAttempt attempt { .jobId = id, .tasks = tasks, .error = {} };
    attempt.beginUs = wallClockUs();
    const auto outcome = deployment_.submitJob(pickEntry(random), makeJob(id, tasks, home), attemptTimeout);
    attempt.endUs = wallClockUs();
    balsammill::v1::JobResult result;
    if (outcome.ok && result.ParseFromString(outcome.answer)) {
        attempt.complete = result.state() == balsammill::v1::JOB_STATE_COMPLETE;
        attempt.answers = result.answers_json_size();
        for (int i = 0; i < result.answers_json_size(); ++i)
            attempt.mismatched += requestIdOf(result.answers_json(i)) != id + "-" + std::to_string(i) ? 1 : 0;
        attempt.verdict = attempt.complete                        ? Verdict::Ran
            : result.verdict() == balsammill::v1::VERDICT_NOT_RUN ? Verdict::NotRun
                                                                  : Verdict::MayHaveRun;
        attempt.error = result.error_message();
    } else {
        attempt.verdict = outcome.error.verdict;
        attempt.error = outcome.error.message;
    }
    std::lock_guard lock(records_.mutex);
    records_.jobs.push_back(attempt);
    return attempt;
}

void Workload::submitJob(std::mt19937_64& random, const std::string& id)
{
    const auto domain = deployment_
                            .entries()[static_cast<std::size_t>(
                                uniform(random, 0, static_cast<int>(deployment_.entries().size()) - 1))]
                            .domain;
    const auto home = uniform(random, 0, 3) == 0 ? std::string() : domain;
    const int tasks = uniform(random, 1, 20);
    // About every fourth job is also submitted by a second caller at the same time, through another random entry.
    std::thread second;
    if (uniform(random, 0, 3) == 0) {
        second = std::thread([this, id, tasks, home, seed = random()] {
            std::mt19937_64 secondRandom(seed);
            attemptJob(secondRandom, id, tasks, home);
        });
    }
    for (int i = 0; i < maxAttempts; ++i) {
        const auto attempt = attemptJob(random, id, tasks, home);
        const bool resubmitComplete = uniform(random, 0, 9) == 0;
        if (attempt.complete && !resubmitComplete)
            break;
    }
    if (second.joinable())
        second.join();
}

} // namespace FaultRun
