#include "ResendSimulation.h"

#include "EngineFixture.h"

#include <algorithm>

namespace Balsammill::Shards::Testing {

namespace {

constexpr int stepMs = 5;
constexpr int startAt = 10'000;
constexpr int endAt = startAt + 15'000;
constexpr int places = 4;
// Time after an answer in doubt or the loss of its connection until a client submits its job again.
constexpr int resendDelay = 1'300;

} // namespace

ResendSimulation::ResendSimulation(unsigned seed, const Options& options)
    : world_(seed)
    , nodes_(places)
    , restartAt_(places, startAt)
    , incarnations_(places)
    , storeAwayUntil_(places)
{
    world_.now = startAt;
    world_.confirmation = options.confirmation;
    world_.clocksStand = options.clocksStand;
    world_.limitsLateGrants = options.limitsLateGrants;
    world_.setMaxListedEnds(options.maxListedEnds);
    world_.traced = options.traced;
    for (int shard = 0; shard < SimulatedWorld::shardCount; ++shard)
        world_.records[shard] = { .epoch = 1, .owner = { .place = shard, .incarnation = 1 }, .handedOverBy = {} };
}

std::string ResendSimulation::run()
{
    for (; world_.now < endAt && world_.violation.empty(); world_.now += stepMs) {
        world_.advanceUpstreams();
        disturbProcesses();
        disturbConnections();
        changeOwners();
        readRecords();
        advanceClients();
        std::vector<SimulatedNode*> running;
        for (const auto& node : nodes_) {
            if (node)
                running.push_back(node.get());
        }
        std::shuffle(running.begin(), running.end(), world_.random);
        for (auto* node : running)
            node->step();
    }
    return world_.violation;
}

std::shared_ptr<SimulatedWire> ResendSimulation::connect(const ProcessKey& from, int place)
{
    const auto& node = nodes_.at(static_cast<std::size_t>(place));
    if (!node || place == from.place)
        return nullptr;
    auto wire = std::make_shared<SimulatedWire>();
    wire->ends = { from, node->key() };
    wires_.push_back(wire);
    node->enqueueConnection(wire);
    return wire;
}

int ResendSimulation::randomRunningPlace()
{
    std::vector<int> running;
    for (int place = 0; place < places; ++place) {
        if (const auto& node = nodes_.at(static_cast<std::size_t>(place)); node && !node->stands())
            running.push_back(place);
    }
    return running.empty() ? -1
                           : running[static_cast<std::size_t>(world_.between(0, static_cast<int>(running.size()) - 1))];
}

void ResendSimulation::addClient()
{
    JobOptions options { .id = "job" + std::to_string(clients_.size()),
        .tasks = static_cast<std::uint32_t>(world_.between(1, 2)),
        .milliCores = world_.between(6'000, 16'000),
        .estimateMs = world_.between(600, 2'500),
        .stretch = 6,
        .overheadMs = 2'000 };
    clients_.push_back({ .job = makeJob(options) });
    submit(static_cast<int>(clients_.size()) - 1);
}

void ResendSimulation::submit(int client)
{
    auto& each = clients_.at(static_cast<std::size_t>(client));
    const auto place = static_cast<std::size_t>(world_.between(0, places - 1));
    ++each.attempt;
    resends_ += each.attempt > 1 ? 1 : 0;
    const auto& node = nodes_.at(place);
    each.waits = node != nullptr;
    if (!node) {
        each.resendAt = world_.now + resendDelay;
        return;
    }
    each.entry = node->key();
    node->enqueueRequest({ .client = client, .attempt = each.attempt }, each.job, world_.now + world_.between(1, 20));
}

// The client notices at this moment that its connection is gone.
void ResendSimulation::loseConnection(int client)
{
    auto& each = clients_.at(static_cast<std::size_t>(client));
    world_.trace(each.job->id, "client loses its connection to " + std::to_string(each.entry.place));
    each.waits = false;
    each.resendAt = world_.now + resendDelay;
    const auto& node = nodes_.at(static_cast<std::size_t>(each.entry.place));
    if (node && node->key() == each.entry)
        node->enqueueClientClosed({ .client = client, .attempt = each.attempt });
}

void ResendSimulation::advanceClients()
{
    if (world_.oneIn(80))
        addClient();
    for (std::size_t i = 0; i < clients_.size(); ++i) {
        auto& each = clients_[i];
        if (each.done)
            continue;
        const auto& node = nodes_.at(static_cast<std::size_t>(std::max(each.entry.place, 0)));
        const bool entryGone = each.waits && (!node || node->key() != each.entry);
        if (each.waits && world_.oneIn(entryGone ? 10 : 1'000))
            loseConnection(static_cast<int>(i));
        else if (!each.waits && world_.now >= each.resendAt)
            submit(static_cast<int>(i));
    }
}

void ResendSimulation::disturbProcesses()
{
    for (int place = 0; place < places; ++place) {
        const auto index = static_cast<std::size_t>(place);
        auto& node = nodes_[index];
        if (!node && world_.now >= restartAt_[index]) {
            node = std::make_unique<SimulatedNode>(world_,
                ProcessKey { .place = place, .incarnation = ++incarnations_[index] },
                SimulatedNode::Handlers {
                    .connect = [this](const ProcessKey& from, int to) { return connect(from, to); },
                    .answerClient =
                        [this](const ClientAttempt& to, OwnerResult result) {
                            auto& client = clients_.at(static_cast<std::size_t>(to.client));
                            if (!client.waits || client.attempt != to.attempt)
                                return;
                            client.waits = false;
                            client.done = result != OwnerResult::InDoubt;
                            ended_ += result == OwnerResult::Ended ? 1 : 0;
                            client.resendAt = world_.now + resendDelay;
                        } });
        } else if (node && world_.oneIn(1'000)) {
            const auto duration = world_.between(100, world_.oneIn(2) ? 4'000 : 1'200);
            world_.trace({}, std::to_string(place) + " stands for " + std::to_string(duration));
            node->stand(duration);
        } else if (node && world_.oneIn(6'000)) {
            world_.trace({}, std::to_string(place) + " ends");
            node->end(world_.oneIn(2));
            node.reset();
            restartAt_[index] = world_.now + world_.between(200, 2'000);
        }
    }
}

void ResendSimulation::disturbConnections()
{
    std::erase_if(wires_, [](const auto& each) { return each.expired(); });
    for (const auto& weak : wires_) {
        const auto wire = weak.lock();
        const auto name = std::to_string(wire->ends[0].place) + "-" + std::to_string(wire->ends[1].place);
        if (world_.oneIn(3'000)) {
            const auto sides = world_.between(1, 3);
            world_.trace({}, name + " goes silent toward " + std::to_string(sides));
            if ((sides & 1) != 0)
                wire->toward[0].silentFrom = world_.now;
            if ((sides & 2) != 0)
                wire->toward[1].silentFrom = world_.now;
        } else if (world_.oneIn(10'000)) {
            world_.trace({}, name + " breaks");
            wire->send(world_, 0, { .content = EndOfLink {} });
            wire->send(world_, 1, { .content = EndOfLink {} });
        }
    }
}

void ResendSimulation::assignShard(int shard, int place, bool handedOver)
{
    auto& record = world_.records.at(shard);
    const auto& node = nodes_.at(static_cast<std::size_t>(place));
    if (place == record.owner.place && node->key() == record.owner)
        return;
    world_.trace(
        {}, "shard " + std::to_string(shard) + " to " + std::to_string(place) + (handedOver ? " by handover" : ""));
    record = {
        .epoch = record.epoch + 1, .owner = node->key(), .handedOverBy = handedOver ? record.owner : ProcessKey {}
    };
    node->readRecord(shard);
}

void ResendSimulation::changeOwners()
{
    for (const auto& [shard, record] : std::map(world_.records)) {
        const auto place = randomRunningPlace();
        if (place < 0)
            return;
        const auto& owner = nodes_.at(static_cast<std::size_t>(record.owner.place));
        const bool gone = !owner || owner->key() != record.owner;
        if (gone && world_.oneIn(60))
            assignShard(shard, place, false);
        else if (!gone && world_.oneIn(owner->stands() ? 500 : 3'000))
            assignShard(shard, place, false);
        else if (!gone && world_.oneIn(600))
            assignShard(shard, place, true);
    }
}

void ResendSimulation::readRecords()
{
    for (std::size_t place = 0; place < nodes_.size(); ++place) {
        if (world_.oneIn(1'500))
            storeAwayUntil_[place] = world_.now + world_.between(200, 3'000);
        if (!nodes_[place] || storeAwayUntil_[place] > world_.now)
            continue;
        for (const auto& [shard, record] : world_.records) {
            if (world_.oneIn(10))
                nodes_[place]->readRecord(shard);
        }
    }
}

} // namespace Balsammill::Shards::Testing
