#include "balsammill/shards/Admission.h"

#include "balsammill/base/StableHash.h"
#include "balsammill/shards/ShardSelection.h"

#include <algorithm>

namespace Balsammill::Shards {

namespace {

// The reported load is up to one status interval old, so the other shard must have more capacity than the job needs.
constexpr double capacityMargin = 1.1;
constexpr Duration minRetryAfter = std::chrono::milliseconds(200);
// If no upstream can run the job, a retry can succeed only after the set of upstreams has changed.
constexpr Duration retryAfterIfImpossible = std::chrono::seconds(5);

std::int64_t maxStepMilliCores(const JobSpec& job)
{
    std::int64_t maxNeed = 0;
    for (const auto& step : job.steps)
        maxNeed = std::max(maxNeed, step.need.milliCores * step.count);
    return maxNeed;
}

} // namespace

AdmissionDecision decideAdmission(const AdmissionRequest& request)
{
    const auto& forecast = request.forecast;
    // If the job would make accepted ones miss their objective, it is accepted only if it does not lose more work than
    // it adds.
    if (forecast.meetsObjective() && forecast.displacedWork <= forecast.ownWork)
        return AcceptJob {};
    // In an evacuated failure domain the job cannot run at all, so that a shard which may have to refuse it is better
    // than none. Many jobs leave the domain at the same time.
    if (forecast.evacuated) {
        std::vector<ShardCandidate> candidates;
        for (const auto& other : request.others)
            candidates.push_back({ .name = other.name, .freeMilliCores = other.freeMilliCores });
        if (const auto chosen = chooseByFreeCapacity(candidates, stableHash(request.job.id.value)))
            return RedirectToShard { request.others[*chosen].name };
    }
    const OtherShard* best = nullptr;
    const auto needed = static_cast<std::int64_t>(capacityMargin * static_cast<double>(maxStepMilliCores(request.job)));
    for (const auto& other : request.others) {
        if (other.waitingJobs == 0 && other.freeMilliCores >= needed
            && (best == nullptr || other.freeMilliCores > best->freeMilliCores))
            best = &other;
    }
    if (best != nullptr)
        return RedirectToShard { best->name };
    if (forecast.impossible || forecast.endAt == TimePoint::max())
        return RefuseJob { retryAfterIfImpossible };
    return RefuseJob { std::max(forecast.endAt - forecast.objectiveAt, minRetryAfter) };
}

} // namespace Balsammill::Shards
