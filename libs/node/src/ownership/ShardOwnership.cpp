#include "ShardOwnership.h"

#include "balsammill/base/StableHash.h"
#include "balsammill/http/HttpServer.h"
#include "balsammill/internal/shard.pb.h"
#include "platform/Documents.h"
#include "platform/Json.h"

#include <algorithm>

namespace Balsammill {

namespace {

// A store call costs as much as a few tasks, and a lost owner is usually detected by its closed connections.
constexpr Duration renewInterval = std::chrono::milliseconds(1000);
// The store answers within 10 ms, or in up to fifty times as long when it is slow.
constexpr Duration writeTimeout = std::chrono::milliseconds(1000);
// Gives the table follower time to read the record after a write that failed or whose result is unknown.
constexpr Duration writeRetryDelay = std::chrono::milliseconds(300);
// Before a record that the store rejects because of its content is written again.
constexpr Duration rejectedRetryDelay = std::chrono::seconds(2);
// Upstreams register within their first heartbeat interval; the number of shards is decided after that.
constexpr Duration layoutDelay = std::chrono::milliseconds(2500);
// Number of upstreams that an owner with a quarter of a core can serve.
constexpr std::size_t upstreamsPerShard = 24;
// How long a new owner waits for the predecessor's handover data, and the predecessor for a connection to the new
// owner.
constexpr Duration handOverTimeout = std::chrono::milliseconds(1500);

// Each change of owner increments the epoch by one.
bool isPrecedingEpoch(Epoch earlier, Epoch later) { return earlier.value + 1 == later.value; }

} // namespace

ShardOwnership::ShardOwnership(NodeContext& context, Platform::Store& store, PeerNetwork& peers,
    ShardDirectory& directory, const TableFollower& records, Handlers handlers)
    : context_(context)
    , store_(store)
    , peers_(peers)
    , directory_(directory)
    , records_(records)
    , registry_(context, store,
          { .changed = [this](const Shards::UpstreamInfo& info) { assignUpstream(info); },
              .removed = [this](const Shards::UpstreamId& id) { removeUpstream(id); } })
    , handlers_(std::move(handlers))
    , startedAt_(monotonicNow())
    , alive_(std::make_shared<bool>(true))
{
}

ShardOwnership::~ShardOwnership() { *alive_ = false; }

void ShardOwnership::followUpstreams()
{
    // Registrations change with every heartbeat, so they are read only by owners and while the shard layout is
    // undecided.
    registry_.follow(!ownsNothing() || (records_.loaded() && !directory_.shardsPerDomain()));
}

ShardServer* ShardOwnership::serverOf(const Shards::ShardName& name)
{
    const auto found = servers_.find(name);
    return found == servers_.end() ? nullptr : found->second.get();
}

bool ShardOwnership::isOwnRecord(const ShardOwner& owner) const
{
    return owner.vm == context_.settings.vm && owner.incarnation == context_.incarnation;
}

void ShardOwnership::decideLayout(TimePoint now)
{
    if (directory_.shardsPerDomain() || layoutWriteInFlight_ || !records_.loaded() || !registry_.loaded()
        || now - startedAt_ < layoutDelay || registry_.upstreams().empty())
        return;
    std::map<FailureDomain, std::size_t> perDomain;
    for (const auto& [id, info] : registry_.upstreams())
        ++perDomain[info.domain];
    std::size_t maxUpstreams = 0;
    for (const auto& [domain, count] : perDomain)
        maxUpstreams = std::max(maxUpstreams, count);
    const auto shards = static_cast<unsigned>((maxUpstreams + upstreamsPerShard - 1) / upstreamsPerShard);
    const auto row = ShardDirectory::encodeLayout(shards);
    layoutWriteInFlight_ = true;
    store_.write({ .conditions = { row }, .puts = { row } }, now + writeTimeout,
        [this, alive = alive_, shards](const Platform::RowsResult& result) {
            if (!*alive)
                return;
            layoutWriteInFlight_ = false;
            if (result.status == Platform::StoreStatus::Ok)
                context_.log.event("shards.layout_written", { { "per_domain", std::uint64_t { shards } } });
            else
                adoptRows(result);
        });
}

void ShardOwnership::advance(TimePoint now)
{
    followUpstreams();
    decideLayout(now);
    registry_.advance(now);
    for (const auto& domain : context_.settings.allDomains) {
        for (unsigned i = 0; i < directory_.shardsPerDomain().value_or(0); ++i)
            claimIfDue(ShardDirectory::shardName(domain, i), now);
    }
    std::vector<Shards::ShardName> owned;
    for (auto& [name, server] : servers_) {
        server->advance();
        owned.push_back(name);
    }
    for (const auto& name : owned) {
        auto& state = recordStates_[name];
        const auto* server = serverOf(name);
        if (server == nullptr || state.writeInFlight || now < state.retryAt)
            continue;
        if (leaving_ && now >= releaseAt_)
            renew(name, now, true);
        else if (now >= state.renewAt || state.recordDurableJobs)
            renew(name, now, false);
        // A renewal may have ended the ownership, and while it is being written a claim would fail.
        if (const auto* current = serverOf(name); current != nullptr && !state.writeInFlight)
            offerIfDue(name, *current, now);
    }
    std::erase_if(outgoingHandOvers_, [&](const OutgoingHandOver& each) {
        if (sendHandOver(each.content, each.successor))
            return true;
        if (now < each.expiresAt)
            return false;
        context_.log.event(
            "shard.hand_over_failed", { { "shard", each.content.shard.value }, { "to", each.successor.vm.value } });
        return true;
    });
    expireEarlyConfirmations(now);
    for (auto& [name, server] : servers_) {
        const auto* owner = directory_.find(name);
        const bool overdue = owner != nullptr && now - server->startedAt() > handOverTimeout;
        if (!server->predecessor().vm.empty() && overdue)
            server->handlePredecessorGone();
    }
}

void ShardOwnership::claimIfDue(const Shards::ShardName& name, TimePoint now)
{
    auto& state = recordStates_[name];
    if (leaving_ || state.writeInFlight || now < state.retryAt || !records_.loaded())
        return;
    const auto* owner = directory_.find(name);
    Shards::ClaimRequest question { .shard = { .recorded = owner != nullptr },
        .storeCurrentAt = records_.currentAt(),
        .connectedToOthers = peers_.connectedToAny() || !hasOtherOwner(owner),
        .ownedShards = static_cast<unsigned>(servers_.size()),
        .processorShare = context_.settings.processorShare,
        .capacity = capacityOf(context_.settings),
        .claimantIsRemote = isRemote(name),
        .now = now };
    question.shard.ownedHere = servers_.contains(name);
    question.shard.changedAt = startedAt_ + layoutDelay;
    if (owner != nullptr) {
        question.shard.released = owner->released;
        question.shard.ownerIsRemote = owner->domain != ShardDirectory::domainOf(name);
        question.shard.ownedByEarlierIncarnation
            = owner->vm == context_.settings.vm && owner->incarnation != context_.incarnation;
        question.shard.changedAt = owner->changedAt;
        if (owner->vm != context_.settings.vm) {
            peers_.linkTo(owner->address, now);
            question.shard.owner = peers_.stateOf(owner->address);
        }
    }
    const auto at = Shards::claimTime(question);
    if (at && now >= *at)
        claim(name, {}, now);
}

bool ShardOwnership::isRemote(const Shards::ShardName& name) const
{
    return ShardDirectory::domainOf(name) != context_.settings.domain;
}

void ShardOwnership::handOver(const Shards::ShardName& name, const ShardOwner& successor)
{
    auto server = std::move(servers_.at(name));
    servers_.erase(name);
    recordStates_[name].handedOverEpoch = server->epoch();
    auto content = server->handOver();
    context_.log.event("shard.handed_over",
        { { "shard", name.value }, { "epoch", content.epoch.value }, { "to", successor.vm.value },
            { "jobs", std::uint64_t { content.jobs.size() } } });
    if (!sendHandOver(content, successor))
        outgoingHandOvers_.push_back(
            { .content = std::move(content), .successor = successor, .expiresAt = monotonicNow() + handOverTimeout });
}

bool ShardOwnership::sendHandOver(const HandOver& content, const ShardOwner& successor)
{
    const auto now = monotonicNow();
    auto link = peers_.linkOf({ .vm = successor.vm, .incarnation = successor.incarnation });
    if (!link)
        link = peers_.linkTo(successor.address, now);
    if (!link)
        return false;
    balsammill::internal::ShardPeerMessage message;
    encodeHandOver(content, now, *message.mutable_hand_over());
    link->send(message);
    for (const auto& job : content.jobs) {
        if (!job.origin.peer.vm.empty())
            handlers_.moved(job.origin, content.shard, { .address = successor.address, .epoch = successor.epoch });
    }
    return true;
}

void ShardOwnership::handleHandOver(const PeerLink& from, const HandOver& content)
{
    auto* server = serverOf(content.shard);
    if (server != nullptr && server->epoch() > content.epoch) {
        // The same process may have owned the shard before and may own it again, so its name does not tell an outdated
        // handover from the current one.
        if (server->predecessor() == from.peer() && isPrecedingEpoch(content.epoch, server->epoch()))
            server->takeOver(content);
        else
            context_.log.event("shard.outdated_hand_over",
                { { "shard", content.shard.value }, { "epoch", content.epoch.value },
                    { "from", from.peer().vm.value } });
        return;
    }
    const auto early = earlyHandOvers_.find(content.shard);
    if (early == earlyHandOvers_.end() || early->second.content.epoch <= content.epoch)
        earlyHandOvers_[content.shard] = { .from = from.peer(), .content = content };
}

void ShardOwnership::notifyTaken(const Shards::ShardName& name, const ShardOwner& owner)
{
    const auto link = peers_.linkOf({ .vm = owner.handedOverBy, .incarnation = owner.handedOverByIncarnation });
    if (!link)
        return;
    balsammill::internal::ShardPeerMessage message;
    message.mutable_taken()->set_shard(name.value);
    message.mutable_taken()->set_epoch(owner.epoch.value);
    message.mutable_taken()->set_address(owner.address.value);
    link->send(message);
}

void ShardOwnership::cancel(const Submitter& submitter)
{
    for (auto& [name, server] : servers_)
        server->cancel(submitter);
}

void ShardOwnership::confirm(
    const PeerLink& from, const Shards::ShardName& name, std::uint64_t number, const OwnerAnswerCallback& callback)
{
    const Submitter submitter { .peer = from.peer(), .number = number };
    auto* server = serverOf(name);
    // Without the state of the predecessor the submission is not known yet; its entry is asked again when it is.
    if (server == nullptr || !server->predecessor().vm.empty())
        earlyConfirmations_[submitter] = { .shard = name, .expiresAt = monotonicNow() + handOverTimeout };
    else if (!server->confirm(submitter, from, callback))
        callback({ .kind = OwnerAnswer::Kind::InDoubt });
}

void ShardOwnership::confirmLocal(const Shards::ShardName& name, std::uint64_t number)
{
    const auto* server = serverOf(name);
    if (server == nullptr || !server->holds({ .number = number }))
        earlyConfirmations_[{ .number = number }] = { .shard = name, .expiresAt = monotonicNow() + handOverTimeout };
}

void ShardOwnership::expireEarlyConfirmations(TimePoint now)
{
    std::vector<Submitter> expired;
    for (const auto& [submitter, early] : earlyConfirmations_) {
        if (now >= early.expiresAt)
            expired.push_back(submitter);
    }
    for (const auto& submitter : expired) {
        const auto* server = serverOf(earlyConfirmations_.at(submitter).shard);
        earlyConfirmations_.erase(submitter);
        if (server == nullptr || !server->holds(submitter))
            handlers_.answer(submitter, { .kind = OwnerAnswer::Kind::InDoubt });
    }
}

bool ShardOwnership::hasOtherOwner(const ShardOwner* excluded) const
{
    return std::any_of(directory_.owners().begin(), directory_.owners().end(), [&](const auto& entry) {
        const auto& vm = entry.second.vm;
        return vm != context_.settings.vm && (excluded == nullptr || vm != excluded->vm) && !entry.second.released;
    });
}

void ShardOwnership::claim(const Shards::ShardName& name, const PeerId& handedOverBy, TimePoint now)
{
    const auto* previous = directory_.find(name);
    ShardOwner next { .version = previous == nullptr ? Platform::RowVersion() : previous->version,
        .epoch = Epoch((previous == nullptr ? 0 : previous->epoch.value) + 1),
        .vm = context_.settings.vm,
        .incarnation = context_.incarnation,
        .domain = context_.settings.domain,
        .address = context_.settings.peerListen,
        .handedOverBy = handedOverBy.vm,
        .handedOverByIncarnation = handedOverBy.incarnation,
        .hasDurableJobs = previous != nullptr && previous->hasDurableJobs };
    const auto row = ShardDirectory::encode(name, next);
    auto& state = recordStates_[name];
    state.writeInFlight = true;
    noteSent(name, next, now);
    context_.log.event("shard.claiming",
        { { "shard", name.value }, { "epoch", next.epoch.value },
            { "previous", previous == nullptr ? "none" : previous->vm.value },
            { "unchanged_ms", previous == nullptr ? -1 : (now - previous->changedAt).count() / 1000 },
            { "handed_over", handedOverBy.vm.empty() ? "no" : "yes" } });
    store_.write({ .conditions = { row }, .puts = { row } }, now + writeTimeout,
        [this, alive = alive_, name, next, sentAt = now](const Platform::RowsResult& result) {
            if (!*alive)
                return;
            auto& recordState = recordStates_[name];
            recordState.writeInFlight = false;
            context_.metrics.add("balsammill_shard_claims_total",
                result.status == Platform::StoreStatus::Ok ? R"(outcome="won")" : R"(outcome="lost")");
            if (result.status == Platform::StoreStatus::Ok) {
                auto written = ShardDirectory::encode(name, next);
                written.version = result.version;
                directory_.apply(written, monotonicNow());
                startServer(name, next, sentAt);
                return;
            }
            adoptRows(result);
            recordState.retryAt = retryTimeAfter(result, name);
        });
}

TimePoint ShardOwnership::retryTimeAfter(const Platform::RowsResult& result, const Shards::ShardName& name)
{
    const bool rejected = result.status == Platform::StoreStatus::Rejected;
    if (rejected)
        context_.reportBadRecord(
            "shard.record_rejected", ShardDirectory::table, { { "key", name.value }, { "reason", result.error } });
    return monotonicNow() + (rejected ? rejectedRetryDelay : writeRetryDelay);
}

void ShardOwnership::renew(const Shards::ShardName& name, TimePoint now, bool release)
{
    const auto* current = directory_.find(name);
    if (current == nullptr || !isOwnRecord(*current)) {
        dropShard(name, "the record names another owner");
        return;
    }
    ShardOwner next = *current;
    ++next.renewal;
    next.released = release;
    next.hasDurableJobs = next.hasDurableJobs || recordStates_[name].recordDurableJobs;
    const auto row = ShardDirectory::encode(name, next);
    auto& state = recordStates_[name];
    state.writeInFlight = true;
    state.renewAt = now + renewInterval;
    noteSent(name, next, now);
    store_.write({ .conditions = { row }, .puts = { row } }, now + writeTimeout,
        [this, alive = alive_, name, next, release, sentAt = now](const Platform::RowsResult& result) {
            if (!*alive)
                return;
            auto& recordState = recordStates_[name];
            recordState.writeInFlight = false;
            if (result.status == Platform::StoreStatus::Ok) {
                auto written = ShardDirectory::encode(name, next);
                written.version = result.version;
                directory_.apply(written, monotonicNow());
                if (auto* server = serverOf(name))
                    server->confirmOwnership(sentAt);
                if (auto* server = serverOf(name);
                    server != nullptr && next.hasDurableJobs && recordState.recordDurableJobs) {
                    recordState.recordDurableJobs = false;
                    server->handleDurableJobsRecorded();
                }
                if (release)
                    dropShard(name, "released");
                return;
            }
            adoptRows(result);
            recordState.retryAt = retryTimeAfter(result, name);
        });
}

void ShardOwnership::adoptRows(const Platform::RowsResult& result)
{
    if (result.status != Platform::StoreStatus::Conflict)
        return;
    for (const auto& row : result.rows) {
        if (row.table != ShardDirectory::table || row.deleted || row.value.empty())
            continue;
        if (directory_.apply(row, monotonicNow()) && row.key != ShardDirectory::layoutKey)
            handleRecordChange(Shards::ShardName(row.key));
    }
}

void ShardOwnership::handleRecordChange(const Shards::ShardName& name)
{
    const auto* owner = directory_.find(name);
    if (owner == nullptr)
        return;
    // The malformed record is kept, because a claim of the shard depends on its epoch and version.
    if (!tryParseEndpoint(owner->address))
        context_.reportBadRecord(
            "shard.bad_record", ShardDirectory::table, { { "key", name.value }, { "reason", "address" } });
    // A record that was replaced within a short time may never have been seen here.
    if (const auto found = servers_.find(name);
        found != servers_.end() && isOwnRecord(*owner) && owner->epoch > found->second->epoch())
        dropShard(name, "another owner came between this epoch and that of the record");
    const bool serving = servers_.contains(name);
    const bool handedOver
        = owner->handedOverBy == context_.settings.vm && owner->handedOverByIncarnation == context_.incarnation;
    if (serving && !isOwnRecord(*owner) && handedOver) {
        handOver(name, *owner);
        return;
    }
    if (serving && !isOwnRecord(*owner)) {
        dropShard(name, "the record names another owner");
        return;
    }
    // The record shows that a write succeeded although its answer has not arrived yet or was lost.
    if (serving)
        servers_.at(name)->confirmOwnership(earliestWriteOf(name, *owner));
    else if (isOwnRecord(*owner) && !owner->released && !leaving_ && owner->epoch > recordStates_[name].handedOverEpoch)
        startServer(name, *owner, earliestWriteOf(name, *owner));
}

void ShardOwnership::noteSent(const Shards::ShardName& name, const ShardOwner& record, TimePoint now)
{
    auto& state = recordStates_[name];
    if (state.sentEpoch == record.epoch && state.sentRenewal == record.renewal)
        return;
    state.sentEpoch = record.epoch;
    state.sentRenewal = record.renewal;
    state.firstSentAt = now;
}

TimePoint ShardOwnership::earliestWriteOf(const Shards::ShardName& name, const ShardOwner& record)
{
    const auto& state = recordStates_[name];
    const bool latest = state.sentEpoch == record.epoch && state.sentRenewal == record.renewal;
    return latest ? state.firstSentAt : TimePoint {};
}

void ShardOwnership::startServer(const Shards::ShardName& name, const ShardOwner& record, TimePoint confirmedAt)
{
    if (servers_.contains(name))
        return;
    context_.log.event("shard.gained", { { "shard", name.value }, { "epoch", record.epoch.value } });
    recordStates_[name].renewAt = monotonicNow() + renewInterval;
    recordStates_[name].recordDurableJobs = false;
    recordStates_[name].requestCount = 0;
    servers_[name] = std::make_unique<ShardServer>(context_, store_,
        ShardServer::Options { .name = name,
            .epoch = record.epoch,
            .predecessor = { .vm = record.handedOverBy, .incarnation = record.handedOverByIncarnation },
            .hasDurableJobs = record.hasDurableJobs,
            .ownershipConfirmedAt = confirmedAt },
        ShardServer::Handlers { .otherShards = [this, name] { return otherShards(name); },
            .fenced = [this, name] { dropShard(name, "another owner has written or used a higher fencing token"); },
            .recordDurableJobs = [this, name] { recordDurableJobs(name); },
            .answer = handlers_.answer,
            .requestConfirmation =
                [this, name, epoch = record.epoch](const Submitter& origin) {
                    handlers_.moved(origin, name, { .address = context_.settings.peerListen, .epoch = epoch });
                },
            .holdsRequest = handlers_.holdsRequest });
    servers_[name]->setShardCount(
        std::max<std::size_t>(context_.settings.allDomains.size() * directory_.shardsPerDomain().value_or(1), 1));
    followUpstreams();
    for (const auto& [id, info] : registry_.upstreams())
        assignUpstream(info);
    auto* server = servers_.at(name).get();
    if (const auto early = earlyHandOvers_.find(name); early != earlyHandOvers_.end()) {
        if (early->second.from == server->predecessor()
            && isPrecedingEpoch(early->second.content.epoch, server->epoch()))
            server->takeOver(early->second.content);
        earlyHandOvers_.erase(early);
    }
    if (!server->predecessor().vm.empty())
        notifyTaken(name, record);
}

std::vector<Shards::OtherShard> ShardOwnership::otherShards(const Shards::ShardName& excluded) const
{
    std::vector<Shards::OtherShard> others;
    for (const auto& [name, owner] : directory_.owners()) {
        const auto* status = directory_.statusOf(name);
        const bool reachable = servers_.contains(name) || peers_.stateOf(owner.address) == Shards::PeerState::Connected;
        const bool evacuated = context_.evacuations.contains(ShardDirectory::domainOf(name));
        if (name != excluded && status != nullptr && reachable && !evacuated)
            others.push_back(
                { .name = name, .freeMilliCores = status->freeMilliCores, .waitingJobs = status->waitingJobs });
    }
    return others;
}

void ShardOwnership::recordDurableJobs(const Shards::ShardName& name)
{
    auto& state = recordStates_[name];
    state.recordDurableJobs = true;
    if (!state.writeInFlight)
        renew(name, monotonicNow(), false);
}

void ShardOwnership::dropShard(const Shards::ShardName& name, std::string_view reason)
{
    const auto found = servers_.find(name);
    if (found == servers_.end())
        return;
    context_.log.event("shard.lost",
        { { "shard", name.value }, { "epoch", found->second->epoch().value }, { "reason", reason },
            { "unfinished_jobs", std::uint64_t { found->second->unfinishedJobs() } } });
    auto server = std::move(found->second);
    servers_.erase(found);
    server->abandon();
    recordStates_[name].retryAt = monotonicNow() + writeRetryDelay;
}

void ShardOwnership::handlePeerClosed(const PeerLink& link)
{
    for (auto& [name, server] : servers_) {
        // An entry sends submissions on the connection that it opened, and treats them as lost when that connection
        // closes.
        if (link.inbound())
            server->cancelAllFrom(link);
        if (server->predecessor() == link.peer() && !peers_.connectedTo(link.peer()))
            server->handlePredecessorGone();
    }
}

void ShardOwnership::leave(TimePoint releaseAt)
{
    leaving_ = true;
    releaseAt_ = releaseAt;
    const auto now = monotonicNow();
    for (auto& [name, server] : servers_) {
        recordStates_[name].requestCount = 0;
        requestTakeOver(name, now);
    }
}

Shards::ShardName ShardOwnership::shardOf(const Shards::UpstreamInfo& info) const
{
    // Rendezvous hashing: the shard of an upstream depends only on its id, its failure domain and the number of shards.
    const auto shards = directory_.shardsPerDomain().value_or(1);
    unsigned best = 0;
    std::uint64_t bestWeight = 0;
    for (unsigned i = 0; i < shards; ++i) {
        const auto weight = stableHash(info.id.value + "/" + std::to_string(i));
        if (weight >= bestWeight) {
            bestWeight = weight;
            best = i;
        }
    }
    return ShardDirectory::shardName(info.domain, best);
}

void ShardOwnership::assignUpstream(const Shards::UpstreamInfo& info)
{
    const auto name = shardOf(info);
    if (auto* server = serverOf(name))
        server->updateUpstream(info);
}

void ShardOwnership::removeUpstream(const Shards::UpstreamId& id)
{
    for (auto& [name, server] : servers_)
        server->removeUpstream(id);
}

} // namespace Balsammill
