#include "JobMessageCodec.h"

#include <array>
#include <utility>

namespace Balsammill {

namespace {

constexpr unsigned bitsPerByte = 8;

} // namespace

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
    job.set_durable(spec.durable);
    job.set_long_running(spec.longRunning);
    if (spec.schedule) {
        auto* schedule = job.mutable_schedule();
        schedule->set_count(spec.schedule->count);
        schedule->set_first_run_unix_ms(spec.schedule->firstRunUnixMs);
        schedule->set_interval_us(spec.schedule->interval.count());
    }
    if (spec.advice) {
        auto* advice = job.mutable_advice();
        advice->set_decision_us(spec.advice->decision.count());
        advice->set_per_upstream_us(spec.advice->perUpstream.count());
        advice->set_validity_us(spec.advice->validity.count());
    }
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
        out->set_image(step.image);
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
    spec.durable = job.durable();
    spec.longRunning = job.long_running();
    if (job.has_schedule())
        spec.schedule = Shards::RepeatSchedule { .count = job.schedule().count(),
            .firstRunUnixMs = job.schedule().first_run_unix_ms(),
            .interval = Duration(job.schedule().interval_us()) };
    if (job.has_advice())
        spec.advice = Shards::AdvicePolicy { .decision = Duration(job.advice().decision_us()),
            .perUpstream = Duration(job.advice().per_upstream_us()),
            .validity = Duration(job.advice().validity_us()) };
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
        step.image = in.image();
        spec.steps.push_back(std::move(step));
    }
    return spec;
}

balsammill::internal::StoredJobState::State encodeJobState(Shards::JobState state)
{
    using Message = balsammill::internal::StoredJobState;
    switch (state) {
    case Shards::JobState::Queued:
        return Message::QUEUED;
    case Shards::JobState::Running:
        return Message::RUNNING;
    case Shards::JobState::Completed:
        return Message::COMPLETED;
    case Shards::JobState::Failed:
        return Message::FAILED;
    case Shards::JobState::Cancelled:
        break;
    }
    return Message::CANCELLED;
}

Shards::JobState decodeJobState(balsammill::internal::StoredJobState::State state)
{
    using Message = balsammill::internal::StoredJobState;
    switch (state) {
    case Message::RUNNING:
        return Shards::JobState::Running;
    case Message::COMPLETED:
        return Shards::JobState::Completed;
    case Message::FAILED:
        return Shards::JobState::Failed;
    case Message::CANCELLED:
        return Shards::JobState::Cancelled;
    default:
        return Shards::JobState::Queued;
    }
}

void encodeTasks(const std::vector<Shards::TaskProgress>& tasks, balsammill::internal::StoredStep& step)
{
    step.set_task_count(static_cast<std::uint32_t>(tasks.size()));
    std::string done((tasks.size() + bitsPerByte - 1) / bitsPerByte, '\0');
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        const auto& task = tasks[i];
        if (task.done) {
            done[i / bitsPerByte]
                = static_cast<char>(static_cast<unsigned char>(done[i / bitsPerByte]) | (1U << (i % bitsPerByte)));
        } else if (task.failures > 0 || task.countedRun.value > 0) {
            auto* row = step.add_tasks();
            row->set_index(static_cast<std::uint32_t>(i));
            row->set_failures(task.failures);
            row->set_counted_run(task.countedRun.value);
            for (const auto run : task.earlierRuns)
                row->add_earlier_run_distances(task.countedRun.value - run.value);
        }
    }
    step.set_done(done);
}

std::vector<Shards::TaskProgress> decodeTasks(const balsammill::internal::StoredStep& step)
{
    const auto& done = step.done();
    // A task count greater than the number of bits means that the row is damaged.
    const auto count = std::min<std::size_t>(step.task_count(), done.size() * bitsPerByte);
    std::vector<Shards::TaskProgress> tasks(count);
    for (std::size_t i = 0; i < count; ++i)
        tasks[i].done = ((static_cast<unsigned char>(done[i / bitsPerByte]) >> (i % bitsPerByte)) & 1U) != 0;
    for (const auto& row : step.tasks()) {
        if (row.index() >= count)
            continue;
        auto& task = tasks[row.index()];
        task.failures = row.failures();
        task.countedRun = Shards::RunNumber(row.counted_run());
        for (const auto distance : row.earlier_run_distances())
            task.earlierRuns.emplace_back(row.counted_run() - std::min(distance, row.counted_run()));
        std::sort(task.earlierRuns.begin(), task.earlierRuns.end());
    }
    return tasks;
}

namespace {

using Kind = OwnerAnswer::Kind;
using Answer = balsammill::internal::ShardJobAnswer;

constexpr std::array<std::pair<Kind, Answer::Result>, 10> results { {
    { Kind::Completed, Answer::COMPLETED },
    { Kind::Failed, Answer::FAILED },
    { Kind::Refused, Answer::REFUSED },
    { Kind::Redirected, Answer::REDIRECTED },
    { Kind::InDoubt, Answer::IN_DOUBT },
    { Kind::NotOwner, Answer::NOT_OWNER },
    { Kind::Accepted, Answer::ACCEPTED },
    { Kind::Known, Answer::KNOWN },
    { Kind::UnknownJob, Answer::UNKNOWN_JOB },
    { Kind::Unavailable, Answer::UNAVAILABLE },
} };

} // namespace

void encodeAnswer(const OwnerAnswer& answer, Answer& message)
{
    for (const auto& [kind, result] : results) {
        if (kind == answer.kind)
            message.set_result(result);
    }
    message.set_retry_after_us(answer.retryAfter.count());
    message.set_redirect_shard(answer.redirect.value);
    message.set_state(encodeJobState(answer.state));
    message.set_not_storable(answer.notStorable);
}

OwnerAnswer decodeAnswer(const Answer& message)
{
    // A result value of a later protocol version is unknown here, so the job counts as in doubt.
    OwnerAnswer answer { .kind = Kind::InDoubt,
        .retryAfter = Duration(message.retry_after_us()),
        .redirect = Shards::ShardName(message.redirect_shard()),
        .state = decodeJobState(message.state()),
        .notStorable = message.not_storable() };
    for (const auto& [kind, result] : results) {
        if (result == message.result())
            answer.kind = kind;
    }
    return answer;
}

} // namespace Balsammill
