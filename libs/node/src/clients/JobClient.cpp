#include "JobClient.h"

#include "JobMessageCodec.h"
#include "TimeBudgets.h"

#include "balsammill/base/StableHash.h"
#include "balsammill/internal/shard.pb.h"
#include "balsammill/shards/ShardSelection.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace Balsammill {

namespace {

// Number of owners that a job is sent to before it is refused; each attempt costs a round trip.
constexpr unsigned maxAttempts = 4;
// Retry-after value for clients while no owner can be reached; a takeover completes within this time.
constexpr Duration noOwnerRetryAfter = std::chrono::seconds(2);
// How long a request about a durable job waits for a reachable owner of its shard; long enough for a planned handover.
constexpr Duration homeShardTimeout = std::chrono::milliseconds(700);

// Longest time for which a job can wait for an owner and still meet its objective, given its declared run times.
Duration maxOwnerWait(const Shards::JobSpec& spec)
{
    Duration declaredRunTime {};
    for (const auto& step : spec.steps)
        declaredRunTime += step.estimate;
    return spec.targetOverhead
        + Duration(static_cast<Duration::rep>((spec.stretch - 1) * static_cast<double>(declaredRunTime.count())));
}

} // namespace

JobClient::JobClient(NodeContext& context, PeerNetwork& peers, ShardDirectory& directory, ShardOwnership& ownership)
    : context_(context)
    , peers_(peers)
    , directory_(directory)
    , ownership_(ownership)
{
}

RequestNumber JobClient::add(Request request)
{
    const RequestNumber number { ++lastRequest_ };
    request.arrivedAt = monotonicNow();
    requests_[number] = std::move(request);
    dispatch(number);
    return number;
}

RequestNumber JobClient::submit(Shards::JobSpec spec, TimePoint responseDeadline, JobAnswerCallback callback)
{
    const auto ownerWaitDeadline = std::min(monotonicNow() + maxOwnerWait(spec), responseDeadline);
    return add({ .operation = Submission { .spec = std::move(spec) },
        .callback = std::move(callback),
        .responseDeadline = responseDeadline,
        .ownerWaitDeadline = ownerWaitDeadline });
}

RequestNumber JobClient::query(const JobId& job, TimePoint responseDeadline, JobAnswerCallback callback)
{
    return add({ .operation = JobQuery { .job = job },
        .callback = std::move(callback),
        .responseDeadline = responseDeadline });
}

RequestNumber JobClient::cancelJob(const JobId& job, TimePoint responseDeadline, JobAnswerCallback callback)
{
    return add({ .operation = JobQuery { .job = job, .cancel = true },
        .callback = std::move(callback),
        .responseDeadline = responseDeadline });
}

const JobId& JobClient::jobIdOf(const Request& request)
{
    if (const auto* submission = std::get_if<Submission>(&request.operation))
        return submission->spec.id;
    return std::get<JobQuery>(request.operation).job;
}

bool JobClient::hasHomeShard(const Request& request)
{
    const auto* submission = std::get_if<Submission>(&request.operation);
    return submission == nullptr || submission->spec.durable;
}

std::optional<JobClient::Target> JobClient::findTarget(const Shards::ShardName& name) const
{
    if (auto* local = ownership_.serverOf(name))
        return Target { .shard = name, .link = nullptr, .local = local };
    const auto* owner = directory_.find(name);
    if (owner == nullptr || owner->released || peers_.stateOf(owner->address) != Shards::PeerState::Connected)
        return std::nullopt;
    auto link = peers_.linkTo(owner->address, monotonicNow());
    if (!link)
        return std::nullopt;
    return Target { .shard = name, .link = std::move(link), .local = nullptr };
}

std::optional<JobClient::Target> JobClient::chooseTarget(const Request& request) const
{
    std::vector<Target> targets;
    std::vector<Shards::ShardCandidate> candidates;
    for (const auto& [name, owner] : directory_.owners()) {
        if (std::find(request.triedShards.begin(), request.triedShards.end(), name) != request.triedShards.end())
            continue;
        auto target = findTarget(name);
        if (!target)
            continue;
        const auto domain = ShardDirectory::domainOf(name);
        const auto* status = directory_.statusOf(name);
        candidates.push_back({ .name = name,
            .home = domain == context_.settings.domain,
            .evacuated = context_.evacuations.contains(domain),
            .freeMilliCores = status == nullptr ? 0 : status->freeMilliCores });
        targets.push_back(std::move(*target));
    }
    const auto chosen = Shards::chooseShard(
        candidates, context_.evacuations.contains(context_.settings.domain), stableHash(jobIdOf(request).value));
    return chosen ? std::optional(targets[*chosen]) : std::nullopt;
}

