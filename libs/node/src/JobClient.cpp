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

OwnerAnswer::Kind kindOf(balsammill::internal::ShardJobAnswer::Result result)
{
    using Message = balsammill::internal::ShardJobAnswer;
    switch (result) {
    case Message::COMPLETED:
        return OwnerAnswer::Kind::Completed;
    case Message::FAILED:
        return OwnerAnswer::Kind::Failed;
    case Message::REFUSED:
        return OwnerAnswer::Kind::Refused;
    case Message::REDIRECTED:
        return OwnerAnswer::Kind::Redirected;
    case Message::NOT_OWNER:
        return OwnerAnswer::Kind::NotOwner;
    default:
        return OwnerAnswer::Kind::InDoubt;
    }
}

} // namespace

JobClient::JobClient(NodeContext& context, PeerNetwork& peers, ShardDirectory& directory, ShardOwnership& ownership)
    : context_(context)
    , peers_(peers)
    , directory_(directory)
    , ownership_(ownership)
{
}

RequestNumber JobClient::submit(Shards::JobSpec spec, TimePoint answerBy, JobAnswerCallback callback)
{
    const RequestNumber number { ++lastRequest_ };
    requests_[number] = {
        .spec = std::move(spec), .callback = std::move(callback), .arrivedAt = monotonicNow(), .answerBy = answerBy
    };
    dispatch(number);
    return number;
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
    std::optional<Target> target;
    if (!request.shard.empty())
        target = reach(request.shard);
    if (!target && request.attempts < maxAttempts)
        target = choose(request);
    if (!target) {
        context_.log.event(
            "job.no_owner", { { "id", request.spec.id.value }, { "attempts", std::uint64_t { request.attempts } } });
        context_.metrics.count("refused_without_owner");
        boost::asio::post(context_.loop, [this, number] {
            if (requests_.contains(number))
                answer(number, { .kind = JobAnswer::Kind::Refused, .retryAfter = retryWithoutOwner });
        });
        return;
    }
    ++request.attempts;
    request.shard = target->shard;
    request.link = target->link;
    const auto now = monotonicNow();
    const auto age = now - request.arrivedAt;
    const auto patience = request.answerBy == TimePoint::max()
        ? Duration::zero()
        : std::max<Duration>(request.answerBy - now, std::chrono::milliseconds(1));
    if (target->local != nullptr) {
        target->local->submit({ .link = nullptr, .number = number.value }, request.spec, age, patience,
            !request.redirected, [this, number](const OwnerAnswer& result) {
                boost::asio::post(context_.loop, [this, number, result] { handleOwnerAnswer(number, result); });
            });
        return;
    }
    balsammill::internal::ShardPeerMessage message;
    auto* submit = message.mutable_submit();
    submit->set_submission(number.value);
    submit->set_shard(target->shard.value);
    encodeJob(request.spec, *submit->mutable_job());
    submit->set_age_us(age.count());
    submit->set_may_redirect(!request.redirected);
    submit->set_patience_us(patience.count());
    target->link->send(message);
}

void JobClient::cancel(RequestNumber number)
{
    const auto found = requests_.find(number);
    if (found == requests_.end())
        return;
    const auto request = std::move(found->second);
    requests_.erase(found);
    // Numbers are not used twice, so a local server that does not have the submission ignores it.
    ownership_.cancel({ .link = nullptr, .number = number.value });
    if (const auto link = request.link.lock()) {
        balsammill::internal::ShardPeerMessage message;
        message.mutable_cancel()->set_submission(number.value);
        link->send(message);
    }
}

void JobClient::handleAnswer(const balsammill::internal::ShardJobAnswer& message)
{
    handleOwnerAnswer(RequestNumber(message.submission()),
        { .kind = kindOf(message.result()),
            .retryAfter = Duration(message.retry_after_us()),
            .redirect = Shards::ShardName(message.redirect_shard()) });
}

void JobClient::handleOwnerAnswer(RequestNumber number, const OwnerAnswer& result)
{
    const auto found = requests_.find(number);
    if (found == requests_.end())
        return;
    auto& request = found->second;
    switch (result.kind) {
    case OwnerAnswer::Kind::Completed:
        answer(number, { .kind = JobAnswer::Kind::Completed, .retryAfter = {} });
        return;
    case OwnerAnswer::Kind::Failed:
        answer(number, { .kind = JobAnswer::Kind::Failed, .retryAfter = {} });
        return;
    case OwnerAnswer::Kind::Refused:
        answer(number, { .kind = JobAnswer::Kind::Refused, .retryAfter = result.retryAfter });
        return;
    case OwnerAnswer::Kind::InDoubt:
        answer(number, { .kind = JobAnswer::Kind::InDoubt, .retryAfter = {} });
        return;
    case OwnerAnswer::Kind::Redirected:
        request.redirected = true;
        request.refusedBy.push_back(request.shard);
        request.shard = result.redirect;
        dispatch(number);
        return;
    case OwnerAnswer::Kind::NotOwner:
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
        context_.log.event("job.owner_lost",
            { { "id", requests_.at(number).spec.id.value }, { "shard", requests_.at(number).shard.value },
                { "peer", link.peer().vm.value } });
        answer(number, { .kind = JobAnswer::Kind::InDoubt, .retryAfter = {} });
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
        callback({ .kind = JobAnswer::Kind::InDoubt, .retryAfter = {} });
    }
}

void JobClient::advance(TimePoint now)
{
    for (const auto& [name, owner] : directory_.owners()) {
        if (owner.vm != context_.settings.vm && !owner.released)
            peers_.linkTo(owner.address, now);
    }
}

bool JobClient::canServe() const
{
    return std::any_of(directory_.owners().begin(), directory_.owners().end(),
        [this](const auto& entry) { return reach(entry.first).has_value(); });
}

} // namespace Balsammill
