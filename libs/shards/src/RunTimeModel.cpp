#include "balsammill/shards/RunTimeModel.h"

#include <algorithm>
#include <cmath>

namespace Balsammill::Shards {

namespace {

// Weight of the newest sample in the averages of a queue: a window of about 50 tasks, a few seconds of traffic.
constexpr double queueWeight = 0.02;
// Weight of the newest sample in an upstream's rating: a window of about five tasks, so that a slowdown is detected
// within a second.
constexpr double upstreamWeight = 0.2;
// The declared estimate and the queue's mean are equally uncertain, so the prediction is their geometric mean.
constexpr double estimateWeight = 0.5;
// Number of samples from which the queue's mean is used.
constexpr std::uint32_t minSamplesForMean = 20;
// Run time of a step that declares none.
constexpr Duration defaultEstimate = std::chrono::milliseconds(100);
constexpr Duration minRunTime = std::chrono::milliseconds(1);

double logMicros(Duration duration) { return std::log(static_cast<double>(std::max(duration, minRunTime).count())); }

Duration estimateOf(const StepSpec& step) { return step.estimate > Duration::zero() ? step.estimate : defaultEstimate; }

} // namespace

Duration RunTimeModel::predict(const JobSpec& job, const StepSpec& step) const
{
    double logTime = logMicros(estimateOf(step));
    const auto found = learned_.queues.find(job.queue);
    if (found != learned_.queues.end()) {
        logTime += found->second.logRatio;
        if (found->second.samples >= minSamplesForMean)
            logTime = estimateWeight * logTime + (1 - estimateWeight) * found->second.logMean;
    }
    return Duration(static_cast<Duration::rep>(std::exp(logTime)));
}

void RunTimeModel::record(const JobSpec& job, const StepSpec& step, const UpstreamId& upstream, Duration actual)
{
    auto& rating = learned_.logSlowness[upstream];
    rating += upstreamWeight * (logMicros(actual) - logMicros(predict(job, step)) - rating);
    updateAverages(job, step, actual);
}

void RunTimeModel::recordStopped(const JobSpec& job, const StepSpec& step, Duration atLeast)
{
    updateAverages(job, step, std::max(atLeast, predict(job, step)));
}

// The averages cover all upstreams and are not corrected by the ratings; otherwise the two could drift apart.
void RunTimeModel::updateAverages(const JobSpec& job, const StepSpec& step, Duration actual)
{
    auto& queue = learned_.queues[job.queue];
    ++queue.samples;
    const double weight = std::max(queueWeight, 1.0 / queue.samples);
    queue.logRatio += weight * (logMicros(actual) - logMicros(estimateOf(step)) - queue.logRatio);
    queue.logMean += weight * (logMicros(actual) - queue.logMean);
}

double RunTimeModel::slowness(const UpstreamId& upstream) const
{
    const auto found = learned_.logSlowness.find(upstream);
    return found == learned_.logSlowness.end() ? 1.0 : std::exp(found->second);
}

void RunTimeModel::forget(const UpstreamId& upstream) { learned_.logSlowness.erase(upstream); }

} // namespace Balsammill::Shards
