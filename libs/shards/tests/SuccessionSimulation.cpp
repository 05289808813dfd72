#include "SuccessionSimulation.h"

#include "EngineFixture.h"

#include <algorithm>

namespace Balsammill::Shards::Testing {

namespace {

constexpr int stepMs = 5;
constexpr int startAt = 10'000;
constexpr int faultsEndAt = startAt + 12'000;
constexpr int endAt = faultsEndAt + 20'000;
constexpr int places = 4;
constexpr int resubmitInterval = 200;

} // namespace

SuccessionSimulation::SuccessionSimulation(unsigned seed, const Options& options)
    : world_(seed)
    , nodes_(places)
    , restartAt_(places, startAt)
    , incarnations_(places)
{
    world_.now = startAt;
    world_.durableJobs = true;
    world_.reservesRunNumbers = options.reservesRunNumbers;
    world_.traced = options.traced;
    for (int shard = 0; shard < SimulatedWorld::shardCount; ++shard)
        world_.records[shard] = { .epoch = 1, .owner = { .place = shard, .incarnation = 1 }, .handedOverBy = {} };
}

std::string SuccessionSimulation::run()
{
    for (; world_.now < endAt && world_.violation.empty() && !haveAllEnded(); world_.now += stepMs) {
        world_.advanceUpstreams();
        startProcesses();
        if (world_.now < faultsEndAt)
            disturb();
        chooseOwners();
        submitJobs();
        step();
    }
    if (world_.violation.empty())
        world_.violation = checkEnds();
    return world_.violation;
}

SimulatedNode* SuccessionSimulation::ownerOf(int shard)
{
    const auto& owner = world_.records.at(shard).owner;
    auto* node = nodeAt(owner.place);
    return node != nullptr && node->key() == owner ? node : nullptr;
}

std::shared_ptr<SimulatedWire> SuccessionSimulation::connect(const ProcessKey& from, int place)
{
    auto* node = nodeAt(place);
    if (node == nullptr || place == from.place)
        return nullptr;
    auto wire = std::make_shared<SimulatedWire>();
    wire->ends = { from, node->key() };
    node->enqueueConnection(wire);
    return wire;
}

void SuccessionSimulation::startProcesses()
{
    for (int place = 0; place < places; ++place) {
        const auto index = static_cast<std::size_t>(place);
        if (nodes_[index] || world_.now < restartAt_[index])
            continue;
        nodes_[index] = std::make_unique<SimulatedNode>(world_,
            ProcessKey { .place = place, .incarnation = ++incarnations_[index] },
            SimulatedNode::Handlers { .connect = [this](const ProcessKey& from, int to) { return connect(from, to); },
                .answerClient = [](const ClientAttempt&, OwnerResult) {} });
    }
}

void SuccessionSimulation::endProcess(int place)
{
    const auto index = static_cast<std::size_t>(place);
    world_.trace({}, std::to_string(place) + " ends");
    nodes_[index]->end(world_.oneIn(2));
    nodes_[index].reset();
    restartAt_[index] = world_.now + world_.between(200, 1'500);
}

void SuccessionSimulation::disturb()
{
    if (world_.oneIn(110))
        addJob();
    if (world_.oneIn(1'000))
        world_.storeAwayUntil = world_.now + world_.between(100, 1'500);
    for (int shard = 0; shard < SimulatedWorld::shardCount; ++shard)
        disturbShard(shard);
}

void SuccessionSimulation::disturbShard(int shard)
{
    const auto upstream
        = shard * SimulatedWorld::upstreamsPerShard + world_.between(0, SimulatedWorld::upstreamsPerShard - 1);
    if (world_.oneIn(500)) {
        const auto until = world_.now + world_.between(500, 4'000);
        world_.trace({}, "u" + std::to_string(upstream) + " fails runs until " + std::to_string(until));
        world_.failRunsUntil(upstream, until);
    }
    if (world_.oneIn(700)) {
        const auto until = world_.now + world_.between(300, 3'000);
        world_.trace({}, "u" + std::to_string(upstream) + " is cut off until " + std::to_string(until));
        world_.cutUntil(upstream, until);
    }
    if (world_.oneIn(600))
        troubleUntil_[shard] = world_.now + world_.between(1'000, 5'000);
    if (ownerOf(shard) == nullptr || !world_.oneIn(world_.now < troubleUntil_[shard] ? 160 : 1'500))
        return;
    if (world_.oneIn(2))
        endProcess(world_.records.at(shard).owner.place);
    else
        setOwner(shard, true);
}

void SuccessionSimulation::chooseOwners()
{
    for (int shard = 0; shard < SimulatedWorld::shardCount; ++shard) {
        if (ownerOf(shard) == nullptr && world_.oneIn(30))
            setOwner(shard, false);
        for (const auto& node : nodes_) {
            if (node && world_.oneIn(10))
                node->readRecord(shard);
        }
    }
}

void SuccessionSimulation::setOwner(int shard, bool handedOver)
{
    auto& record = world_.records.at(shard);
    const auto place = world_.between(0, places - 1);
    const auto* node = nodeAt(place);
    if (node == nullptr || node->key() == record.owner)
        return;
    world_.trace(
        {}, "shard " + std::to_string(shard) + " to " + std::to_string(place) + (handedOver ? " by handover" : ""));
    record = {
        .epoch = record.epoch + 1, .owner = node->key(), .handedOverBy = handedOver ? record.owner : ProcessKey {}
    };
    ++ownerChanges_;
}

void SuccessionSimulation::addJob()
{
    auto spec = makeSpec({ .id = "job" + std::to_string(jobs_.size()),
        .tasks = static_cast<std::uint32_t>(world_.between(1, 3)),
        .milliCores = world_.between(2'000, 8'000),
        .estimateMs = world_.between(100, 900),
        .maxAttempts = static_cast<std::uint32_t>(world_.between(2, 6)) });
    spec.durable = true;
    spec.steps.front().gang = world_.oneIn(5);
    if (world_.oneIn(2))
        spec.schedule = RepeatSchedule { .count = static_cast<std::uint32_t>(world_.between(2, 8)),
            .firstRunUnixMs = world_.now + world_.between(0, 300),
            .interval = milliseconds(world_.between(200, 800)) };
    jobs_.push_back({ .spec = std::make_shared<const JobSpec>(std::move(spec)),
        .shard = world_.between(0, SimulatedWorld::shardCount - 1),
        .submitAt = world_.now });
}

void SuccessionSimulation::submitJobs()
{
    for (auto& job : jobs_) {
        if (world_.now < job.submitAt || world_.journals[job.shard].jobs.contains(job.spec->id))
            continue;
        job.submitAt = world_.now + resubmitInterval;
        if (auto* owner = ownerOf(job.shard))
            owner->submitDurable(job.shard, job.spec);
    }
}

void SuccessionSimulation::step()
{
    std::vector<SimulatedNode*> running;
    for (const auto& node : nodes_) {
        if (node)
            running.push_back(node.get());
    }
    std::shuffle(running.begin(), running.end(), world_.random);
    for (auto* node : running)
        node->step();
}

JobState SuccessionSimulation::storedState(const Job& job)
{
    const auto& stored = world_.journals[job.shard].jobs;
    const auto row = stored.find(job.spec->id);
    return row == stored.end() || !row->second.state ? JobState::Queued : row->second.state->state;
}

bool SuccessionSimulation::haveAllEnded()
{
    return world_.now >= faultsEndAt
        && std::all_of(jobs_.begin(), jobs_.end(), [this](const Job& job) { return isFinal(storedState(job)); });
}

std::string SuccessionSimulation::checkEnds()
{
    for (const auto& job : jobs_) {
        if (auto broken = world_.history.checkFinal(*job.spec, storedState(job)); !broken.empty())
            return broken;
    }
    return {};
}

} // namespace Balsammill::Shards::Testing
