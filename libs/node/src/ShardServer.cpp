#include "ShardServer.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace Balsammill {

namespace {

// Reading the registrations, the first reports, and stopping what an earlier owner has left.
constexpr Duration settlingTime = std::chrono::milliseconds(250);

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
    case Shards::JobResult::Superseded:
        break;
    }
    return OwnerAnswer::Kind::InDoubt;
}

} // namespace

ShardServer::ShardServer(
    NodeContext& context, Shards::ShardName name, Epoch epoch, PeerId predecessor, Handlers handlers)
    : context_(context)
    , name_(std::move(name))
    , epoch_(epoch)
    , startedAt_(monotonicNow())
    , handlers_(std::move(handlers))
    , engine_(Shards::ShardEngine::Options { .stopGrace = context.settings.stopGrace })
    , predecessor_(std::move(predecessor))
    , alive_(std::make_shared<bool>(true))
{
}

ShardServer::~ShardServer()
{
    *alive_ = false;
    for (auto& [id, session] : sessions_)
        session->close();
}

UpstreamSession* ShardServer::session(const Shards::UpstreamId& id)
{
    const auto found = sessions_.find(id);
    return found == sessions_.end() ? nullptr : found->second.get();
}

void ShardServer::updateUpstream(const Shards::UpstreamInfo& info)
{
    const auto now = monotonicNow();
    auto& known = upstreams_[info.id];
    const bool moved = !known.address.empty() && known.address != info.address;
    const bool drains = info.draining && !known.draining;
    known = info;
    if (drains)
        context_.log.event("upstream.draining", { { "upstream", info.id.value }, { "shard", name_.value } });
    if (const auto found = sessions_.find(info.id); moved && found != sessions_.end()) {
        found->second->close();
        sessions_.erase(found);
        engine_.handleLeaseExpired(info.id, now);
    }
    // An upstream in use follows its registration in any case: a draining one must get no more tasks.
    const bool withheld = !predecessor_.vm.empty() && (!heldByPredecessor_ || heldByPredecessor_->contains(info.id));
    if (!sessions_.contains(info.id) && (withheld || retiring_))
        return;
    openSession(info);
    progress();
}

void ShardServer::openSession(const Shards::UpstreamInfo& info)
{
    const auto now = monotonicNow();
    engine_.updateUpstream(info, now);
    if (!sessions_.contains(info.id)) {
        auto opened = std::make_shared<UpstreamSession>(context_, engine_, info, epoch_,
            UpstreamSession::Handlers { .progressed = [this] { progress(); },
                .fenced =
                    [this] {
                        // The handler destroys this object, which the caller still uses.
                        boost::asio::post(context_.loop, [this, alive = alive_] {
                            if (*alive)
                                handlers_.fenced();
                        });
                    } });
        sessions_[info.id] = opened;
        opened->advance(now);
    }
}

void ShardServer::handlePredecessorHolds(const std::set<Shards::UpstreamId>& held)
{
    if (predecessor_.vm.empty() || heldByPredecessor_ == held)
        return;
    heldByPredecessor_ = held;
    for (const auto& [id, info] : upstreams_) {
        if (!held.contains(id) && !sessions_.contains(id))
            openSession(info);
    }
    if (held.empty())
        predecessor_ = PeerId();
    progress();
}

void ShardServer::handlePredecessorGone() { handlePredecessorHolds({}); }

void ShardServer::retire()
{
    retiring_ = true;
    releaseIdle();
}

void ShardServer::releaseIdle()
{
    if (engine_.waitingTasks() > 0)
        return;
    const auto now = monotonicNow();
    std::erase_if(sessions_, [&](const auto& entry) {
        if (engine_.isBusy(entry.first))
            return false;
        engine_.removeUpstream(entry.first, now);
        entry.second->close();
        return true;
    });
}

std::vector<Shards::UpstreamId> ShardServer::heldUpstreams() const
{
    std::vector<Shards::UpstreamId> held;
    for (const auto& [id, session] : sessions_)
        held.push_back(id);
    return held;
}

void ShardServer::removeUpstream(const Shards::UpstreamId& id)
{
    if (upstreams_.erase(id) == 0)
        return;
    context_.log.event("upstream.removed", { { "upstream", id.value }, { "shard", name_.value } });
    engine_.removeUpstream(id, monotonicNow());
    progress();
}