void JobClient::dispatch(RequestNumber number)
{
    auto& request = requests_.at(number);
    if (hasHomeShard(request)) {
        dispatchToHomeShard(number);
        return;
    }
    // The client may have closed the connection while this process was not running.
    const bool maySubmit = context_.stall.isSettled(monotonicNow());
    std::optional<Target> target;
    if (maySubmit && !request.shard.empty())
        target = findTarget(request.shard);
    if (maySubmit && !target && request.attempts < maxAttempts)
        target = chooseTarget(request);
    if (!target && monotonicNow() < request.ownerWaitDeadline) {
        // An owner usually becomes reachable within some tens of milliseconds after an owner is lost or this process
        // starts.
        waitForOwner(request, monotonicNow());
        request.triedShards.clear();
        request.attempts = 0;
        return;
    }
    if (!target) {
        context_.log.event(
            "job.no_owner", { { "id", jobIdOf(request).value }, { "attempts", std::uint64_t { request.attempts } } });
        context_.metrics.add("balsammill_refused_without_owner_total");
        boost::asio::post(context_.loop, [this, number] {
            if (requests_.contains(number))
                answer(number, { .kind = JobAnswer::Kind::Refused, .retryAfter = noOwnerRetryAfter });
        });
        return;
    }
    send(number, request, *target);
}

void JobClient::dispatchToHomeShard(RequestNumber number)
{
    auto& request = requests_.at(number);
    const auto home = directory_.homeShardOf(jobIdOf(request), context_.settings.allDomains);
    const auto target = home ? findTarget(*home) : std::nullopt;
    if (target) {
        send(number, request, *target);
        return;
    }
    const auto now = monotonicNow();
    const auto since = home ? unreachableSince_.find(*home) : unreachableSince_.end();
    if (since == unreachableSince_.end() || now < since->second + homeShardTimeout) {
        waitForOwner(request, now);
        return;
    }
    boost::asio::post(context_.loop, [this, number] {
        if (const auto found = requests_.find(number); found != requests_.end())
            failUnreachable(number, found->second);
    });
}

bool JobClient::isReachable(const Shards::ShardName& name) const
{
    if (ownership_.serverOf(name) != nullptr)
        return true;
    const auto* owner = directory_.find(name);
    return owner != nullptr && !owner->released && peers_.stateOf(owner->address) == Shards::PeerState::Connected;
}

void JobClient::noteReachability(TimePoint now)
{
    const auto shards = directory_.shardsPerDomain().value_or(0);
    for (const auto& domain : context_.settings.allDomains) {
        for (unsigned i = 0; i < shards; ++i) {
            const auto name = ShardDirectory::shardName(domain, i);
            if (isReachable(name))
                unreachableSince_.erase(name);
            else
                unreachableSince_.try_emplace(name, now);
        }
    }
}

void JobClient::waitForOwner(Request& request, TimePoint now)
{
    if (!request.waitingForOwnerSince)
        request.waitingForOwnerSince = now;
}

void JobClient::send(RequestNumber number, Request& request, const Target& target)
{
    ++request.attempts;
    request.waitingForOwnerSince.reset();
    request.shard = target.shard;
    request.link = target.link;
    // Handovers of the shard that the request was sent to before do not concern this one.
    request.ownerEpoch = Epoch();
    request.newOwnerAddress = NetworkAddress();
    const auto attempt = beginAttempt(number, request);
    if (const auto* submission = std::get_if<Submission>(&request.operation))
        sendSubmission(attempt, request, target, *submission);
    else
        sendQuery(attempt, target, std::get<JobQuery>(request.operation));
}

RequestNumber JobClient::beginAttempt(RequestNumber number, Request& request)
{
    // A best-effort job is identified by its number also in handovers and confirmations, and is sent again only after
    // an owner has answered.
    if (!hasHomeShard(request))
        return number;
    attempts_.erase(request.attempt);
    request.attempt = RequestNumber { ++lastRequest_ };
    attempts_[request.attempt] = number;
    return request.attempt;
}

std::optional<RequestNumber> JobClient::requestOfAttempt(RequestNumber attempt) const
{
    if (const auto found = attempts_.find(attempt); found != attempts_.end())
        return found->second;
    const auto found = requests_.find(attempt);
    return found == requests_.end() || hasHomeShard(found->second) ? std::nullopt : std::optional(attempt);
}

JobClient::Request JobClient::take(RequestNumber number)
{
    auto request = std::move(requests_.at(number));
    attempts_.erase(request.attempt);
    requests_.erase(number);
    return request;
}

