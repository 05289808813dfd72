#include "ShardServer.h"

// Execution of the engine's actions.

namespace Balsammill {

namespace {

const char* nameOf(Shards::JobResult result)
{
    switch (result) {
    case Shards::JobResult::Completed:
        return "completed";
    case Shards::JobResult::Failed:
        return "failed";
    case Shards::JobResult::Superseded:
        return "superseded";
    case Shards::JobResult::NotRun:
        return "not_run";
    case Shards::JobResult::Evacuated:
        return "evacuated";
    case Shards::JobResult::Interrupted:
        return "interrupted";
    }
    return "unknown";
}

OwnerAnswer::Kind answerKind(Shards::JobResult result)
{
    switch (result) {
    case Shards::JobResult::Completed:
        return OwnerAnswer::Kind::Completed;
    case Shards::JobResult::Failed:
        return OwnerAnswer::Kind::Failed;
    case Shards::JobResult::NotRun:
        return OwnerAnswer::Kind::Refused;
    case Shards::JobResult::Evacuated:
        return OwnerAnswer::Kind::Refused;
    case Shards::JobResult::Superseded:
    case Shards::JobResult::Interrupted:
        break;
    }
    return OwnerAnswer::Kind::InDoubt;
}

} // namespace

void ShardServer::execute(const Shards::FinishJob& finished)
{
    if (finished.submission == Shards::SubmissionId()) {
        const auto& id = finished.job.job;
        if (finished.result != Shards::JobResult::Completed || context_.log.isSampled(id.value))
            context_.log.event("job.ended",
                { { "id", id.value }, { "shard", name_.value },
                    { "occurrence", std::uint64_t { finished.job.occurrence } }, { "result", nameOf(finished.result) },
                    { "waited_ms", static_cast<std::int64_t>(toMs(finished.waited)) } });
        durable_.recordFinished(finished);
        return;
    }
    const auto found = openSubmissions_.find(finished.submission);
    if (found == openSubmissions_.end())
        return;
    auto entry = std::move(found->second);
    openSubmissions_.erase(found);
    bySubmitter_.erase(entry.submitter);
    unconfirmed_.erase(entry.submitter);
    const auto now = monotonicNow();
    const auto queueLabel = "queue=\"" + entry.queue + "\"";
    context_.metrics.add("balsammill_finished_total", queueLabel + ",result=\"" + nameOf(finished.result) + "\"");
    context_.metrics.observe("balsammill_job_time_ms", queueLabel, toMs(now - entry.acceptedAt));
    context_.metrics.observe("balsammill_job_wait_ms", queueLabel, toMs(finished.waited));
    if (finished.result != Shards::JobResult::Completed || context_.log.isSampled(entry.job.value))
        context_.log.event("job.ended",
            { { "id", entry.job.value }, { "shard", name_.value }, { "result", nameOf(finished.result) },
                { "ms", static_cast<std::int64_t>(toMs(now - entry.acceptedAt)) },
                { "waited_ms", static_cast<std::int64_t>(toMs(finished.waited)) } });
    if (finished.result == Shards::JobResult::Evacuated) {
        answerEvacuated(entry, finished);
        return;
    }
    if (finished.result == Shards::JobResult::Interrupted)
        context_.metrics.add("balsammill_evacuated_jobs_total", R"(outcome="in_doubt")");
    entry.callback({ .kind = answerKind(finished.result), .retryAfter = {}, .redirect = {} });
}

void ShardServer::reportInterference()
{
    for (const auto& change : engine_.takeInterferenceChanges()) {
        const auto& found = change.interference;
        context_.log.event(change.begins ? "interference.detected" : "interference.ended",
            { { "shard", name_.value }, { "kind", found.kind }, { "beside", found.beside },
                { "factor_percent", static_cast<std::int64_t>(found.factor * 100) },
                { "samples", std::uint64_t { found.samples } } });
        context_.metrics.set("balsammill_interference_factor",
            "shard=\"" + name_.value + "\",kind=\"" + found.kind + "\",beside=\"" + found.beside + "\"",
            change.begins ? found.factor : 1.0);
    }
    const auto apart = engine_.placementsApart();
    if (apart > reportedPlacementsApart_)
        context_.metrics.add("balsammill_placements_apart_total", "shard=\"" + name_.value + "\"",
            apart - std::exchange(reportedPlacementsApart_, apart));
}

void ShardServer::answerEvacuated(const OpenSubmission& entry, const Shards::FinishJob& finished)
{
    const auto decision = Shards::decideAdmission({ .job = *finished.spec,
        .forecast = { .impossible = true, .evacuated = true },
        .others = handlers_.otherShards(),
        .now = monotonicNow() });
    OwnerAnswer result { .kind = answerKind(finished.result), .retryAfter = {}, .redirect = {} };
    if (const auto* redirect = std::get_if<Shards::RedirectToShard>(&decision)) {
        result.kind = OwnerAnswer::Kind::Redirected;
        result.redirect = redirect->shard;
    } else if (const auto* refuse = std::get_if<Shards::RefuseJob>(&decision)) {
        result.retryAfter = refuse->retryAfter;
    }
    const bool redirected = result.kind == OwnerAnswer::Kind::Redirected;
    context_.metrics.add(
        "balsammill_evacuated_jobs_total", redirected ? R"(outcome="redirected")" : R"(outcome="refused")");
    if (context_.log.isSampled(entry.job.value))
        context_.log.event(
            "job.evacuated", { { "id", entry.job.value }, { "shard", name_.value }, { "to", result.redirect.value } });
    entry.callback(result);
}

void ShardServer::execute(const Shards::ShardActions& actions)
{
    for (const auto& action : actions)
        std::visit([this](const auto& step) { execute(step); }, action);
}

void ShardServer::execute(const Shards::StartTask& start)
{
    if (context_.log.isSampled(start.task.job.value))
        context_.log.event("task.started",
            { { "id", start.task.job.value }, { "step", std::uint64_t { start.task.step } },
                { "index", std::uint64_t { start.task.index } }, { "run", start.run.value },
                { "upstream", start.upstream.value }, { "fence", epoch_.value } });
    if (start.job->durable)
        durable_.recordStarted(start.task.job);
    if (auto* target = session(start.upstream))
        target->start(start);
}

void ShardServer::execute(const Shards::ProgressChanged& change) { durable_.recordProgress(change); }

void ShardServer::execute(const Shards::TaskAdopted& adopted)
{
    context_.metrics.add("balsammill_tasks_adopted_total");
    context_.log.event("task.adopted",
        { { "id", adopted.task.job.value }, { "index", std::uint64_t { adopted.task.index } },
            { "run", adopted.run.value }, { "upstream", adopted.upstream.value } });
    durable_.recordStarted(adopted.task.job);
}

void ShardServer::execute(const Shards::StopTask& stop)
{
    context_.log.event("task.stopped",
        { { "id", stop.task.job.value }, { "index", std::uint64_t { stop.task.index } }, { "run", stop.run.value },
            { "upstream", stop.upstream.value } });
    if (auto* target = session(stop.upstream))
        target->stop(stop);
}

void ShardServer::execute(const Shards::RunLost& lost)
{
    context_.metrics.add("balsammill_runs_lost_total");
    context_.log.event("task.run_lost",
        { { "id", lost.task.job.value }, { "index", std::uint64_t { lost.task.index } }, { "run", lost.run.value },
            { "upstream", lost.upstream.value }, { "listed_ends", std::uint64_t { lost.listedEnds } } });
}

void ShardServer::execute(const Shards::TaskFailed& failed)
{
    context_.metrics.add("balsammill_task_failures_total");
    context_.log.event("task.failed",
        { { "id", failed.task.job.value }, { "index", std::uint64_t { failed.task.index } },
            { "run", failed.run.value }, { "upstream", failed.upstream.value },
            { "failures", std::uint64_t { failed.failures } }, { "allowed", std::uint64_t { failed.maxAttempts } } });
}

void ShardServer::execute(const Shards::UpstreamSuspected& suspected)
{
    context_.metrics.add("balsammill_upstreams_suspected_total");
    context_.log.event("upstream.suspected",
        { { "upstream", suspected.upstream.value }, { "pause_ms", static_cast<std::int64_t>(toMs(suspected.pause)) } });
}

void ShardServer::execute(const Shards::PermitRequest& query)
{
    advisor_.requestPermits(query, [this, query](const std::optional<Shards::Tickets>& tickets, TimePoint sentAt) {
        if (abandoned_)
            return;
        if (tickets)
            engine_.handlePermits(query, *tickets, sentAt, monotonicNow());
        else
            engine_.handlePermitFailure(query, monotonicNow());
        runScheduler();
    });
}

} // namespace Balsammill
