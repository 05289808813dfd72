#include "ShardServer.h"

#include "TimeBudgets.h"
#include "ownership/ShardDirectory.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace Balsammill {

namespace {

// Time for reading the registrations and the first reports, and for stopping runs left by an earlier owner.
constexpr Duration startupPeriod = std::chrono::milliseconds(250);

// Origin of inherited submissions until they are confirmed. It is never confirmed itself.
constexpr Shards::OriginId unconfirmedOrigin { std::numeric_limits<std::uint64_t>::max() };

// Origin of submissions of this process.
constexpr Shards::OriginId localOrigin { unconfirmedOrigin.value - 1 };

Shards::OriginId originOf(LinkId link) { return Shards::OriginId(link.value); }

// Forecast time to completion in milliseconds, for the log; -1 if no known upstream can run the job.
std::int64_t forecastMs(const Shards::JobForecast& forecast, TimePoint now)
{
    return forecast.endAt == TimePoint::max() ? -1 : static_cast<std::int64_t>(toMs(forecast.endAt - now));
}

} // namespace

ShardServer::ShardServer(NodeContext& context, Platform::Store& store, const Options& options, Handlers handlers)
    : context_(context)
    , name_(options.name)
    , epoch_(options.epoch)
    , startedAt_(monotonicNow())
    , handlers_(std::move(handlers))
    , engine_(Shards::ShardEngine::Options { .stopGrace = context.settings.stopGrace,
          .confirmationTimeout = confirmationTimeout,
          .clientResendDelay = context.settings.clientResendDelay })
    , durable_(context, store, engine_, options.name, options.epoch, options.hasDurableJobs,
          DurableJobs::Handlers { .schedulingNeeded = [this] { runScheduler(); },
              .fenced = [this] { handleFenced(); },
              .firstDurableJob = [this] { handlers_.recordDurableJobs(); },
              .opened = [this] { handleInheritedStateKnown(); } })
    , advisor_(context)
    , predecessor_(options.predecessor)
    , alive_(std::make_shared<bool>(true))
{
    // A live predecessor reports its runs when it hands the shard over. A lost one may have started unknown tasks,
    // whose leases all expire within maxLeaseLifetime().
    engine_.delayInheritedUntil(
        predecessor_.vm.empty() ? startedAt_ + UpstreamLeases::maxLifetime(context.settings) : TimePoint::max());
    confirmOwnership(options.ownershipConfirmedAt);
    if (inheritedStateKnown())
        inheritedStateKnownAt_ = startedAt_;
    updateEvacuation();
    durable_.start();
}

void ShardServer::updateEvacuation()
{
    engine_.holdStarts(!context_.evacuations.isKnown());
    engine_.setEvacuation(context_.evacuations.noStartsFrom(ShardDirectory::domainOf(name_)));
}

ShardServer::~ShardServer()
{
    *alive_ = false;
    for (auto& [id, session] : sessions_)
        session->close();
}

void ShardServer::confirmOwnership(TimePoint sentAt)
{
    ownershipValidUntil_ = std::max(ownershipValidUntil_, sentAt + Shards::ownershipValidity);
    engine_.setOwnershipValidUntil(ownershipValidUntil_);
    if (std::exchange(ownershipExpiryLogged_, false))
        context_.log.event("shard.ownership_confirmed", { { "shard", name_.value }, { "epoch", epoch_.value } });
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
    const bool startsDraining = info.draining && !known.draining;
    known = info;
    if (startsDraining)
        context_.log.event("upstream.draining", { { "upstream", info.id.value }, { "shard", name_.value } });
    if (const auto found = sessions_.find(info.id); moved && found != sessions_.end()) {
        found->second->close();
        sessions_.erase(found);
        engine_.handleLeaseExpired(info.id, now);
    }
    if (!inheritedStateKnown())
        return;
    openSession(info);
    runScheduler();
}

