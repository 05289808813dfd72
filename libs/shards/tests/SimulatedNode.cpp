#include "SimulatedNode.h"

#include <algorithm>
#include <utility>

namespace Balsammill::Shards::Testing {

namespace {

constexpr int tickInterval = 50;
constexpr int ownerStatusInterval = 100;
constexpr int heartbeatInterval = 250;
constexpr int newOwnerConnectTimeout = 800;
constexpr int ownerWait = 400;
constexpr int handOverTimeout = 1'500;

} // namespace

SimulatedNode::SimulatedNode(SimulatedWorld& world, const ProcessKey& key, Handlers handlers)
    : process_ { .world = world, .key = key, .progressAt = world.now, .settledAt = world.now }
    , handlers_(std::move(handlers))
    , peers_(process_,
          { .connect = [this](int place) { return handlers_.connect(process_.key, place); },
              .message = [this](const auto& from, const auto& content) { handleMessage(from, content); },
              .closed = [this](const auto& link) { handleLinkClosed(link); } })
    , tickAt_(world.now)
{
}

void SimulatedNode::stand(int milliseconds)
{
    if (process_.stands())
        return;
    process_.standsUntil = process_.wokenAt = process_.world.now + milliseconds;
    if (process_.world.clocksStand)
        process_.clockBehind += milliseconds;
}

void SimulatedNode::end(bool silently)
{
    if (!silently)
        peers_.closeAll();
}

void SimulatedNode::step()
{
    if (process_.stands())
        return;
    // Timers that are overdue may run before or after the sockets are read.
    std::vector<void (SimulatedNode::*)()> parts { &SimulatedNode::readClients, &SimulatedNode::runTimersAndInbox,
        &SimulatedNode::tick };
    std::shuffle(parts.begin(), parts.end(), process_.world.random);
    for (const auto part : parts) {
        (this->*part)();
        peers_.read();
    }
}

void SimulatedNode::enqueueRequest(const ClientAttempt& client, std::shared_ptr<const JobSpec> job, int arrivesAt)
{
    clientEvents_[client].push_back({ .at = arrivesAt, .job = std::move(job) });
}

void SimulatedNode::enqueueClientClosed(const ClientAttempt& client)
{
    clientEvents_[client].push_back({ .at = process_.world.now, .job = nullptr });
}

void SimulatedNode::readClients()
{
    auto& world = process_.world;
    for (auto it = clientEvents_.begin(); it != clientEvents_.end();) {
        const auto client = it->first;
        auto& events = it->second;
        while (!events.empty() && events.front().at <= world.now && !(process_.justWoken() && world.oneIn(2))) {
            const auto event = std::move(events.front());
            events.pop_front();
            // The end of the client's connection is looked for before its job is submitted.
            const bool left = event.job && !events.empty() && events.front().at <= world.now;
            if (left) {
                events.pop_front();
                continue;
            }
            if (event.job) {
                requests_[++lastRequest_] = { .client = client, .job = event.job, .arrivedAt = process_.now() };
                dispatch(lastRequest_);
                continue;
            }
            const auto held = std::find_if(
                requests_.begin(), requests_.end(), [&](const auto& each) { return each.second.client == client; });
            if (held != requests_.end())
                cancel(held->first);
        }
        it = events.empty() ? clientEvents_.erase(it) : std::next(it);
    }
}

void SimulatedNode::runTimersAndInbox()
{
    auto& world = process_.world;
    std::vector<std::function<void()>> due;
    std::erase_if(process_.timers, [&](auto& each) {
        if (each.first > process_.now())
            return false;
        due.push_back(std::move(each.second));
        return true;
    });
    std::erase_if(process_.inbox->waiting, [&](auto& each) {
        if (each.first > world.now || (process_.justWoken() && world.oneIn(3)))
            return false;
        due.push_back(std::move(each.second));
        return true;
    });
    std::shuffle(due.begin(), due.end(), world.random);
    for (const auto& each : due)
        each();
}

void SimulatedNode::tick()
{
    const auto now = process_.now();
    if (now < tickAt_)
        return;
    tickAt_ = now + tickInterval;
    process_.noteProgress();
    peers_.advance();
    for (auto& [shard, owner] : owners_)
        owner->advance();
    std::erase_if(
        outgoingHandOvers_, [&](const OutgoingHandOver& each) { return sendHandOver(each) || now >= each.expiresAt; });
    expireEarlyConfirmations();
    for (auto& [shard, owner] : owners_) {
        if (now - owner->startedAt() > handOverTimeout)
            owner->handlePredecessorGone();
    }
    for (const auto& [shard, record] : records_) {
        if (record.owner.place != process_.key.place)
            peers_.linkTo(record.owner.place);
    }
    std::vector<std::uint64_t> waiting;
    std::vector<std::uint64_t> lost;
    for (auto& [number, request] : requests_) {
        if (request.waitsForOwner)
            waiting.push_back(number);
        if (request.newOwner < 0)
            continue;
        connectToNewOwner(number, request);
        if (request.newOwner >= 0 && now >= request.newOwnerDeadline)
            lost.push_back(number);
    }
    for (const auto number : lost)
        answerInDoubt(number);
    for (const auto number : waiting)
        dispatch(number);
    sendStatus();
}

void SimulatedNode::sendStatus()
{
    const auto now = process_.now();
    if (!process_.isSettled())
        return;
    if (now - statusAt_ >= (owners_.empty() ? heartbeatInterval : ownerStatusInterval)) {
        statusAt_ = now;
        peers_.sendStatus();
    }
}

void SimulatedNode::handleMessage(const std::shared_ptr<SimulatedLink>& from, const PeerContent& content)
{
    std::visit([&](const auto& each) { handle(from, each); }, content);
}

void SimulatedNode::handle(const std::shared_ptr<SimulatedLink>& from, const StatusMessage&)
{
    const bool any = std::any_of(
        requests_.begin(), requests_.end(), [&](const auto& each) { return each.second.link.lock() == from; });
    if (any && process_.isSettled())
        from->send(process_, EmptyMessage {});
}

void SimulatedNode::handle(const std::shared_ptr<SimulatedLink>& from, const SubmitMessage& message)
{
    const SimulatedSubmitter submitter { .process = from->peer, .number = message.number };
    const auto owner = owners_.find(message.shard);
    if (owner == owners_.end())
        answerSubmitter(submitter, OwnerResult::NotOwner);
    else
        owner->second->submit(submitter, from, message.job);
}

void SimulatedNode::handle(const std::shared_ptr<SimulatedLink>&, const AnswerMessage& message)
{
    handleAnswer(message.number, message.result);
}

void SimulatedNode::handle(const std::shared_ptr<SimulatedLink>& from, const CancelMessage& message)
{
    for (auto& [shard, owner] : owners_)
        owner->cancel({ .process = from->peer, .number = message.number });
}

void SimulatedNode::handle(const std::shared_ptr<SimulatedLink>&, const MovedMessage& message)
{
    handleMoved(message.number, message);
}

void SimulatedNode::handle(const std::shared_ptr<SimulatedLink>& from, const ConfirmMessage& message)
{
    const auto owner = owners_.find(message.shard);
    const SimulatedSubmitter submitter { .process = from->peer, .number = message.number };
    if (owner == owners_.end() || !owner->second->predecessor().empty())
        earlyConfirmations_[submitter] = { .shard = message.shard, .expiresAt = process_.now() + handOverTimeout };
    else if (!owner->second->confirm(submitter, from))
        answerSubmitter(submitter, OwnerResult::InDoubt);
}

void SimulatedNode::confirmLocal(int shard, std::uint64_t number)
{
    const SimulatedSubmitter submitter { .process = {}, .number = number };
    const auto owner = owners_.find(shard);
    if (owner == owners_.end() || !owner->second->holds(submitter))
        earlyConfirmations_[submitter] = { .shard = shard, .expiresAt = process_.now() + handOverTimeout };
}

void SimulatedNode::expireEarlyConfirmations()
{
    std::vector<std::pair<SimulatedSubmitter, int>> expired;
    for (const auto& [submitter, early] : earlyConfirmations_) {
        if (process_.now() >= early.expiresAt)
            expired.emplace_back(submitter, early.shard);
    }
    for (const auto& [submitter, shard] : expired) {
        earlyConfirmations_.erase(submitter);
        const auto owner = owners_.find(shard);
        if (owner == owners_.end() || !owner->second->holds(submitter))
            answerSubmitter(submitter, OwnerResult::InDoubt);
    }
}

void SimulatedNode::handle(const std::shared_ptr<SimulatedLink>& from, const HandOverMessage& message)
{
    const auto owner = owners_.find(message.content->shard);
    if (owner != owners_.end() && owner->second->predecessor() == from->peer
        && message.content->epoch + 1 == owner->second->epoch())
        owner->second->takeOver(*message.content);
    else
        earlyHandOvers_[message.content->shard] = { from->peer, message.content };
}

void SimulatedNode::handleLinkClosed(const SimulatedLink& link)
{
    for (auto& [shard, owner] : owners_) {
        if (link.inbound())
            owner->cancelAllFrom(link);
        if (owner->predecessor() == link.peer && !peers_.connectedTo(link.peer))
            owner->handlePredecessorGone();
    }
    std::vector<std::uint64_t> lost;
    for (const auto& [number, request] : requests_) {
        if (request.link.lock().get() == &link)
            lost.push_back(number);
    }
    for (const auto number : lost)
        answerInDoubt(number);
}

void SimulatedNode::dispatch(std::uint64_t number)
{
    auto& request = requests_.at(number);
    request.waitsForOwner = true;
    std::vector<int> shards;
    for (const auto& [shard, record] : records_) {
        if (process_.isSettled())
            shards.push_back(shard);
    }
    std::shuffle(shards.begin(), shards.end(), process_.world.random);
    for (const auto shard : shards) {
        if (request.triedShards.contains(shard))
            continue;
        const auto local = owners_.find(shard);
        const auto link = local != owners_.end() ? nullptr : peers_.linkTo(records_.at(shard).owner.place);
        if (local == owners_.end() && link == nullptr)
            continue;
        request.waitsForOwner = false;
        request.shard = shard;
        request.link = link;
        if (link)
            link->send(process_, SubmitMessage { .number = number, .shard = shard, .job = request.job });
        else
            local->second->submit({ .process = {}, .number = number }, nullptr, request.job);
        return;
    }
    if (process_.now() < request.arrivedAt + ownerWait)
        request.triedShards.clear();
    else
        answerClient(number, OwnerResult::Refused);
}

void SimulatedNode::cancel(std::uint64_t number)
{
    const auto request = std::move(requests_.at(number));
    requests_.erase(number);
    process_.world.trace(request.job->id, "cancelled at " + std::to_string(process_.key.place));
    for (auto& [shard, owner] : owners_)
        owner->cancel({ .process = {}, .number = number });
    auto link = request.link.lock();
    if (!link && request.newOwner >= 0)
        link = peers_.linkTo(request.newOwner);
    if (link)
        link->send(process_, CancelMessage { .number = number });
}

void SimulatedNode::handleMoved(std::uint64_t number, const MovedMessage& message)
{
    const auto found = requests_.find(number);
    if (found == requests_.end()) {
        const auto link = message.owner == process_.key.place ? nullptr : peers_.linkTo(message.owner);
        if (link)
            link->send(process_, CancelMessage { .number = number });
        return;
    }
    auto& request = found->second;
    if (request.shard != message.shard || message.epoch < request.ownerEpoch)
        return;
    const bool alreadyConnecting = request.newOwner == message.owner;
    request.ownerEpoch = message.epoch;
    request.link.reset();
    request.newOwner = -1;
    if (message.owner == process_.key.place) {
        confirmLocal(message.shard, number);
        return;
    }
    request.newOwner = message.owner;
    if (!alreadyConnecting)
        request.newOwnerDeadline = process_.now() + newOwnerConnectTimeout;
    connectToNewOwner(number, request);
}

void SimulatedNode::connectToNewOwner(std::uint64_t number, Request& request)
{
    const auto link = peers_.linkTo(request.newOwner);
    if (!link || !process_.isSettled())
        return;
    request.link = link;
    request.newOwner = -1;
    link->send(process_, ConfirmMessage { .number = number, .shard = request.shard });
}

void SimulatedNode::handleAnswer(std::uint64_t number, OwnerResult result)
{
    const auto found = requests_.find(number);
    if (found == requests_.end())
        return;
    if (result == OwnerResult::InDoubt) {
        answerInDoubt(number);
        return;
    }
    if (result != OwnerResult::NotOwner) {
        answerClient(number, result);
        return;
    }
    found->second.triedShards.insert(found->second.shard);
    dispatch(number);
}

void SimulatedNode::answerClient(std::uint64_t number, OwnerResult result)
{
    const auto request = std::move(requests_.at(number));
    requests_.erase(number);
    process_.world.trace(request.job->id,
        "answer " + std::to_string(static_cast<int>(result)) + " at " + std::to_string(process_.key.place) + "/"
            + std::to_string(number));
    handlers_.answerClient(request.client, result);
}

void SimulatedNode::answerInDoubt(std::uint64_t number)
{
    const auto client = requests_.at(number).client;
    cancel(number);
    handlers_.answerClient(client, OwnerResult::InDoubt);
}

void SimulatedNode::answerSubmitter(const SimulatedSubmitter& to, OwnerResult result)
{
    if (to.process.empty()) {
        process_.runAfter(0, [this, number = to.number, result] { handleAnswer(number, result); });
        return;
    }
    if (const auto link = peers_.linkOf(to.process))
        link->send(process_, AnswerMessage { .number = to.number, .result = result });
}

void SimulatedNode::notifyMoved(const SimulatedSubmitter& to, int shard, int owner, std::uint64_t epoch)
{
    const MovedMessage message { .number = to.number, .shard = shard, .owner = owner, .epoch = epoch };
    if (to.process == process_.key)
        handleMoved(to.number, message);
    else if (const auto link = process_.world.oneIn(5) ? nullptr : peers_.linkOf(to.process))
        link->send(process_, message);
}

void SimulatedNode::submitDurable(int shard, const std::shared_ptr<const JobSpec>& job)
{
    if (const auto owner = owners_.find(shard); owner != owners_.end())
        owner->second->submitDurable(job);
}

void SimulatedNode::readRecord(int shard)
{
    const auto& current = process_.world.records.at(shard);
    if (process_.stands() || (records_.contains(shard) && records_.at(shard).epoch == current.epoch))
        return;
    records_[shard] = current;
    handleRecordChange(shard);
}

void SimulatedNode::handleRecordChange(int shard)
{
    const auto& record = records_.at(shard);
    if (const auto own = owners_.find(shard);
        own != owners_.end() && record.owner == process_.key && own->second->epoch() < record.epoch)
        dropOwner(shard, own->second->epoch());
    const auto found = owners_.find(shard);
    if (found != owners_.end() && record.owner != process_.key) {
        if (record.handedOverBy != process_.key) {
            dropOwner(shard, found->second->epoch());
            return;
        }
        const auto owner = std::move(found->second);
        owners_.erase(found);
        const OutgoingHandOver outgoing { .content = std::make_shared<const SimulatedHandOver>(owner->handOver()),
            .successor = record,
            .expiresAt = process_.now() + handOverTimeout };
        if (!sendHandOver(outgoing))
            outgoingHandOvers_.push_back(outgoing);
        return;
    }
    if (found == owners_.end() && record.owner == process_.key)
        startOwner(shard);
}

bool SimulatedNode::sendHandOver(const OutgoingHandOver& outgoing)
{
    const auto& successor = outgoing.successor;
    auto link = peers_.linkOf(successor.owner);
    if (!link)
        link = peers_.linkTo(successor.owner.place);
    if (!link)
        return false;
    link->send(process_, HandOverMessage { .content = outgoing.content });
    for (const auto& job : outgoing.content->jobs)
        notifyMoved(job.origin, outgoing.content->shard, successor.owner.place, successor.epoch);
    return true;
}

void SimulatedNode::startOwner(int shard)
{
    const auto& record = records_.at(shard);
    owners_[shard] = std::make_unique<SimulatedOwner>(process_, shard, record,
        SimulatedOwner::Handlers { .fenced
            = [this, shard, epoch = record.epoch] { process_.runAfter(0, [=, this] { dropOwner(shard, epoch); }); },
            .answer = [this](const auto& to, OwnerResult result) { answerSubmitter(to, result); },
            .requestConfirmation = [this, shard, epoch = record.epoch](
                                       const auto& to) { notifyMoved(to, shard, process_.key.place, epoch); },
            .holdsRequest = [this](std::uint64_t number) { return requests_.contains(number); } });
    const auto early = earlyHandOvers_.find(shard);
    if (early == earlyHandOvers_.end())
        return;
    const auto [from, content] = early->second;
    earlyHandOvers_.erase(early);
    if (from == owners_.at(shard)->predecessor() && content->epoch + 1 == record.epoch)
        owners_.at(shard)->takeOver(*content);
}

void SimulatedNode::dropOwner(int shard, std::uint64_t epoch)
{
    const auto found = owners_.find(shard);
    if (found == owners_.end() || found->second->epoch() != epoch)
        return;
    const auto owner = std::move(found->second);
    owners_.erase(found);
    owner->abandon();
}

} // namespace Balsammill::Shards::Testing
