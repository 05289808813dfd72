#include "SimulatedOwner.h"

#include "EngineFixture.h"

#include <algorithm>
#include <utility>

namespace Balsammill::Shards::Testing {

namespace {

constexpr int inheritedConfirmationTimeout = 300;
constexpr OriginId unconfirmedOrigin { std::numeric_limits<std::uint64_t>::max() };
constexpr OriginId localOrigin { unconfirmedOrigin.value - 1 };

} // namespace

SimulatedOwner::SimulatedOwner(SimulatedProcess& process, int shard, const ShardRecord& record, Handlers handlers)
    : process_(process)
    , shard_(shard)
    , record_(record)
    , startedAt_(process.now())
    , handlers_(std::move(handlers))
    , predecessor_(record.handedOverBy)
    , engine_(ShardEngine::Options { .stopGrace = milliseconds(SimulatedWorld::stopGraceMs) })
    , durable_(process, engine_, shard, record.epoch,
          { .schedulingNeeded = [this] { runScheduler(); },
              .fenced = [this] { handlers_.fenced(); },
              .opened = [this] { handleInheritedStateKnown(); } })
{
    engine_.delayInheritedUntil(
        predecessor_.empty() ? at(startedAt_ + SimulatedSession::maxLeaseLifetimeMs) : TimePoint::max());
    if (process.world.durableJobs)
        durable_.open();
    openSessions();
}

SimulatedOwner::~SimulatedOwner()
{
    for (auto& [id, session] : sessions_)
        session->close();
}

bool SimulatedOwner::inheritedStateKnown() const
{
    return predecessor_.empty() && (durable_.isOpen() || !process_.world.durableJobs);
}

void SimulatedOwner::handleInheritedStateKnown()
{
    if (!inheritedStateKnown())
        return;
    durable_.submitStarted(inheritedDurableJobs_);
    for (const auto& each : std::exchange(inheritedDurableJobs_, {})) {
        engine_.mergeProgress(each.key, each.progress, at(process_.now()));
        engine_.expectRuns(each.key, each.expected, at(process_.now() + SimulatedSession::maxLeaseLifetimeMs));
    }
    openSessions();
    runScheduler();
}

void SimulatedOwner::openSessions()
{
    if (!inheritedStateKnown())
        return;
    for (int i = 0; i < SimulatedWorld::upstreamsPerShard; ++i) {
        const auto upstream = shard_ * SimulatedWorld::upstreamsPerShard + i;
        const auto id = SimulatedWorld::upstreamId(upstream);
        engine_.updateUpstream(makeUpstream(id.value), at(process_.now()));
        sessions_[id] = std::make_shared<SimulatedSession>(process_, engine_, upstream, record_.epoch,
            SimulatedSession::Handlers {
                .schedulingNeeded = [this] { runScheduler(); }, .fenced = [this] { handlers_.fenced(); } });
        sessions_[id]->advance();
    }
}

OriginId SimulatedOwner::originInForce(OriginId origin) const
{
    return process_.world.confirmation == Confirmation::On ? origin : OriginId();
}

SubmissionId SimulatedOwner::addSubmission(const SimulatedSubmitter& submitter, const SimulatedLink* link)
{
    const SubmissionId number { ++lastSubmission_ };
    submissions_[number] = { .submitter = submitter, .link = link == nullptr ? 0 : link->id };
    bySubmitter_[submitter] = number;
    return number;
}

OriginId SimulatedOwner::addOrigin(const std::shared_ptr<SimulatedLink>& link)
{
    originLinks_.try_emplace(link->id, link);
    engine_.confirmOrigin(OriginId(link->id), at(link->confirmedAt));
    return originInForce(OriginId(link->id));
}

void SimulatedOwner::confirmOrigins()
{
    if (process_.isSettled())
        engine_.confirmOrigin(localOrigin, at(process_.now()));
    for (const auto& [id, weak] : originLinks_) {
        if (const auto link = weak.lock())
            engine_.confirmOrigin(OriginId(id), at(link->confirmedAt));
    }
}

void SimulatedOwner::submit(
    const SimulatedSubmitter& submitter, const std::shared_ptr<SimulatedLink>& link, std::shared_ptr<const JobSpec> job)
{
    if (abandoned_) {
        handlers_.answer(submitter, OwnerResult::NotOwner);
        return;
    }
    process_.world.trace(job->id,
        "submitted to shard " + std::to_string(shard_) + " at " + std::to_string(process_.key.place) + " by "
            + std::to_string(submitter.process.place) + "/" + std::to_string(submitter.number));
    const auto number = addSubmission(submitter, link.get());
    engine_.submit(number, std::move(job), at(process_.now()), TimePoint::max(),
        link == nullptr ? originInForce(localOrigin) : addOrigin(link));
    runScheduler();
}

void SimulatedOwner::cancel(const SimulatedSubmitter& submitter)
{
    removeSubmission(submitter);
    runScheduler();
}

void SimulatedOwner::removeSubmission(const SimulatedSubmitter& submitter)
{
    unconfirmed_.erase(submitter);
    const auto found = bySubmitter_.find(submitter);
    if (found == bySubmitter_.end())
        return;
    const auto number = found->second;
    bySubmitter_.erase(found);
    submissions_.erase(number);
    engine_.cancel(number, at(process_.now()));
}

void SimulatedOwner::cancelAllFrom(const SimulatedLink& link)
{
    std::vector<SimulatedSubmitter> submitters;
    for (const auto& [number, open] : submissions_) {
        if (open.link == link.id)
            submitters.push_back(open.submitter);
    }
    for (const auto& each : submitters)
        removeSubmission(each);
    if (originLinks_.erase(link.id) > 0)
        engine_.forgetOrigin(OriginId(link.id));
    if (!submitters.empty())
        runScheduler();
}

void SimulatedOwner::takeOver(const SimulatedHandOver& handOver)
{
    if (predecessor_.empty())
        return;
    const auto leasesExpireAt = at(process_.now() + SimulatedSession::maxLeaseLifetimeMs);
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
    predecessor_ = {};
    engine_.delayInheritedUntil(at(process_.now()) + std::max(Duration(), handOver.unreportedRunsExpireIn));
    handleInheritedStateKnown();
}

void SimulatedOwner::adoptSubmission(const SimulatedHandOver::Job& inherited)
{
    auto submitter = inherited.origin;
    const bool local = submitter.process == process_.key;
    if (local && !handlers_.holdsRequest(submitter.number))
        return;
    if (local)
        submitter.process = {};
    process_.world.trace(inherited.job.key.job, "inherited at " + std::to_string(process_.key.place));
    const auto number = addSubmission(submitter, nullptr);
    if (!engine_.importJob(number, inherited.job, originInForce(local ? localOrigin : unconfirmedOrigin))) {
        submissions_.erase(number);
        bySubmitter_.erase(submitter);
        handlers_.answer(submitter, OwnerResult::InDoubt);
        return;
    }
    if (process_.world.confirmation == Confirmation::Off)
        return;
    if (!local)
        unconfirmed_[submitter] = process_.now() + inheritedConfirmationTimeout;
    handlers_.requestConfirmation(inherited.origin);
}

bool SimulatedOwner::confirm(const SimulatedSubmitter& submitter, const std::shared_ptr<SimulatedLink>& link)
{
    const auto found = bySubmitter_.find(submitter);
    if (found == bySubmitter_.end())
        return false;
    process_.world.confirmedAfterHandOver += unconfirmed_.erase(submitter);
    submissions_.at(found->second).link = link->id;
    engine_.setOrigin(found->second, addOrigin(link));
    runScheduler();
    return true;
}

void SimulatedOwner::checkUnconfirmed()
{
    const auto unconfirmed = unconfirmed_;
    for (const auto& [submitter, cancelAt] : unconfirmed) {
        if (process_.now() < cancelAt) {
            handlers_.requestConfirmation(submitter);
            continue;
        }
        removeSubmission(submitter);
        handlers_.answer(submitter, OwnerResult::InDoubt);
    }
}

void SimulatedOwner::handlePredecessorGone()
{
    if (predecessor_.empty())
        return;
    predecessor_ = {};
    engine_.delayInheritedUntil(at(process_.now() + SimulatedSession::maxLeaseLifetimeMs));
    handleInheritedStateKnown();
}

SimulatedHandOver SimulatedOwner::handOver()
{
    const auto now = at(process_.now());
    const auto allLeasesExpireAt = at(process_.now() + SimulatedSession::maxLeaseLifetimeMs);
    SimulatedHandOver result { .shard = shard_,
        .epoch = record_.epoch,
        .settledUpstreams = engine_.settledUpstreams(),
        .unreportedRunsExpireIn = std::min(engine_.inheritedDelayedUntil(), allLeasesExpireAt) - now };
    for (auto& job : engine_.exportJobs()) {
        SimulatedHandOver::Job each { .job = std::move(job), .origin = {} };
        if (const auto found = submissions_.find(each.job.submission); found != submissions_.end()) {
            each.origin = found->second.submitter;
            if (each.origin.process.empty())
                each.origin.process = process_.key;
        }
        result.jobs.push_back(std::move(each));
    }
    for (auto& job : inheritedDurableJobs_)
        result.jobs.push_back({ .job = std::move(job), .origin = {} });
    abandoned_ = true;
    durable_.close();
    for (auto& [id, session] : sessions_)
        session->close();
    submissions_.clear();
    bySubmitter_.clear();
    return result;
}

void SimulatedOwner::abandon()
{
    abandoned_ = true;
    durable_.close();
    for (auto& [id, session] : sessions_)
        session->close();
    const auto open = std::move(submissions_);
    submissions_.clear();
    bySubmitter_.clear();
    for (const auto& [number, each] : open)
        handlers_.answer(each.submitter, OwnerResult::InDoubt);
}

void SimulatedOwner::execute(const ShardAction& action)
{
    if (const auto* start = std::get_if<StartTask>(&action)) {
        if (start->job->durable) {
            process_.world.noteDurableStart(*start);
            durable_.recordStarted(start->task.job);
        }
        sessions_.at(start->upstream)->start(*start);
    } else if (const auto* stop = std::get_if<StopTask>(&action)) {
        process_.world.trace(stop->task.job, "stop by " + std::to_string(process_.key.place));
        sessions_.at(stop->upstream)->stop(*stop);
    } else if (const auto* adopted = std::get_if<TaskAdopted>(&action)) {
        durable_.recordStarted(adopted->task.job);
    } else if (const auto* changed = std::get_if<ProgressChanged>(&action)) {
        durable_.recordProgress(*changed);
    } else if (const auto* finished = std::get_if<FinishJob>(&action)) {
        if (finished->submission == SubmissionId()) {
            durable_.recordFinished(*finished);
            return;
        }
        const auto found = submissions_.find(finished->submission);
        if (found == submissions_.end())
            return;
        const auto submitter = found->second.submitter;
        submissions_.erase(found);
        bySubmitter_.erase(submitter);
        unconfirmed_.erase(submitter);
        auto result = OwnerResult::Ended;
        if (finished->result == JobResult::NotRun)
            result = OwnerResult::Refused;
        else if (finished->result == JobResult::Superseded)
            result = OwnerResult::InDoubt;
        handlers_.answer(submitter, result);
    }
}

void SimulatedOwner::runScheduler()
{
    if (abandoned_)
        return;
    if (scheduling_) {
        scheduleAgain_ = true;
        return;
    }
    scheduling_ = true;
    confirmOrigins();
    do {
        scheduleAgain_ = false;
        engine_.schedule(at(process_.now()));
        for (const auto& action : engine_.takeActions()) {
            scheduleAgain_ = true;
            execute(action);
        }
    } while (scheduleAgain_ && !abandoned_);
    scheduling_ = false;
    durable_.write();
}

void SimulatedOwner::advance()
{
    checkUnconfirmed();
    engine_.advance(at(process_.now()));
    durable_.advance();
    for (const auto& [id, session] : sessions_)
        session->advance();
    runScheduler();
}

} // namespace Balsammill::Shards::Testing
