#pragma once

#include "balsammill/shards/JobSpec.h"

#include <unordered_map>

namespace Balsammill::Shards {

/// Predicts run times. Declared estimates are corrected by what tasks of the same queue really took, and upstreams are
/// rated by how long tasks take on them compared with the prediction.
class RunTimeModel {
public:
    /// What was learned of the tasks of a queue.
    struct QueueRecord {
        double logRatio { 0 };
        double logMean { 0 };
        std::uint32_t samples { 0 };
    };
    /// All that was learned, for the next owner of the shard.
    struct Learned {
        std::unordered_map<QueueName, QueueRecord> queues {};
        std::unordered_map<UpstreamId, double> logSlowness {};
    };

    /// Expected run time of a task of this step on an upstream of average speed.
    Duration predict(const JobSpec&, const StepSpec&) const;
    /// Records that a task ran to its end.
    void record(const JobSpec&, const StepSpec&, const UpstreamId&, Duration actual);
    /// Factor by which tasks take longer on this upstream than predicted; 1 if unknown.
    double slowness(const UpstreamId&) const;
    /// Records that a task was stopped after this time. Without it the averages would know short tasks only, and the
    /// predictions would shrink until every long task were stopped.
    void recordStopped(const JobSpec&, const StepSpec&, Duration atLeast);
    void forget(const UpstreamId&);
    const Learned& learned() const { return learned_; }
    void adopt(const Learned& learned) { learned_ = learned; }

private:
    void learn(const JobSpec&, const StepSpec&, Duration actual);

    Learned learned_;
};

} // namespace Balsammill::Shards