void ShardServer::handleFenced()
{
    // Posted because the handler destroys this object, which the caller still uses.
    boost::asio::post(context_.loop, [this, alive = alive_] {
        if (*alive)
            handlers_.fenced();
    });
}

void ShardServer::openAllSessions()
{
    if (!inheritedStateKnown())
        return;
    for (const auto& [id, info] : upstreams_) {
        if (!sessions_.contains(id))
            openSession(info);
    }
}

bool ShardServer::inheritedStateKnown() const { return durable_.inheritedJobsLoaded() && predecessor_.vm.empty(); }

void ShardServer::openSession(const Shards::UpstreamInfo& info)
{
    const auto now = monotonicNow();
    engine_.updateUpstream(info, now);
    if (!sessions_.contains(info.id)) {
        auto opened = std::make_shared<UpstreamSession>(context_, engine_, info, epoch_,
            UpstreamSession::Handlers {
                .schedulingNeeded = [this] { runScheduler(); }, .fenced = [this] { handleFenced(); } });
        sessions_[info.id] = opened;
        opened->advance(now);
    }
}

void ShardServer::takeOver(const HandOver& handOver)
{
    if (predecessor_.vm.empty())
        return;
    const auto now = monotonicNow();
    const auto leasesExpireAt = now + UpstreamLeases::maxLifetime(context_.settings);
    engine_.adoptLearned(handOver.learned);
    for (const auto& id : handOver.settledUpstreams)
        engine_.confirmOnFirstReport(id);
    for (const auto& each : handOver.jobs) {
        if (each.job.spec == nullptr) {
            inheritedDurableJobs_.push_back(each.job);
            continue;
        }
        adoptSubmission(each);
        engine_.expectRuns(each.job.key, each.job.expected, leasesExpireAt);
    }
    predecessor_ = PeerId();
    // The predecessor has listed all its runs. Any run that it did not know about ends by unreportedRunsExpireAt.
    engine_.delayInheritedUntil(std::max(now, handOver.unreportedRunsExpireAt));
    context_.log.event("shard.taken_over",
        { { "shard", name_.value }, { "epoch", epoch_.value }, { "jobs", std::uint64_t { handOver.jobs.size() } } });
    handleInheritedStateKnown();
}

void ShardServer::adoptSubmission(const HandOver::Job& inherited)
{
    const PeerId self { .vm = context_.settings.vm, .incarnation = context_.incarnation };
    auto origin = inherited.origin;
    const bool local = origin.peer == self;
    if (local && !handlers_.holdsRequest(origin.number)) {
        context_.log.event("job.dropped", { { "id", inherited.job.key.job.value }, { "shard", name_.value } });
        return;
    }
    if (local)
        origin.peer = PeerId();
    const auto number = addSubmission(origin, nullptr, inherited.job.key.job, inherited.job.spec->queue,
        [this, origin](const OwnerAnswer& result) { handlers_.answer(origin, result); });
    if (!engine_.importJob(number, inherited.job, local ? localOrigin : unconfirmedOrigin)) {
        // The client has already submitted the job again, to this owner.
        openSubmissions_.erase(number);
        bySubmitter_.erase(origin);
        handlers_.answer(origin, { .kind = OwnerAnswer::Kind::InDoubt });
        return;
    }
    if (!local)
        unconfirmed_[origin] = monotonicNow() + inheritedConfirmationTimeout;
    // A local request must not be judged by the connection to the former owner any more.
    handlers_.requestConfirmation(local ? inherited.origin : origin);
}

bool ShardServer::confirm(const Submitter& submitter, const PeerLink& link, OwnerAnswerCallback callback)
{
    const auto found = bySubmitter_.find(submitter);
    if (found == bySubmitter_.end())
        return false;
    unconfirmed_.erase(submitter);
    auto& open = openSubmissions_.at(found->second);
    open.link = link.id();
    open.callback = std::move(callback);
    engine_.setOrigin(found->second, addOrigin(link));
    runScheduler();
    return true;
}

