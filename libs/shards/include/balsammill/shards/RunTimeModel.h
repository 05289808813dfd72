#pragma once

#include "balsammill/shards/JobSpec.h"

#include <unordered_map>

namespace Balsammill::Shards {

/// Predicts run times. Declared estimates are corrected by the actual run times of tasks of the same queue, and
/// upstreams are rated by the ratio of actual to predicted run times.
class RunTimeModel {
public:
    /// Moving averages over the tasks of a queue, as natural logarithms: the ratio of actual to declared run time, and
    /// the run time in microseconds.
    struct QueueRecord {
        double logRatio { 0 };
        double logMean { 0 };
        std::uint32_t samples { 0 };
    };
    /// State of the model, to be handed to the next owner of the shard.
    struct Learned {
        std::unordered_map<QueueName, QueueRecord> queues {};
        std::unordered_map<UpstreamId, double> logSlowness {};
    };

    /// Expected run time of a task of this step on an upstream of average speed.
    Duration predict(const JobSpec&, const StepSpec&) const;
    /// Records the run time of a completed task.
    void record(const JobSpec&, const StepSpec&, const UpstreamId&, Duration actual);
    /// Ratio of actual to predicted run times on this upstream; 1 if unknown.
    double slowness(const UpstreamId&) const;
    /// Records that a task was stopped before it completed. Without these samples the averages would include short
    /// tasks only, and the predictions would shrink until every long task was stopped as overdue.
    void recordStopped(const JobSpec&, const StepSpec&, Duration atLeast);
    void forget(const UpstreamId&);
    const Learned& learned() const { return learned_; }
    void adopt(const Learned& learned) { learned_ = learned; }

private:
    void updateAverages(const JobSpec&, const StepSpec&, Duration actual);

    Learned learned_;
};

} // namespace Balsammill::Shards
