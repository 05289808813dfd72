#include "EngineFixture.h"

#include "balsammill/shards/Admission.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>

using namespace Balsammill;
using namespace Balsammill::Shards;
using namespace Balsammill::Shards::Testing;

namespace {

// Simulates an engine and upstreams that run each task for its actual run time, in steps of one millisecond.
class SimulatedLoad {
public:
    explicit SimulatedLoad(int upstreams)
    {
        for (int i = 0; i < upstreams; ++i)
            fixture_.addUpstream(makeUpstream("u" + std::to_string(i)));
    }

    struct Outcome {
        int submitted { 0 };
        int refused { 0 };
        int inObjective { 0 };
        int stops { 0 };
    };

    // realMs: actual run time of each task of the job; the declared estimate is in the options.
    void submitJob(int ms, const JobOptions& options, int realMs)
    {
        auto& outcome = outcomes[options.queue];
        ++outcome.submitted;
        const auto spec = makeSpec(options);
        const auto forecast = fixture_.engine.forecast(spec, at(ms), at(ms));
        const auto decision = decideAdmission({ .job = spec, .forecast = forecast, .others = {}, .now = at(ms) });
        if (!std::holds_alternative<AcceptJob>(decision)) {
            ++outcome.refused;
            return;
        }
        const auto submission = fixture_.submit(options, ms);
        acceptedJobs_[submission] = { .queue = options.queue,
            .realMs = realMs,
            .objectiveAt = ms + static_cast<int>(options.stretch * realMs) + options.overheadMs };
        submissionsByJob_[options.id] = submission;
        applyActions(ms);
    }

    void advanceTo(int ms)
    {
        for (; now_ < ms; ++now_) {
            for (auto it = running_.begin(); it != running_.end();) {
                if (it->endsAt > now_) {
                    ++it;
                    continue;
                }
                const auto start = it->start;
                it = running_.erase(it);
                fixture_.reportEnd(start, ++sequences_[start.upstream.value], RunEnd::Done, now_);
            }
            if (now_ % 50 == 0)
                fixture_.engine.advance(at(now_));
            applyActions(now_);
        }
    }

    std::map<std::string, Outcome> outcomes;

private:
    struct AcceptedJob {
        std::string queue;
        int realMs { 0 };
        int objectiveAt { 0 };
    };
    struct Running {
        StartTask start;
        int endsAt { 0 };
    };

    void applyActions(int ms)
    {
        fixture_.engine.schedule(at(ms));
        for (const auto& action : fixture_.engine.takeActions()) {
            if (const auto* start = std::get_if<StartTask>(&action)) {
                fixture_.confirmStart(*start, ms);
                const auto submission = submissionsByJob_.at(start->task.job.value);
                running_.push_back({ *start, ms + acceptedJobs_.at(submission).realMs });
            } else if (const auto* stop = std::get_if<StopTask>(&action)) {
                const auto found = std::find_if(running_.begin(), running_.end(),
                    [&](const Running& each) { return each.start.task == stop->task && each.start.run == stop->run; });
                if (found == running_.end())
                    continue;
                ++outcomes[acceptedJobs_.at(submissionsByJob_.at(stop->task.job.value)).queue].stops;
                const auto stopped = found->start;
                running_.erase(found);
                fixture_.reportEnd(stopped, ++sequences_[stopped.upstream.value], RunEnd::Stopped, ms);
            } else if (const auto* finished = std::get_if<FinishJob>(&action)) {
                const auto& acceptedJob = acceptedJobs_.at(finished->submission);
                if (finished->result == JobResult::Completed && ms <= acceptedJob.objectiveAt)
                    ++outcomes[acceptedJob.queue].inObjective;
            }
        }
    }

    EngineFixture fixture_;
    std::map<SubmissionId, AcceptedJob> acceptedJobs_;
    std::map<std::string, SubmissionId> submissionsByJob_;
    std::vector<Running> running_;
    std::map<std::string, std::uint64_t> sequences_;
    int now_ { 0 };
};

std::string jobId(int number)
{
    auto digits = std::to_string(number);
    return std::string(16 - digits.size(), '0') + digits;
}

} // namespace

