#include "ShardOwnership.h"

#include "balsammill/internal/shard.pb.h"

// Offers of owned shards to other entries: by a process that leaves, by an owner in another failure domain, and by an
// owner whose VM is too small for its shard.

namespace Balsammill {

namespace {

// Time within which an entry that was asked to take over a shard writes its claim.
constexpr Duration takeOverRequestTimeout = std::chrono::milliseconds(400);
// Interval of the offers of a shard to the entries of its own failure domain, which may not reach the store yet.
constexpr Duration returnOfferInterval = std::chrono::milliseconds(1000);
// Interval of the checks whether another VM would carry the shard better.
constexpr Duration moveCheckInterval = std::chrono::milliseconds(1000);
// Maximum age of the view of the records for a voluntary move: the claim of the other entry needs the store.
constexpr Duration maxStoreViewAge = std::chrono::milliseconds(1500);

const char* nameOf(Shards::OfferReason reason)
{
    return reason == Shards::OfferReason::Overloaded ? "overloaded" : "larger_vm";
}

} // namespace

Shards::EntryCapacity capacityOf(const NodeSettings& settings)
{
    constexpr double thousand = 1000;
    return { .processorMilliCores = static_cast<std::uint64_t>(settings.processorShare * thousand),
        .linkKbitPerSecond = static_cast<std::uint64_t>(settings.linkMbps * thousand),
        .memoryMb = settings.memoryMb };
}

unsigned ShardOwnership::shardsOwnedBy(const VmName& vm, TimePoint now) const
{
    unsigned owned = 0;
    for (const auto& [name, owner] : directory_.owners())
        owned += owner.vm == vm && !owner.released ? 1U : 0U;
    // Shards that it has been asked to take over and may be claiming.
    for (const auto& [name, state] : recordStates_)
        owned += state.offeredTo == vm && now < state.nextRequestAt && servers_.contains(name) ? 1U : 0U;
    return owned;
}

std::vector<Shards::OwnerCandidate> ShardOwnership::candidatesIn(const FailureDomain& domain, TimePoint now) const
{
    std::vector<Shards::OwnerCandidate> candidates;
    for (const auto& link : peers_.peersIn(domain)) {
        const auto& vm = link->peer().vm;
        candidates.push_back({ .vm = vm, .capacity = link->capacity(), .ownedShards = shardsOwnedBy(vm, now) });
    }
    return Shards::bySuitability(std::move(candidates));
}

void ShardOwnership::offerIfDue(const Shards::ShardName& name, const ShardServer& server, TimePoint now)
{
    auto& state = recordStates_[name];
    if (now < state.nextRequestAt)
        return;
    const bool settled = server.predecessor().vm.empty();
    if (leaving_ || (isRemote(name) && settled)) {
        requestTakeOver(name, now);
        return;
    }
    state.nextRequestAt = now + moveCheckInterval;
    if (!settled || now - records_.currentAt() > maxStoreViewAge)
        return;
    const auto* record = directory_.find(name);
    const auto move = Shards::chooseMove({ .owner = { .vm = context_.settings.vm,
                                               .capacity = capacityOf(context_.settings),
                                               .ownedShards = static_cast<unsigned>(servers_.size()) },
        .others = candidatesIn(ShardDirectory::domainOf(name), now),
        .ownedSince = server.startedAt(),
        .lastOfferAt = lastMoveOfferAt_,
        .overloaded = context_.loopLag.isOverloaded(),
        .formerOwner = record == nullptr ? VmName() : record->handedOverBy,
        .now = now });
    if (!move)
        return;
    lastMoveOfferAt_ = now;
    offer(name, move->to, nameOf(move->reason), now + takeOverRequestTimeout);
}

void ShardOwnership::requestTakeOver(const Shards::ShardName& name, TimePoint now)
{
    auto candidates = candidatesIn(ShardDirectory::domainOf(name), now);
    if (candidates.empty() && leaving_)
        candidates = candidatesIn(context_.settings.domain, now);
    if (candidates.empty())
        return;
    // The fittest entry first; the next one if it does not take the shard over in time.
    const auto& candidate = candidates[recordStates_[name].requestCount++ % candidates.size()];
    offer(name, candidate.vm, leaving_ ? "leaving" : "returns",
        now + (leaving_ ? takeOverRequestTimeout : returnOfferInterval));
}

void ShardOwnership::offer(
    const Shards::ShardName& name, const VmName& to, std::string_view reason, TimePoint nextRequestAt)
{
    const auto epoch = servers_.at(name)->epoch();
    auto& state = recordStates_[name];
    state.nextRequestAt = nextRequestAt;
    state.offeredTo = to;
    state.offeredEpoch = epoch;
    const auto link = peers_.linkOfVm(to);
    if (!link)
        return;
    context_.log.event("shard.offered", { { "shard", name.value }, { "to", to.value }, { "reason", reason } });
    context_.metrics.add("balsammill_shard_offers_total", "reason=\"" + std::string(reason) + "\"");
    balsammill::internal::ShardPeerMessage message;
    message.mutable_take_over()->set_shard(name.value);
    message.mutable_take_over()->set_epoch(epoch.value);
    link->send(message);
}

void ShardOwnership::handleTakeOver(const PeerLink& from, const Shards::ShardName& name, Epoch epoch)
{
    const auto* owner = directory_.find(name);
    if (leaving_ || owner == nullptr || owner->epoch != epoch || owner->vm != from.peer().vm
        || recordStates_[name].writeInFlight)
        return;
    claim(name, from.peer(), monotonicNow());
}

void ShardOwnership::handleTaken(
    const PeerLink& from, const Shards::ShardName& name, Epoch epoch, const NetworkAddress& address)
{
    const auto* server = serverOf(name);
    const bool offered
        = leaving_ || isRemote(name) || (server != nullptr && recordStates_[name].offeredEpoch == server->epoch());
    if (server == nullptr || server->epoch() >= epoch || !offered)
        return;
    handOver(
        name, { .epoch = epoch, .vm = from.peer().vm, .incarnation = from.peer().incarnation, .address = address });
}

} // namespace Balsammill