void ShardServer::checkUnconfirmed(TimePoint now)
{
    const auto unconfirmed = unconfirmed_;
    for (const auto& [submitter, cancelAt] : unconfirmed) {
        if (now < cancelAt) {
            handlers_.requestConfirmation(submitter);
            continue;
        }
        removeAll({ submitter }, submitter.peer, "not_confirmed");
        handlers_.answer(submitter, { .kind = OwnerAnswer::Kind::InDoubt });
    }
}

void ShardServer::handleInheritedStateKnown()
{
    if (!inheritedStateKnown())
        return;
    inheritedStateKnownAt_ = std::min(inheritedStateKnownAt_, monotonicNow());
    const auto leasesExpireAt = monotonicNow() + UpstreamLeases::maxLifetime(context_.settings);
    // A run of an occurrence that the engine does not have counts as one of a job that has ended.
    durable_.submitStarted(inheritedDurableJobs_);
    for (const auto& inherited : inheritedDurableJobs_) {
        engine_.mergeProgress(inherited.key, inherited.progress, monotonicNow());
        engine_.expectRuns(inherited.key, inherited.expected, leasesExpireAt);
    }
    inheritedDurableJobs_.clear();
    openAllSessions();
    runScheduler();
}

void ShardServer::handlePredecessorGone()
{
    if (predecessor_.vm.empty())
        return;
    context_.log.event("shard.predecessor_gone", { { "shard", name_.value }, { "vm", predecessor_.vm.value } });
    predecessor_ = PeerId();
    engine_.delayInheritedUntil(monotonicNow() + UpstreamLeases::maxLifetime(context_.settings));
    handleInheritedStateKnown();
}

HandOver ShardServer::handOver()
{
    // A predecessor that has not sent its state yet has stopped granting leases by now.
    const auto allLeasesExpireAt = monotonicNow() + UpstreamLeases::maxLifetime(context_.settings);
    HandOver result { .shard = name_,
        .epoch = epoch_,
        .learned = engine_.learned(),
        .settledUpstreams = engine_.settledUpstreams(),
        .unreportedRunsExpireAt = std::min(engine_.inheritedDelayedUntil(), allLeasesExpireAt) };
    const PeerId self { .vm = context_.settings.vm, .incarnation = context_.incarnation };
    for (auto& job : engine_.exportJobs()) {
        HandOver::Job each { .job = std::move(job) };
        if (const auto found = openSubmissions_.find(each.job.submission); found != openSubmissions_.end()) {
            each.origin = found->second.submitter;
            if (each.origin.peer.vm.empty())
                each.origin.peer = self;
        }
        result.jobs.push_back(std::move(each));
    }
    // The engine has no durable jobs before the journal is read. What the predecessor has told is passed on.
    for (auto& job : inheritedDurableJobs_)
        result.jobs.push_back({ .job = std::move(job) });
    abandoned_ = true;
    durable_.close();
    for (auto& [id, session] : sessions_)
        session->close();
    openSubmissions_.clear();
    bySubmitter_.clear();
    return result;
}

void ShardServer::removeUpstream(const Shards::UpstreamId& id)
{
    if (upstreams_.erase(id) == 0)
        return;
    context_.log.event("upstream.removed", { { "upstream", id.value }, { "shard", name_.value } });
    engine_.removeUpstream(id, monotonicNow());
    runScheduler();
}