// Load: three queues with the traffic shares of a morning, at more than twice the capacity of 12 upstreams. Guards
// against starving a queue, and against accepting jobs that mostly miss their objective.
TEST_CASE("At twice the capacity, most accepted jobs meet their objective and no queue starves")
{
    SimulatedLoad load(12);
    std::mt19937 random(7);
    std::uniform_real_distribution<double> share(0, 1);
    std::lognormal_distribution<double> runTimeFactor(0, 0.3);
    int number = 0;
    for (int ms = 0; ms < 10'000; ms += 14) {
        load.advanceTo(ms);
        const double queueDraw = share(random);
        JobOptions options { .id = jobId(++number), .milliCores = 14'000 };
        int mean = 200;
        options.tasks = 2;
        options.queue = "logs";
        options.priority = 1;
        if (queueDraw < 0.25) {
            mean = 60;
            options.tasks = 8;
            options.queue = "checks";
            options.priority = 0;
        } else if (queueDraw < 0.31) {
            mean = 900;
            options.tasks = 4;
            options.queue = "assignments";
            options.priority = 2;
        }
        const int real = static_cast<int>(mean * runTimeFactor(random));
        options.estimateMs = static_cast<int>(real * runTimeFactor(random));
        load.submitJob(ms, options, real);
    }
    load.advanceTo(14'000);
    for (const auto& entry : load.outcomes) {
        const auto& outcome = entry.second;
        const int accepted = outcome.submitted - outcome.refused;
        INFO("queue ", entry.first, ": submitted ", outcome.submitted, ", refused ", outcome.refused, ", in objective ",
            outcome.inObjective);
        CHECK_GT(outcome.inObjective * 2, accepted);
        CHECK_GT(accepted * 10, outcome.submitted);
    }
}

// Guards against a collapse after upstreams were slow for a while: when stopped tasks were not counted, predictions
// shrank until every long task was stopped, and the shard served almost nothing until its owner restarted.
TEST_CASE("After upstreams were slow for a while, the shard does not stop tasks that run normally")
{
    SimulatedLoad load(8);
    std::mt19937 random(11);
    std::lognormal_distribution<double> runTimeFactor(0, 0.4);
    int number = 0;
    for (int ms = 0; ms < 20'000; ms += 60) {
        load.advanceTo(ms);
        const bool disturbed = ms > 4'000 && ms < 8'000;
        const int real = static_cast<int>((disturbed ? 900 : 200) * runTimeFactor(random));
        load.submitJob(ms, { .id = jobId(++number), .queue = "logs", .tasks = 2, .estimateMs = 200 }, real);
        if (ms == 12'000 || ms == 12'060)
            load.outcomes["logs"] = {};
    }
    load.advanceTo(22'000);
    const auto& after = load.outcomes["logs"];
    INFO("submitted ", after.submitted, ", refused ", after.refused, ", in objective ", after.inObjective, ", stops ",
        after.stops);
    CHECK_GT(after.inObjective * 10, after.submitted * 9);
    CHECK_LT(after.stops * 20, after.submitted);
}

// Guards against clients that wait for a result that can only come too late: the job is answered as not run at once.
TEST_CASE("A job that has not started and can no longer end in time is dropped before its client's timeout")
{
    EngineFixture fixture;
    fixture.addUpstream(makeUpstream("u1", 14'000));
    fixture.submit({ .id = jobId(1), .milliCores = 14'000, .estimateMs = 3'000 }, 0);
    REQUIRE_EQ(fixture.scheduleAndTake<StartTask>(0).size(), 1);
    fixture.engine.submit(
        SubmissionId(9), makeJob({ .id = jobId(2), .milliCores = 14'000, .estimateMs = 100 }), at(1), at(1'501));
    fixture.engine.advance(at(50));
    CHECK(fixture.takeActionsOf<FinishJob>().empty());
    fixture.engine.advance(at(200));
    const auto finished = fixture.takeActionsOf<FinishJob>();
    REQUIRE_EQ(finished.size(), 1);
    CHECK_EQ(finished[0].result, JobResult::NotRun);
    CHECK_EQ(finished[0].submission.value, 9);
}

// Guards against an urgent job that makes accepted work late: accepted jobs have to meet their objective.
TEST_CASE("A job that would make more accepted work late than it adds is rejected")
{
    EngineFixture fixture;
    fixture.addUpstream(makeUpstream("u1", 28'000));
    fixture.submit({ .id = jobId(1), .tasks = 2, .milliCores = 14'000, .estimateMs = 400 }, 0);
    REQUIRE_EQ(fixture.scheduleAndTake<StartTask>(0).size(), 2);
    fixture.submit({ .id = jobId(2), .queue = "assignments", .tasks = 2, .milliCores = 14'000, .estimateMs = 800 }, 1);
    const auto spec = makeSpec({ .id = jobId(3), .tasks = 2, .milliCores = 14'000, .estimateMs = 500, .stretch = 1.9 });
    const auto forecast = fixture.engine.forecast(spec, at(2), at(2));
    CHECK(forecast.meetsObjective());
    CHECK_GT(forecast.displacedWork, forecast.ownWork);
    const auto decision = decideAdmission({ .job = spec, .forecast = forecast, .others = {}, .now = at(2) });
    CHECK(std::holds_alternative<RefuseJob>(decision));
}