void JobClient::sendSubmission(
    RequestNumber number, Request& request, const Target& target, const Submission& submission)
{
    const auto now = monotonicNow();
    const auto age = now - request.arrivedAt;
    const auto timeout = request.responseDeadline == TimePoint::max()
        ? Duration::zero()
        : std::max<Duration>(request.responseDeadline - now, std::chrono::milliseconds(1));
    if (target.local != nullptr) {
        target.local->submit({ .peer = {}, .number = number.value }, nullptr, submission.spec, age, timeout,
            !request.redirected, [this, number](const OwnerAnswer& result) {
                boost::asio::post(context_.loop, [this, number, result] { handleAnswer(number, result); });
            });
        return;
    }
    balsammill::internal::ShardPeerMessage message;
    auto* submit = message.mutable_submit();
    submit->set_submission(number.value);
    submit->set_shard(target.shard.value);
    encodeJob(submission.spec, *submit->mutable_job());
    submit->set_age_us(age.count());
    submit->set_may_redirect(!request.redirected);
    submit->set_patience_us(timeout.count());
    target.link->send(message);
}

void JobClient::sendQuery(RequestNumber number, const Target& target, const JobQuery& jobQuery)
{
    if (target.local != nullptr) {
        const auto respond = [this, number](const OwnerAnswer& result) {
            boost::asio::post(context_.loop, [this, number, result] { handleAnswer(number, result); });
        };
        if (jobQuery.cancel)
            target.local->cancelJob(jobQuery.job, respond);
        else
            target.local->query(jobQuery.job, respond);
        return;
    }
    balsammill::internal::ShardPeerMessage message;
    auto* query = message.mutable_query();
    query->set_submission(number.value);
    query->set_shard(target.shard.value);
    query->set_job(jobQuery.job.value);
    query->set_cancel(jobQuery.cancel);
    target.link->send(message);
}

void JobClient::failUnreachable(RequestNumber number, const Request& request)
{
    context_.log.event("job.home_unreachable",
        { { "id", jobIdOf(request).value }, { "attempts", std::uint64_t { request.attempts } },
            { "in_doubt", request.inDoubt ? "yes" : "no" } });
    context_.metrics.add("balsammill_homes_unreachable_total");
    const bool submission = std::holds_alternative<Submission>(request.operation);
    auto kind = JobAnswer::Kind::Unreachable;
    if (submission)
        kind = request.inDoubt ? JobAnswer::Kind::InDoubt : JobAnswer::Kind::Refused;
    answer(number, { .kind = kind, .retryAfter = noOwnerRetryAfter });
}

void JobClient::cancel(RequestNumber number)
{
    if (!requests_.contains(number))
        return;
    const auto request = take(number);
    // Request numbers are unique, so local servers without this submission ignore the call.
    ownership_.cancel({ .peer = {}, .number = number.value });
    if (const auto link = request.link.lock()) {
        balsammill::internal::ShardPeerMessage message;
        message.mutable_cancel()->set_submission(number.value);
        link->send(message);
    } else if (!request.newOwnerAddress.empty()) {
        // The new owner asks for a confirmation only until it has one, and may have got it before this notice arrived.
        cancelAt(request.newOwnerAddress, number);
    }
}

void JobClient::handleMoved(RequestNumber number, const Shards::ShardName& shard, const ShardLocation& owner)
{
    const auto found = requests_.find(number);
    if (found == requests_.end()) {
        cancelAt(owner.address, number);
        return;
    }
    auto& request = found->second;
    if (request.shard != shard || owner.epoch < request.ownerEpoch)
        return;
    const auto now = monotonicNow();
    const bool alreadyConnecting = request.newOwnerAddress == owner.address;
    request.ownerEpoch = owner.epoch;
    request.link.reset();
    request.newOwnerAddress = NetworkAddress();
    if (owner.address == context_.settings.peerListen) {
        ownership_.confirmLocal(shard, number.value);
        return;
    }
    request.newOwnerAddress = owner.address;
    if (!alreadyConnecting)
        request.newOwnerDeadline = now + newOwnerConnectTimeout;
    connectToNewOwner(number, request, now);
}

void JobClient::connectToNewOwner(RequestNumber number, Request& request, TimePoint now)
{
    const auto link = peers_.linkTo(request.newOwnerAddress, now);
    if (!link || !context_.stall.isSettled(now))
        return;
    request.link = link;
    request.newOwnerAddress = NetworkAddress();
    balsammill::internal::ShardPeerMessage message;
    message.mutable_confirm()->set_submission(number.value);
    message.mutable_confirm()->set_shard(request.shard.value);
    link->send(message);
}

void JobClient::cancelAt(const NetworkAddress& owner, RequestNumber number)
{
    const auto link = owner == context_.settings.peerListen ? nullptr : peers_.linkTo(owner, monotonicNow());
    if (!link)
        return;
    balsammill::internal::ShardPeerMessage message;
    message.mutable_cancel()->set_submission(number.value);
    link->send(message);
}

