#include "JobMessageCodec.h"

#include "balsammill/internal/shard.pb.h"

namespace Balsammill {

void encodeJob(const Shards::JobSpec& spec, balsammill::internal::ShardJob& job)
{
    job.set_id(spec.id.value);
    job.set_queue(spec.queue.value);
    job.set_service(spec.service.value);
    job.set_priority(spec.priority);
    job.set_max_attempts(spec.maxAttempts);
    job.set_stretch(spec.stretch);
    job.set_target_overhead_us(spec.targetOverhead.count());
    job.set_payload(spec.payload);
    for (const auto& step : spec.steps) {
        auto* out = job.add_steps();
        out->set_count(step.count);
        out->set_milli_cores(step.need.milliCores);
        out->set_memory_mb(step.need.memoryMb);
        out->set_accelerators(step.need.accelerators);
        out->set_estimate_us(step.estimate.count());
        for (const auto earlier : step.after)
            out->add_after(earlier);
        out->set_required_label(step.requiredLabel);
        out->set_preferred_rack(step.preferredRack);
        out->set_max_per_upstream(step.maxPerUpstream);
        out->set_gang(step.gang);
        out->set_same_rack(step.sameRack);
        out->set_checkpoints(step.checkpoints);
    }
}

Shards::JobSpec decodeJob(const balsammill::internal::ShardJob& job)
{
    Shards::JobSpec spec;
    spec.id = JobId(job.id());
    spec.queue = Shards::QueueName(job.queue());
    spec.service = ServiceName(job.service());
    spec.priority = job.priority();
    spec.maxAttempts = job.max_attempts();
    spec.stretch = job.stretch();
    spec.targetOverhead = Duration(job.target_overhead_us());
    spec.payload = job.payload();
    for (const auto& in : job.steps()) {
        Shards::StepSpec step;
        step.count = in.count();
        step.need = { .milliCores = in.milli_cores(), .memoryMb = in.memory_mb(), .accelerators = in.accelerators() };
        step.estimate = Duration(in.estimate_us());
        step.after.assign(in.after().begin(), in.after().end());
        step.requiredLabel = in.required_label();
        step.preferredRack = in.preferred_rack();
        step.maxPerUpstream = in.max_per_upstream();
        step.gang = in.gang();
        step.sameRack = in.same_rack();
        step.checkpoints = in.checkpoints();
        spec.steps.push_back(std::move(step));
    }
    return spec;
}

} // namespace Balsammill