void ShardServer::submit(const Submitter& submitter, Shards::JobSpec spec, Duration age, Duration patience,
    bool mayRedirect, OwnerAnswerCallback callback)
{
    const auto now = monotonicNow();
    if (retiring_ || abandoned_) {
        callback({ .kind = OwnerAnswer::Kind::NotOwner, .retryAfter = {}, .redirect = {} });
        return;
    }
    const auto forecast = engine_.forecast(spec, now - age, now);
    // Until the upstreams have reported there is nothing to forecast by; they do within a few round trips.
    const bool settling = now - startedAt_ < settlingTime;
    const auto decision = settling
        ? Shards::AdmissionDecision(Shards::AcceptJob {})
        : Shards::decideAdmission({ .job = spec,
            .forecast = forecast,
            .others = mayRedirect ? handlers_.otherShards() : std::vector<Shards::OtherShard> {},
            .now = now });
    const bool sampled = context_.log.samples(spec.id.value);
    const auto queueLabel = "queue=\"" + spec.queue.value + "\"";
    if (const auto* redirect = std::get_if<Shards::SendToShard>(&decision)) {
        context_.metrics.count("redirected", queueLabel);
        if (sampled)
            context_.log.event("job.redirected",
                { { "id", spec.id.value }, { "shard", name_.value }, { "to", redirect->shard.value },
                    { "forecast_ms",
                        toMs(forecast.endAt - now) < 1e9 ? static_cast<std::int64_t>(toMs(forecast.endAt - now))
                                                         : std::int64_t { -1 } } });
        callback({ .kind = OwnerAnswer::Kind::Redirected, .retryAfter = {}, .redirect = redirect->shard });
        return;
    }
    if (const auto* refuse = std::get_if<Shards::RefuseJob>(&decision)) {
        context_.metrics.count("refused", queueLabel);
        const auto load = engine_.load();
        context_.log.event("job.refused",
            { { "id", spec.id.value }, { "shard", name_.value }, { "queue", spec.queue.value },
                { "late_by_ms", static_cast<std::int64_t>(toMs(refuse->retryAfter)) },
                { "waiting_jobs", std::uint64_t { load.waitingJobs } },
                { "usable_upstreams", std::uint64_t { load.usableUpstreams } },
                { "free_millicores", load.freeMilliCores } });
        callback({ .kind = OwnerAnswer::Kind::Refused, .retryAfter = refuse->retryAfter, .redirect = {} });
        return;
    }
    const Shards::SubmissionId number { ++lastSubmission_ };
    if (sampled)
        context_.log.event("job.accepted",
            { { "id", spec.id.value }, { "shard", name_.value }, { "queue", spec.queue.value },
                { "forecast_ms", static_cast<std::int64_t>(toMs(forecast.endAt - now)) },
                { "objective_ms", static_cast<std::int64_t>(toMs(forecast.objectiveAt - now)) } });
    context_.metrics.count("accepted", queueLabel);
    open_[number] = { .submitter = submitter,
        .callback = std::move(callback),
        .job = spec.id,
        .queue = spec.queue.value,
        .acceptedAt = now };
    bySubmitter_[submitter] = number;
    engine_.submit(number, std::make_shared<const Shards::JobSpec>(std::move(spec)), now - age,
        patience > Duration::zero() ? now + patience : TimePoint::max());
    progress();
}

void ShardServer::cancel(const Submitter& submitter)
{
    const auto found = bySubmitter_.find(submitter);
    if (found == bySubmitter_.end())
        return;
    const auto number = found->second;
    bySubmitter_.erase(found);
    context_.metrics.count("cancelled");
    if (const auto open = open_.find(number); open != open_.end()) {
        if (context_.log.samples(open->second.job.value))
            context_.log.event("job.cancelled", { { "id", open->second.job.value }, { "shard", name_.value } });
        open_.erase(open);
    }
    engine_.cancel(number, monotonicNow());
    progress();
}

void ShardServer::cancelAllOf(const PeerLink& link)
{
    std::vector<Submitter> submitters;
    for (const auto& [submitter, number] : bySubmitter_) {
        if (submitter.link == &link)
            submitters.push_back(submitter);
    }
    for (const auto& submitter : submitters)
        cancel(submitter);
}

