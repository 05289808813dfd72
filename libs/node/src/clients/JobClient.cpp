#include "JobClient.h"

#include "JobMessageCodec.h"

#include "balsammill/internal/shard.pb.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace Balsammill {

namespace {

// Owners that a job is offered to before it is refused; each offer costs a round trip.
constexpr unsigned maxAttempts = 4;
// When no owner can be reached, one is found within the time that a takeover takes.
constexpr Duration retryWithoutOwner = std::chrono::seconds(2);
// A job that was handed over is taken for lost if its new owner cannot be reached for this time, as one whose owner is
// silent.
constexpr Duration movedPatience = std::chrono::milliseconds(800);
// How long a request about a durable job waits for its shard to have an owner: a planned change of the owner fits.
constexpr Duration homePatience = std::chrono::milliseconds(700);

// How long a job can wait for an owner and still meet its objective, if its declared run times are right.
Duration slackOf(const Shards::JobSpec& spec)
{
    Duration declared {};
    for (const auto& step : spec.steps)
        declared += step.estimate;
    return spec.targetOverhead
        + Duration(static_cast<Duration::rep>((spec.stretch - 1) * static_cast<double>(declared.count())));
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

RequestNumber JobClient::submit(Shards::JobSpec spec, TimePoint answerBy, JobAnswerCallback callback)
{
    const auto waitsUntil = std::min(monotonicNow() + slackOf(spec), answerBy);
    return add({ .what = Submission { .spec = std::move(spec) },
        .callback = std::move(callback),
        .answerBy = answerBy,
        .waitsUntil = waitsUntil });
}

RequestNumber JobClient::query(const JobId& job, TimePoint answerBy, JobAnswerCallback callback)
{
    return add({ .what = Question { .job = job }, .callback = std::move(callback), .answerBy = answerBy });
}

RequestNumber JobClient::cancelJob(const JobId& job, TimePoint answerBy, JobAnswerCallback callback)
{
    return add(
        { .what = Question { .job = job, .cancel = true }, .callback = std::move(callback), .answerBy = answerBy });
}

const JobId& JobClient::jobOf(const Request& request)
{
    if (const auto* submission = std::get_if<Submission>(&request.what))
        return submission->spec.id;
    return std::get<Question>(request.what).job;
}

bool JobClient::isHomed(const Request& request)
{
    const auto* submission = std::get_if<Submission>(&request.what);
    return submission == nullptr || submission->spec.durable;
}

std::optional<JobClient::Target> JobClient::reach(const Shards::ShardName& name) const
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

std::optional<JobClient::Target> JobClient::choose(const Request& request) const
{
    std::optional<Target> best;
    bool bestIsHome = false;
    std::int64_t bestFree = 0;
    for (const auto& [name, owner] : directory_.owners()) {
        if (std::find(request.refusedBy.begin(), request.refusedBy.end(), name) != request.refusedBy.end())
            continue;
        auto target = reach(name);
        if (!target)
            continue;
        const bool home = ShardDirectory::domainOf(name) == context_.settings.domain;
        const auto* status = directory_.statusOf(name);
        const auto free = status == nullptr ? 0 : status->freeMilliCores;
        if (!best || (home && !bestIsHome) || (home == bestIsHome && free > bestFree)) {
            best = std::move(target);
            bestIsHome = home;
            bestFree = free;
        }
    }
    return best;
}

void JobClient::dispatch(RequestNumber number)
{
    auto& request = requests_.at(number);
    if (isHomed(request)) {
        dispatchHome(number);
        return;
    }
    std::optional<Target> target;
    if (!request.shard.empty())
        target = reach(request.shard);
    if (!target && request.attempts < maxAttempts)
        target = choose(request);
    if (!target && monotonicNow() < request.waitsUntil) {
        // An owner that has just been lost, or a process that has just started, is followed by the next within some
        // tens of milliseconds.
        park(request, monotonicNow());
        request.refusedBy.clear();
        request.attempts = 0;
        return;
    }
    if (!target) {
        context_.log.event(
            "job.no_owner", { { "id", jobOf(request).value }, { "attempts", std::uint64_t { request.attempts } } });
        context_.metrics.add("balsammill_refused_without_owner_total");
        boost::asio::post(context_.loop, [this, number] {
            if (requests_.contains(number))
                answer(number, { .kind = JobAnswer::Kind::Refused, .retryAfter = retryWithoutOwner });
        });
        return;
    }
    send(number, request, *target);
}

void JobClient::dispatchHome(RequestNumber number)
{
    auto& request = requests_.at(number);
    const auto home = directory_.homeOf(jobOf(request), context_.settings.allDomains);
    const auto target = home ? reach(*home) : std::nullopt;
    if (target) {
        send(number, request, *target);
    } else {
        park(request, monotonicNow());
    }
}

void JobClient::park(Request& request, TimePoint now)
{
    if (!request.parkedAt)
        request.parkedAt = now;
}

void JobClient::send(RequestNumber number, Request& request, const Target& target)
{
    ++request.attempts;
    request.parkedAt.reset();
    request.shard = target.shard;
    request.link = target.link;
    if (const auto* submission = std::get_if<Submission>(&request.what))
        sendSubmission(number, request, target, *submission);
    else
        sendQuestion(number, target, std::get<Question>(request.what));
}

void JobClient::sendSubmission(
    RequestNumber number, Request& request, const Target& target, const Submission& submission)
{
    const auto now = monotonicNow();
    const auto age = now - request.arrivedAt;
    const auto patience = request.answerBy == TimePoint::max()
        ? Duration::zero()
        : std::max<Duration>(request.answerBy - now, std::chrono::milliseconds(1));
    if (target.local != nullptr) {
        target.local->submit({ .peer = {}, .number = number.value }, submission.spec, age, patience,
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
    submit->set_patience_us(patience.count());
    target.link->send(message);
}

void JobClient::sendQuestion(RequestNumber number, const Target& target, const Question& question)
{
    if (target.local != nullptr) {
        const auto respond = [this, number](const OwnerAnswer& result) {
            boost::asio::post(context_.loop, [this, number, result] { handleAnswer(number, result); });
        };
        if (question.cancel)
            target.local->cancelJob(question.job, respond);
        else
            target.local->query(question.job, respond);
        return;
    }
    balsammill::internal::ShardPeerMessage message;
    auto* query = message.mutable_query();
    query->set_submission(number.value);
    query->set_shard(target.shard.value);
    query->set_job(question.job.value);
    query->set_cancel(question.cancel);
    target.link->send(message);
}

void JobClient::giveUp(RequestNumber number, const Request& request)
{
    context_.log.event("job.home_unreachable",
        { { "id", jobOf(request).value }, { "attempts", std::uint64_t { request.attempts } },
            { "in_doubt", request.inDoubt ? "yes" : "no" } });
    context_.metrics.add("balsammill_homes_unreachable_total");
    const bool submission = std::holds_alternative<Submission>(request.what);
    auto kind = JobAnswer::Kind::Unreachable;
    if (submission)
        kind = request.inDoubt ? JobAnswer::Kind::InDoubt : JobAnswer::Kind::Refused;
    answer(number, { .kind = kind, .retryAfter = retryWithoutOwner });
}

void JobClient::cancel(RequestNumber number)
{
    const auto found = requests_.find(number);
    if (found == requests_.end())
        return;
    const auto request = std::move(found->second);
    requests_.erase(found);
    // Numbers are not used twice, so a local server that does not have the submission ignores it.
    ownership_.cancel({ .peer = {}, .number = number.value });
    if (const auto link = request.link.lock()) {
        balsammill::internal::ShardPeerMessage message;
        message.mutable_cancel()->set_submission(number.value);
        link->send(message);
    }
}

void JobClient::handleMoved(RequestNumber number, const Shards::ShardName& shard, const NetworkAddress& owner)
{
    const auto found = requests_.find(number);
    if (found == requests_.end())
        return;
    auto& request = found->second;
    const auto now = monotonicNow();
    request.shard = shard;
    request.link.reset();
    if (owner == context_.settings.peerListen)
        return;
    request.movedTo = owner;
    request.movedUntil = now + movedPatience;
    followMoved(request, now);
}

void JobClient::followMoved(Request& request, TimePoint now)
{
    const auto link = peers_.linkTo(request.movedTo, now);
    if (!link)
        return;
    request.link = link;
    request.movedTo = NetworkAddress();
}

void JobClient::handleAnswer(RequestNumber number, const OwnerAnswer& result)
{
    const auto found = requests_.find(number);
    if (found == requests_.end())
        return;
    auto& request = found->second;
    switch (result.kind) {
    case OwnerAnswer::Kind::Completed:
        answer(number, { .kind = JobAnswer::Kind::Completed });
        return;
    case OwnerAnswer::Kind::Failed:
        answer(number, { .kind = JobAnswer::Kind::Failed });
        return;
    case OwnerAnswer::Kind::Refused:
        answer(number, { .kind = JobAnswer::Kind::Refused, .retryAfter = result.retryAfter });
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
    case OwnerAnswer::Kind::InDoubt:
        // The next owner knows whether a durable job was accepted, and accepts it once at most.
        if (isHomed(request)) {
            request.inDoubt = true;
            park(request, monotonicNow());
            return;
        }
        answer(number, { .kind = JobAnswer::Kind::InDoubt });
        return;
    case OwnerAnswer::Kind::Redirected:
        request.redirected = true;
        request.refusedBy.push_back(request.shard);
        request.shard = result.redirect;
        dispatch(number);
        return;
    case OwnerAnswer::Kind::NotOwner:
        if (isHomed(request)) {
            park(request, monotonicNow());
            return;
        }
        request.refusedBy.push_back(request.shard);
        request.shard = Shards::ShardName();
        dispatch(number);
        return;
    }
}

void JobClient::answer(RequestNumber number, const JobAnswer& result)
{
    const auto found = requests_.find(number);
    auto callback = std::move(found->second.callback);
    requests_.erase(found);
    callback(result);
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
            { { "id", jobOf(request).value }, { "shard", request.shard.value }, { "peer", link.peer().vm.value } });
        request.link.reset();
        if (!isHomed(request)) {
            answer(number, { .kind = JobAnswer::Kind::InDoubt });
            continue;
        }
        request.inDoubt = true;
        park(request, monotonicNow());
    }
}

void JobClient::abandonAll()
{
    std::vector<RequestNumber> open;
    for (const auto& [number, request] : requests_)
        open.push_back(number);
    for (const auto number : open) {
        auto callback = std::move(requests_.at(number).callback);
        cancel(number);
        callback({ .kind = JobAnswer::Kind::InDoubt });
    }
}

void JobClient::advance(TimePoint now)
{
    for (const auto& [name, owner] : directory_.owners()) {
        if (owner.vm != context_.settings.vm && !owner.released)
            peers_.linkTo(owner.address, now);
    }
    std::vector<RequestNumber> parked;
    std::vector<RequestNumber> lost;
    for (auto& [number, request] : requests_) {
        if (request.parkedAt)
            parked.push_back(number);
        if (request.movedTo.empty())
            continue;
        followMoved(request, now);
        if (!request.movedTo.empty() && now >= request.movedUntil)
            lost.push_back(number);
    }
    for (const auto number : lost)
        answer(number, { .kind = JobAnswer::Kind::InDoubt });
    for (const auto number : parked) {
        const auto& request = requests_.at(number);
        if (isHomed(request) && now >= std::min(*request.parkedAt + homePatience, request.answerBy))
            giveUp(number, request);
        else
            dispatch(number);
    }
}

std::optional<std::uint32_t> JobClient::waitingJobs(const Shards::QueueName& queue) const
{
    return directory_.waitingJobs(queue, monotonicNow());
}

bool JobClient::canServe() const
{
    return std::any_of(directory_.owners().begin(), directory_.owners().end(),
        [this](const auto& entry) { return reach(entry.first).has_value(); });
}

} // namespace Balsammill