void ShardServer::submit(const Submitter& submitter, const PeerLink* link, Shards::JobSpec spec, Duration age,
    Duration timeout, bool mayRedirect, OwnerAnswerCallback callback)
{
    const auto now = monotonicNow();
    if (abandoned_) {
        callback({ .kind = OwnerAnswer::Kind::NotOwner });
        return;
    }
    if (spec.durable && !durable_.inheritedJobsLoaded()) {
        deferDurable(submitter, std::move(spec), age, std::move(callback));
        return;
    }
    if (spec.durable && !mayActOnDurableJobs()) {
        callback({ .kind = OwnerAnswer::Kind::Unavailable });
        return;
    }
    if (spec.durable && durable_.knows(spec.id)) {
        submitDurable(std::move(spec), std::move(callback));
        return;
    }
    const auto forecast = engine_.forecast(spec, now - age, now);
    const auto decision = admit(spec, forecast, mayRedirect);
    const bool sampled = context_.log.isSampled(spec.id.value);
    const auto queueLabel = "queue=\"" + spec.queue.value + "\"";
    if (const auto* redirect = std::get_if<Shards::RedirectToShard>(&decision)) {
        context_.metrics.add("balsammill_redirected_total", queueLabel);
        if (sampled)
            context_.log.event("job.redirected",
                { { "id", spec.id.value }, { "shard", name_.value }, { "to", redirect->shard.value },
                    { "forecast_ms", forecastMs(forecast, now) } });
        callback({ .kind = OwnerAnswer::Kind::Redirected, .retryAfter = {}, .redirect = redirect->shard });
        return;
    }
    if (const auto* refuse = std::get_if<Shards::RefuseJob>(&decision)) {
        context_.metrics.add("balsammill_refused_total", queueLabel);
        const auto load = engine_.load(now);
        context_.log.event("job.refused",
            { { "id", spec.id.value }, { "shard", name_.value }, { "queue", spec.queue.value },
                { "forecast_ms", forecastMs(forecast, now) },
                { "objective_ms", static_cast<std::int64_t>(toMs(forecast.objectiveAt - now)) },
                { "work_core_ms", static_cast<std::int64_t>(toMs(forecast.ownWork)) },
                { "displaced_core_ms", static_cast<std::int64_t>(toMs(forecast.displacedWork)) },
                { "retry_after_ms", static_cast<std::int64_t>(toMs(refuse->retryAfter)) },
                { "waiting_jobs", std::uint64_t { load.waitingJobs } },
                { "usable_upstreams", std::uint64_t { load.usableUpstreams } },
                { "free_millicores", load.freeMilliCores } });
        callback({ .kind = OwnerAnswer::Kind::Refused, .retryAfter = refuse->retryAfter, .redirect = {} });
        return;
    }
    if (spec.durable) {
        submitDurable(std::move(spec), std::move(callback));
        return;
    }
    if (sampled)
        context_.log.event("job.accepted",
            { { "id", spec.id.value }, { "shard", name_.value }, { "queue", spec.queue.value },
                { "forecast_ms", forecastMs(forecast, now) },
                { "objective_ms", static_cast<std::int64_t>(toMs(forecast.objectiveAt - now)) } });
    context_.metrics.add("balsammill_accepted_total", queueLabel);
    const auto number = addSubmission(submitter, link, spec.id, spec.queue, std::move(callback));
    engine_.submit(number, std::make_shared<const Shards::JobSpec>(std::move(spec)), now - age,
        timeout > Duration::zero() ? now + timeout : TimePoint::max(),
        link == nullptr ? localOrigin : addOrigin(*link));
    runScheduler();
}

Shards::OriginId ShardServer::addOrigin(const PeerLink& link)
{
    originLinks_.try_emplace(link.id(), link.weak_from_this());
    engine_.confirmOrigin(originOf(link.id()), link.confirmedAt());
    return originOf(link.id());
}

void ShardServer::confirmOrigins()
{
    // The end of a client's connection is read at once, unless this process was not running. A pause of up to the
    // threshold is not noticed.
    if (const auto now = monotonicNow(); context_.stall.isSettled(now))
        engine_.confirmOrigin(localOrigin, now - stallThreshold);
    for (const auto& [id, weak] : originLinks_) {
        if (const auto link = weak.lock())
            engine_.confirmOrigin(originOf(id), link->confirmedAt());
    }
}

