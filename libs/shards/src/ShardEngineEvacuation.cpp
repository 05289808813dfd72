#include "ShardEngineDetail.h"

#include <algorithm>

namespace Balsammill::Shards {

namespace {

// Share of the capacity of a cold upstream that tasks may use at first; it rises to all of it until the upstream is
// warm, so that an upstream that has just started is not filled with tasks that all take long.
constexpr double initialColdShare = 0.25;

} // namespace

Resources ShardEngine::usableCapacity(const Upstream& upstream, TimePoint now)
{
    if (!upstream.isCold(now))
        return upstream.freeCapacity;
    const auto period = static_cast<double>((upstream.info.coldUntil - upstream.coldSince).count());
    const auto elapsed = static_cast<double>((now - upstream.coldSince).count());
    const double share = initialColdShare + (1.0 - initialColdShare) * std::clamp(elapsed / period, 0.0, 1.0);
    auto usable = upstream.freeCapacity;
    const auto withheld
        = static_cast<std::int64_t>((1.0 - share) * static_cast<double>(upstream.info.capacity.milliCores));
    usable.milliCores = std::max<std::int64_t>(usable.milliCores - withheld, 0);
    return usable;
}

bool ShardEngine::hasRoomFor(const Upstream& upstream, const Resources& need, TimePoint now)
{
    // A task that needs more than the usable share runs alone on a cold upstream.
    const bool idle = upstream.freeCapacity == upstream.info.capacity;
    return need.fitsIn(idle ? upstream.freeCapacity : usableCapacity(upstream, now));
}

void ShardEngine::finishEvacuatedJobs(TimePoint now)
{
    if (mayStartTasks(now))
        return;
    std::vector<Job*> notStarted;
    std::vector<Job*> interrupted;
    for (const auto& [key, job] : jobs_) {
        // An unconfirmed job ends by itself if its origin does not wait for it any more.
        if (job->spec->durable || !isOriginConfirmed(*job, now))
            continue;
        bool waits = false;
        bool active = false;
        for (const auto& step : job->steps) {
            waits = waits || step.waiting > 0;
            active = active || step.active > 0
                || std::any_of(step.tasks.begin(), step.tasks.end(),
                    [this, now](const Task& task) { return isExpected(task, now); });
        }
        for (std::uint32_t step = 0; step < job->steps.size(); ++step) {
            for (std::uint32_t index = 0; index < job->steps[step].tasks.size(); ++index)
                active = active || liveRuns_.contains(job->taskKey(step, index));
        }
        if (!waits || active)
            continue;
        (job->started ? interrupted : notStarted).push_back(job.get());
    }
    for (auto* job : notStarted)
        finishJob(*job, JobResult::Evacuated, now);
    for (auto* job : interrupted)
        finishJob(*job, JobResult::Interrupted, now);
}

} // namespace Balsammill::Shards