void JobClient::handleAnswer(RequestNumber attempt, const OwnerAnswer& result)
{
    const auto current = requestOfAttempt(attempt);
    if (!current)
        return;
    const auto number = *current;
    auto& request = requests_.at(number);
    switch (result.kind) {
    case OwnerAnswer::Kind::Completed:
        answer(number, { .kind = JobAnswer::Kind::Completed });
        return;
    case OwnerAnswer::Kind::Failed:
        answer(number, { .kind = JobAnswer::Kind::Failed });
        return;
    case OwnerAnswer::Kind::Refused:
        answer(number,
            { .kind = result.notStorable ? JobAnswer::Kind::NotStorable : JobAnswer::Kind::Refused,
                .retryAfter = result.retryAfter });
        return;
    case OwnerAnswer::Kind::Accepted:
        answer(number, { .kind = JobAnswer::Kind::Accepted });
        return;
    case OwnerAnswer::Kind::Known:
        answer(number, { .kind = JobAnswer::Kind::Known, .state = result.state });
        return;
    case OwnerAnswer::Kind::UnknownJob:
        answer(number, { .kind = JobAnswer::Kind::UnknownJob });
        return;
    case OwnerAnswer::Kind::Unavailable:
        failUnreachable(number, request);
        return;
    case OwnerAnswer::Kind::InDoubt:
        // The next owner knows whether a durable job was accepted, and accepts it at most once.
        if (hasHomeShard(request)) {
            request.inDoubt = true;
            waitForOwner(request, monotonicNow());
            return;
        }
        answerInDoubt(number);
        return;
    case OwnerAnswer::Kind::Redirected:
        request.redirected = true;
        request.triedShards.push_back(request.shard);
        request.shard = result.redirect;
        dispatch(number);
        return;
    case OwnerAnswer::Kind::NotOwner:
        if (hasHomeShard(request)) {
            waitForOwner(request, monotonicNow());
            return;
        }
        request.triedShards.push_back(request.shard);
        request.shard = Shards::ShardName();
        dispatch(number);
        return;
    }
}

void JobClient::answer(RequestNumber number, const JobAnswer& result)
{
    const auto request = take(number);
    request.callback(result);
}

void JobClient::answerInDoubt(RequestNumber number)
{
    auto callback = std::move(requests_.at(number).callback);
    cancel(number);
    callback({ .kind = JobAnswer::Kind::InDoubt });
}

void JobClient::handlePeerClosed(const PeerLink& link)
{
    std::vector<RequestNumber> lost;
    for (const auto& [number, request] : requests_) {
        if (request.link.lock().get() == &link)
            lost.push_back(number);
    }
    for (const auto number : lost) {
        auto& request = requests_.at(number);
        context_.log.event("job.owner_lost",
            { { "id", jobIdOf(request).value }, { "shard", request.shard.value }, { "peer", link.peer().vm.value } });
        request.link.reset();
        if (!hasHomeShard(request)) {
            answerInDoubt(number);
            continue;
        }
        request.inDoubt = true;
        waitForOwner(request, monotonicNow());
    }
}

void JobClient::abandonAll()
{
    std::vector<RequestNumber> open;
    for (const auto& [number, request] : requests_)
        open.push_back(number);
    for (const auto number : open)
        answerInDoubt(number);
}

void JobClient::advance(TimePoint now)
{
    for (const auto& [name, owner] : directory_.owners()) {
        if (owner.vm != context_.settings.vm && !owner.released)
            peers_.linkTo(owner.address, now);
    }
    noteReachability(now);
    std::vector<RequestNumber> waiting;
    std::vector<RequestNumber> lost;
    for (auto& [number, request] : requests_) {
        if (request.waitingForOwnerSince)
            waiting.push_back(number);
        if (request.newOwnerAddress.empty())
            continue;
        connectToNewOwner(number, request, now);
        if (!request.newOwnerAddress.empty() && now >= request.newOwnerDeadline)
            lost.push_back(number);
    }
    for (const auto number : lost)
        answerInDoubt(number);
    for (const auto number : waiting) {
        const auto& request = requests_.at(number);
        if (hasHomeShard(request)
            && now >= std::min(*request.waitingForOwnerSince + homeShardTimeout, request.responseDeadline))
            failUnreachable(number, request);
        else
            dispatch(number);
    }
}

void JobClient::confirmSubmissions(PeerLink& link) const
{
    const bool any = std::any_of(requests_.begin(), requests_.end(),
        [&](const auto& entry) { return entry.second.link.lock().get() == &link && !hasHomeShard(entry.second); });
    if (any)
        link.send({});
}

std::optional<std::uint32_t> JobClient::waitingJobs(const Shards::QueueName& queue) const
{
    return directory_.waitingJobs(queue, monotonicNow());
}

bool JobClient::canServe() const
{
    return std::any_of(directory_.owners().begin(), directory_.owners().end(),
        [this](const auto& entry) { return findTarget(entry.first).has_value(); });
}

} // namespace Balsammill