Shards::SubmissionId ShardServer::addSubmission(const Submitter& submitter, const PeerLink* link, const JobId& job,
    const Shards::QueueName& queue, OwnerAnswerCallback callback)
{
    const Shards::SubmissionId number { ++lastSubmission_ };
    openSubmissions_[number] = { .submitter = submitter,
        .link = link == nullptr ? LinkId() : link->id(),
        .callback = std::move(callback),
        .job = job,
        .queue = queue.value,
        .acceptedAt = monotonicNow() };
    bySubmitter_[submitter] = number;
    return number;
}

Shards::AdmissionDecision ShardServer::admit(
    const Shards::JobSpec& spec, const Shards::JobForecast& forecast, bool mayRedirect) const
{
    const auto now = monotonicNow();
    // A forecast needs the reports of most upstreams, which arrive within a few round trips.
    const bool mostReported = engine_.load().usableUpstreams * 4 >= upstreams_.size() * 3;
    // Sessions are opened after the journal has been read, which takes long when the store is slow.
    const bool starting
        = now < startedAt_ + startupPeriod || (spec.durable && now - startupPeriod < inheritedStateKnownAt_);
    if (starting && !forecast.evacuated && (!mostReported || upstreams_.empty()))
        return Shards::AcceptJob {};
    // Long-running and scheduled jobs have no completion forecast; they only have to be placeable.
    const bool withoutForecast = spec.longRunning || spec.schedule;
    if (withoutForecast && !forecast.impossible)
        return Shards::AcceptJob {};
    // A durable job must stay in its home shard, where later requests look for it.
    const bool canMove = mayRedirect && !spec.durable;
    return Shards::decideAdmission({ .job = spec,
        .forecast = forecast,
        .others = canMove ? handlers_.otherShards() : std::vector<Shards::OtherShard> {},
        .now = now });
}

void ShardServer::deferDurable(
    const Submitter& submitter, Shards::JobSpec spec, Duration age, OwnerAnswerCallback callback)
{
    const auto arrivedAt = monotonicNow() - age;
    durable_.runWhenInheritedJobsLoaded(
        [this, submitter, spec = std::move(spec), arrivedAt, callback = std::move(callback)](bool loaded) {
            if (loaded)
                submit(submitter, nullptr, spec, monotonicNow() - arrivedAt, Duration::zero(), false, callback);
            else
                callback({ .kind = OwnerAnswer::Kind::Unavailable });
        });
}

void ShardServer::query(const JobId& id, OwnerAnswerCallback callback)
{
    if (mayActOnDurableJobs())
        durable_.query(id, std::move(callback));
    else
        callback({ .kind = OwnerAnswer::Kind::Unavailable });
}

void ShardServer::cancelJob(const JobId& id, OwnerAnswerCallback callback)
{
    if (mayActOnDurableJobs())
        durable_.cancel(id, std::move(callback));
    else
        callback({ .kind = OwnerAnswer::Kind::Unavailable });
}

void ShardServer::submitDurable(Shards::JobSpec spec, OwnerAnswerCallback callback)
{
    const auto receivedAt = monotonicNow();
    const auto id = spec.id;
    const auto queueLabel = "queue=\"" + spec.queue.value + "\"";
    durable_.submit(std::make_shared<const Shards::JobSpec>(std::move(spec)),
        [this, alive = alive_, id, queueLabel, receivedAt, callback = std::move(callback)](const OwnerAnswer& result) {
            if (*alive && result.kind == OwnerAnswer::Kind::Accepted) {
                const auto took = toMs(monotonicNow() - receivedAt);
                context_.metrics.add("balsammill_accepted_total", queueLabel);
                context_.metrics.observe("balsammill_store_time_ms", queueLabel, took);
                if (context_.log.isSampled(id.value))
                    context_.log.event("job.stored",
                        { { "id", id.value }, { "shard", name_.value }, { "ms", static_cast<std::int64_t>(took) } });
            }
            callback(result);
        });
}

