#include "balsammill/shards/Admission.h"

#include <algorithm>

namespace Balsammill::Shards {

namespace {

// A status is up to a status interval old, so another shard must have more room than the job needs.
constexpr double roomMargin = 1.5;
constexpr Duration shortestRetry = std::chrono::milliseconds(200);
// Where no upstream can run the job, a change of the fleet is needed first.
constexpr Duration retryWhenImpossible = std::chrono::seconds(5);

std::int64_t widestNeed(const JobSpec& job)
{
    std::int64_t widest = 0;
    for (const auto& step : job.steps)
        widest = std::max(widest, step.need.milliCores * step.count);
    return widest;
}

} // namespace

AdmissionDecision decideAdmission(const AdmissionQuestion& question)
{
    const auto& forecast = question.forecast;
    // A job that makes accepted ones miss their objective is worth it only if less work is lost than gained.
    if (forecast.meetsObjective() && forecast.displacedWork <= forecast.ownWork)
        return AcceptJob {};
    const OtherShard* best = nullptr;
    const auto needed = static_cast<std::int64_t>(roomMargin * static_cast<double>(widestNeed(question.job)));
    for (const auto& other : question.others) {
        if (other.waitingJobs == 0 && other.freeMilliCores >= needed
            && (best == nullptr || other.freeMilliCores > best->freeMilliCores))
            best = &other;
    }
    if (best != nullptr)
        return SendToShard { best->name };
    if (forecast.impossible || forecast.endAt == TimePoint::max())
        return RefuseJob { retryWhenImpossible };
    return RefuseJob { std::max(forecast.endAt - forecast.objectiveAt, shortestRetry) };
}

} // namespace Balsammill::Shards
