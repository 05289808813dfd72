#include "HandOver.h"

#include "clients/JobMessageCodec.h"

#include <algorithm>

namespace Balsammill {

namespace {

void encodeHandedOver(const HandOver::Job& from, TimePoint now, balsammill::internal::HandedOverJob& to)
{
    const auto& job = from.job;
    to.set_id(job.key.job.value);
    to.set_occurrence(job.key.occurrence);
    if (job.spec != nullptr)
        encodeJob(*job.spec, *to.mutable_spec());
    to.set_highest_run(job.progress.highestRun.value);
    for (const auto& step : job.progress.steps)
        encodeTasks(step, *to.add_steps());
    for (const auto& each : job.expected) {
        auto* out = to.add_expected();
        out->set_step(each.step);
        out->set_index(each.index);
        out->set_run(each.run.value);
        out->set_upstream(each.upstream.value);
        out->set_age_us((now - each.startSentAt).count());
    }
    to.set_age_us((now - job.submittedAt).count());
    // At least 1 us, because 0 means that the client has set no timeout.
    if (job.responseDeadline != TimePoint::max())
        to.set_patience_us(std::max<std::int64_t>((job.responseDeadline - now).count(), 1));
    to.set_origin_vm(from.origin.peer.vm.value);
    to.set_origin_incarnation(from.origin.peer.incarnation.value);
    to.set_submission(from.origin.number);
}

HandOver::Job decodeHandedOver(const balsammill::internal::HandedOverJob& from, TimePoint now)
{
    HandOver::Job to;
    auto& job = to.job;
    job.key = { .job = JobId(from.id()), .occurrence = from.occurrence() };
    if (from.has_spec())
        job.spec = std::make_shared<const Shards::JobSpec>(decodeJob(from.spec()));
    job.progress.highestRun = Shards::RunNumber(from.highest_run());
    for (const auto& step : from.steps())
        job.progress.steps.push_back(decodeTasks(step));
    for (const auto& each : from.expected())
        job.expected.push_back({ .step = each.step(),
            .index = each.index(),
            .run = Shards::RunNumber(each.run()),
            .upstream = Shards::UpstreamId(each.upstream()),
            .startSentAt = now - Duration(each.age_us()) });
    job.submittedAt = now - Duration(from.age_us());
    if (from.patience_us() > 0)
        job.responseDeadline = now + Duration(from.patience_us());
    to.origin = { .peer = { .vm = VmName(from.origin_vm()), .incarnation = Incarnation(from.origin_incarnation()) },
        .number = from.submission() };
    return to;
}

} // namespace

void encodeHandOver(const HandOver& from, TimePoint now, balsammill::internal::HandOverShard& to)
{
    to.set_shard(from.shard.value);
    to.set_epoch(from.epoch.value);
    for (const auto& job : from.jobs)
        encodeHandedOver(job, now, *to.add_jobs());
    for (const auto& [queue, record] : from.learned.queues) {
        auto* out = to.add_run_times();
        out->set_queue(queue.value);
        out->set_log_ratio(record.logRatio);
        out->set_log_mean(record.logMean);
        out->set_samples(record.samples);
    }
    for (const auto& [upstream, slowness] : from.learned.logSlowness) {
        auto* out = to.add_ratings();
        out->set_upstream(upstream.value);
        out->set_log_slowness(slowness);
    }
    for (const auto& upstream : from.settledUpstreams)
        to.add_settled_upstreams(upstream.value);
    to.set_unreported_runs_over_in_us(std::max<std::int64_t>((from.unreportedRunsExpireAt - now).count(), 0));
}

HandOver decodeHandOver(const balsammill::internal::HandOverShard& from, TimePoint now)
{
    HandOver to { .shard = Shards::ShardName(from.shard()), .epoch = Epoch(from.epoch()) };
    for (const auto& job : from.jobs())
        to.jobs.push_back(decodeHandedOver(job, now));
    for (const auto& each : from.run_times())
        to.learned.queues[Shards::QueueName(each.queue())]
            = { .logRatio = each.log_ratio(), .logMean = each.log_mean(), .samples = each.samples() };
    for (const auto& each : from.ratings())
        to.learned.logSlowness[Shards::UpstreamId(each.upstream())] = each.log_slowness();
    for (const auto& upstream : from.settled_upstreams())
        to.settledUpstreams.emplace_back(upstream);
    to.unreportedRunsExpireAt = now + Duration(from.unreported_runs_over_in_us());
    return to;
}

} // namespace Balsammill