void ShardServer::cancel(const Submitter& submitter)
{
    removeSubmission(submitter);
    runScheduler();
}

void ShardServer::removeSubmission(const Submitter& submitter)
{
    unconfirmed_.erase(submitter);
    const auto found = bySubmitter_.find(submitter);
    if (found == bySubmitter_.end())
        return;
    const auto number = found->second;
    bySubmitter_.erase(found);
    context_.metrics.add("balsammill_cancelled_total");
    if (const auto open = openSubmissions_.find(number); open != openSubmissions_.end()) {
        if (context_.log.isSampled(open->second.job.value))
            context_.log.event("job.cancelled", { { "id", open->second.job.value }, { "shard", name_.value } });
        openSubmissions_.erase(open);
    }
    engine_.cancel(number, monotonicNow());
}

void ShardServer::cancelAllFrom(const PeerLink& link)
{
    std::vector<Submitter> submitters;
    for (const auto& [number, open] : openSubmissions_) {
        if (open.link == link.id())
            submitters.push_back(open.submitter);
    }
    removeAll(submitters, link.peer(), "connection_closed");
    if (originLinks_.erase(link.id()) > 0)
        engine_.forgetOrigin(originOf(link.id()));
    if (!submitters.empty())
        runScheduler();
}

void ShardServer::removeAll(const std::vector<Submitter>& submitters, const PeerId& origin, std::string_view reason)
{
    if (submitters.empty())
        return;
    context_.log.event("shard.submitter_lost",
        { { "shard", name_.value }, { "epoch", epoch_.value }, { "peer", origin.vm.value }, { "reason", reason },
            { "jobs", std::uint64_t { submitters.size() } } });
    for (const auto& submitter : submitters)
        removeSubmission(submitter);
}

void ShardServer::abandon()
{
    abandoned_ = true;
    durable_.close();
    for (auto& [id, session] : sessions_)
        session->close();
    auto open = std::move(openSubmissions_);
    openSubmissions_.clear();
    bySubmitter_.clear();
    for (auto& [number, entry] : open)
        entry.callback({ .kind = OwnerAnswer::Kind::InDoubt, .retryAfter = {}, .redirect = {} });
}

void ShardServer::runScheduler()
{
    if (abandoned_)
        return;
    // Executing an action can cause a nested call; the outermost call handles the resulting events.
    if (scheduling_) {
        scheduleAgain_ = true;
        return;
    }
    scheduling_ = true;
    confirmOrigins();
    do {
        scheduleAgain_ = false;
        engine_.schedule(monotonicNow());
        const auto actions = engine_.takeActions();
        if (!actions.empty())
            scheduleAgain_ = true;
        execute(actions);
    } while (scheduleAgain_ && !abandoned_);
    scheduling_ = false;
    if (!abandoned_)
        durable_.write();
}

void ShardServer::advance()
{
    const auto now = monotonicNow();
    if (!mayActOnDurableJobs() && !std::exchange(ownershipExpiryLogged_, true))
        context_.log.event("shard.ownership_unconfirmed",
            { { "shard", name_.value }, { "epoch", epoch_.value },
                { "confirmed_ms_ago",
                    static_cast<std::int64_t>(toMs(now - (ownershipValidUntil_ - Shards::ownershipValidity))) } });
    checkUnconfirmed(now);
    updateEvacuation();
    engine_.advance(now);
    reportInterference();
    durable_.advance();
    const auto sessions = sessions_;
    for (const auto& [id, session] : sessions)
        session->advance(now);
    std::erase_if(sessions_, [this](const auto& entry) {
        const bool unused = !upstreams_.contains(entry.first) && !engine_.isBusy(entry.first);
        if (unused)
            entry.second->close();
        return unused;
    });
    runScheduler();
}

} // namespace Balsammill