void ShardServer::abandon()
{
    abandoned_ = true;
    for (auto& [id, session] : sessions_)
        session->close();
    auto open = std::move(open_);
    open_.clear();
    bySubmitter_.clear();
    for (auto& [number, entry] : open)
        entry.callback({ .kind = OwnerAnswer::Kind::InDoubt, .retryAfter = {}, .redirect = {} });
}

void ShardServer::carryOut(const Shards::FinishJob& finished)
{
    const auto found = open_.find(finished.submission);
    if (found == open_.end())
        return;
    auto entry = std::move(found->second);
    open_.erase(found);
    bySubmitter_.erase(entry.submitter);
    const auto now = monotonicNow();
    const auto queueLabel = "queue=\"" + entry.queue + "\"";
    context_.metrics.count("finished", queueLabel + ",result=\"" + nameOf(finished.result) + "\"");
    context_.metrics.observeMs("job_time", queueLabel, toMs(now - entry.acceptedAt));
    context_.metrics.observeMs("job_wait", queueLabel, toMs(finished.waited));
    if (finished.result != Shards::JobResult::Completed || context_.log.samples(entry.job.value))
        context_.log.event("job.ended",
            { { "id", entry.job.value }, { "shard", name_.value }, { "result", nameOf(finished.result) },
                { "ms", static_cast<std::int64_t>(toMs(now - entry.acceptedAt)) },
                { "waited_ms", static_cast<std::int64_t>(toMs(finished.waited)) } });
    entry.callback({ .kind = answerKind(finished.result), .retryAfter = {}, .redirect = {} });
}

void ShardServer::carryOut(const Shards::ShardActions& actions)
{
    for (const auto& action : actions)
        std::visit([this](const auto& step) { carryOut(step); }, action);
}

void ShardServer::carryOut(const Shards::StartTask& start)
{
    if (context_.log.samples(start.task.job.value))
        context_.log.event("task.started",
            { { "id", start.task.job.value }, { "step", std::uint64_t { start.task.step } },
                { "index", std::uint64_t { start.task.index } }, { "run", start.run.value },
                { "upstream", start.upstream.value }, { "fence", epoch_.value } });
    if (auto* target = session(start.upstream))
        target->start(start);
}

void ShardServer::carryOut(const Shards::StopTask& stop)
{
    context_.log.event("task.stopped",
        { { "id", stop.task.job.value }, { "index", std::uint64_t { stop.task.index } }, { "run", stop.run.value },
            { "upstream", stop.upstream.value } });
    if (auto* target = session(stop.upstream))
        target->stop(stop);
}

void ShardServer::carryOut(const Shards::TaskFailed& failed)
{
    context_.metrics.count("task_failures");
    context_.log.event("task.failed",
        { { "id", failed.task.job.value }, { "index", std::uint64_t { failed.task.index } },
            { "run", failed.run.value }, { "upstream", failed.upstream.value },
            { "failures", std::uint64_t { failed.failures } }, { "allowed", std::uint64_t { failed.maxAttempts } } });
}

void ShardServer::carryOut(const Shards::UpstreamSuspected& suspected)
{
    context_.metrics.count("upstreams_suspected");
    context_.log.event("upstream.suspected",
        { { "upstream", suspected.upstream.value }, { "pause_ms", static_cast<std::int64_t>(toMs(suspected.pause)) } });
}

void ShardServer::progress()
{
    if (abandoned_)
        return;
    // Carrying out an action can bring the next event; the outermost call handles them all.
    if (progressing_) {
        progressAgain_ = true;
        return;
    }
    progressing_ = true;
    do {
        progressAgain_ = false;
        engine_.schedule(monotonicNow());
        const auto actions = engine_.takeActions();
        if (!actions.empty())
            progressAgain_ = true;
        carryOut(actions);
    } while (progressAgain_ && !abandoned_);
    progressing_ = false;
}

void ShardServer::advance()
{
    const auto now = monotonicNow();
    engine_.advance(now);
    const auto sessions = sessions_;
    for (const auto& [id, session] : sessions)
        session->advance(now);
    std::erase_if(sessions_, [this](const auto& entry) {
        const bool gone = !upstreams_.contains(entry.first) && !engine_.isBusy(entry.first);
        if (gone)
            entry.second->close();
        return gone;
    });
    progress();
    if (retiring_)
        releaseIdle();
}

} // namespace Balsammill
