#include "FairQueue.h"

#include <algorithm>

namespace Balsammill::Detail {

namespace {

// Shorter tasks may overtake a longer one for at least this long, so that a short burst of small tasks goes first.
constexpr Duration minAgingThreshold = std::chrono::milliseconds(500);
// Limits how far a correction at the end of a task can put a flow behind the others, in microseconds of work on all
// slots. Without the limit, a method that used idle slots for long tasks would be starved once other work arrives.
constexpr double maxCorrectionLeadMicros = 2'000'000;
// Callers choose client account names, so idle client accounts are evicted beyond this number to bound memory use.
constexpr std::size_t minClientAccountLimit = 1024;

Duration agingThreshold(const TaskRecord& task)
{
    const auto expected = task.runTimes->expected(task.sizeClass);
    return std::min(std::max(minAgingThreshold, 2 * expected), (task.deadline - task.queuedAt) / 2);
}

} // namespace

template <typename Flow> void FlowLevel<Flow>::activate(Flow& flow)
{
    flow.startTag = std::max(flow.startTag, virtualTime);
    flow.position = backlogged.insert({ flow.startTag, flow.tieBreaker, &flow }).first;
    flow.active = true;
    backloggedWeight += flow.weight;
}

template <typename Flow> void FlowLevel<Flow>::deactivate(Flow& flow)
{
    backlogged.erase(flow.position);
    flow.active = false;
    backloggedWeight -= flow.weight;
}

template <typename Flow> void FlowLevel<Flow>::charge(Flow& flow, double slotMicros)
{
    flow.startTag += slotMicros / static_cast<double>(flow.weight);
    if (!flow.active)
        return;
    backlogged.erase(flow.position);
    flow.position = backlogged.insert({ flow.startTag, flow.tieBreaker, &flow }).first;
}

namespace {

template <typename Flow>
void applyCorrection(FlowLevel<Flow>& level, Flow& flow, double slotMicros, std::uint32_t totalSlots)
{
    if (slotMicros > 0) {
        const auto weights = static_cast<double>(std::max<std::int64_t>(level.backloggedWeight, flow.weight));
        const auto latestTag = level.virtualTime + maxCorrectionLeadMicros * totalSlots / weights;
        const auto allowed = std::max(0.0, latestTag - flow.startTag) * static_cast<double>(flow.weight);
        slotMicros = std::min(slotMicros, allowed);
    }
    level.charge(flow, slotMicros);
}

} // namespace

FairQueue::FairQueue(RunTimeEstimates& estimates, const std::map<ClientAccountName, std::uint32_t>& weights)
    : estimates_(&estimates)
    , weights_(weights)
    , clientAccountLimit_(minClientAccountLimit)
{
}

void FairQueue::setClientAccountWeights(const std::map<ClientAccountName, std::uint32_t>& weights)
{
    weights_ = weights;
    for (auto& [name, flow] : clientAccountsByName_) {
        const auto found = weights_.find(name);
        const std::int64_t weight = found == weights_.end() ? 1 : std::max(1U, found->second);
        if (flow->active)
            clientAccounts_.backloggedWeight += weight - flow->weight;
        flow->weight = weight;
    }
}

void FairQueue::evictIdleClientAccounts()
{
    std::erase_if(clientAccountsByName_, [](const auto& entry) { return entry.second->references == 0; });
    // With the limit at twice the client accounts in use, the cost of an eviction pass is amortized over the client
    // accounts added since the last pass.
    clientAccountLimit_ = std::max(minClientAccountLimit, 2 * clientAccountsByName_.size());
}

ClientAccountFlow& FairQueue::clientAccount(const ClientAccountName& name)
{
    if (const auto found = clientAccountsByName_.find(name); found != clientAccountsByName_.end())
        return *found->second;
    if (clientAccountsByName_.size() >= clientAccountLimit_)
        evictIdleClientAccounts();
    auto flow = std::make_unique<ClientAccountFlow>();
    const auto weight = weights_.find(name);
    flow->weight = weight == weights_.end() ? 1 : std::max(1U, weight->second);
    flow->tieBreaker = nextTieBreaker_++;
    flow->name = name;
    return *clientAccountsByName_.emplace(name, std::move(flow)).first->second;
}

void FairQueue::assignFlow(TaskRecord& task, const TaskSpec& spec)
{
    auto& owner = clientAccount(spec.clientAccount);
    auto& flow = owner.methods[spec.method];
    if (!flow) {
        flow = std::make_unique<MethodFlow>();
        flow->clientAccount = &owner;
        flow->runTimes = task.runTimes;
        flow->tieBreaker = nextTieBreaker_++;
    }
    const std::int64_t weight = std::max(1U, spec.urgencyWeight);
    if (flow->active)
        owner.level.backloggedWeight += weight - flow->weight;
    flow->weight = weight;
    task.flow = flow.get();
}

void FairQueue::insert(TaskRecord& task, bool atFront)
{
    auto& flow = *task.flow;
    auto& tasks = flow.tasks[task.sizeClass];
    atFront ? tasks.pushFront(task) : tasks.pushBack(task);
    flow.queuedSlots[task.sizeClass] += task.slots.value;
    flow.clientAccount->queuedSlots += task.slots.value;
    ++flow.references;
    ++flow.clientAccount->references;
    if (flow.queuedTasks++ == 0)
        flow.clientAccount->level.activate(flow);
    if (flow.clientAccount->queuedTasks++ == 0)
        clientAccounts_.activate(*flow.clientAccount);
}

void FairQueue::push(TaskRecord& task) { insert(task, false); }

void FairQueue::pushFront(TaskRecord& task) { insert(task, true); }

void FairQueue::remove(TaskRecord& task)
{
    auto& flow = *task.flow;
    flow.tasks[task.sizeClass].remove(task);
    flow.queuedSlots[task.sizeClass] -= task.slots.value;
    flow.clientAccount->queuedSlots -= task.slots.value;
    --flow.references;
    --flow.clientAccount->references;
    if (--flow.queuedTasks == 0)
        flow.clientAccount->level.deactivate(flow);
    if (--flow.clientAccount->queuedTasks == 0)
        clientAccounts_.deactivate(*flow.clientAccount);
}

TaskRecord& FairQueue::selectTask(MethodFlow& flow, TimePoint now) const
{
    TaskRecord* oldest = nullptr;
    TaskRecord* shortest = nullptr;
    for (std::size_t i = 0; i < sizeClassCount; ++i) {
        auto* head = flow.tasks[i].front();
        if (!head)
            continue;
        if (!oldest || head->arrival < oldest->arrival)
            oldest = head;
        if (!shortest || flow.runTimes->expected(i) < flow.runTimes->expected(shortest->sizeClass))
            shortest = head;
    }
    if (oldest->arrival < 0 || now - oldest->queuedAt >= agingThreshold(*oldest))
        return *oldest;
    // Size classes whose expected run times differ by less than a factor of two are served in order of arrival.
    const bool overtakes
        = 2 * flow.runTimes->expected(shortest->sizeClass) <= flow.runTimes->expected(oldest->sizeClass);
    return overtakes ? *shortest : *oldest;
}

TaskRecord* FairQueue::pop(TimePoint now)
{
    if (clientAccounts_.backlogged.empty())
        return nullptr;
    auto& clientAccount = *clientAccounts_.backlogged.begin()->flow;
    auto& flow = *clientAccount.level.backlogged.begin()->flow;
    auto& task = selectTask(flow, now);
    clientAccounts_.virtualTime = std::max(clientAccounts_.virtualTime, clientAccount.startTag);
    clientAccount.level.virtualTime = std::max(clientAccount.level.virtualTime, flow.startTag);
    remove(task);
    ++flow.references;
    ++clientAccount.references;
    clientAccount.slotsInUse += task.slots.value;
    task.charge = flow.runTimes->expected(task.sizeClass).count() * task.slots.value;
    clientAccount.level.charge(flow, static_cast<double>(task.charge));
    clientAccounts_.charge(clientAccount, static_cast<double>(task.charge));
    return &task;
}

void FairQueue::reconcileCharge(TaskRecord& task, std::int64_t usedSlotMicros, std::uint32_t totalSlots)
{
    auto& flow = *task.flow;
    const auto difference = static_cast<double>(usedSlotMicros - task.charge);
    applyCorrection(flow.clientAccount->level, flow, difference, totalSlots);
    applyCorrection(clientAccounts_, *flow.clientAccount, difference, totalSlots);
    task.charge = 0;
    flow.clientAccount->slotsInUse -= task.slots.value;
    --flow.references;
    --flow.clientAccount->references;
}

std::vector<ClientAccountDemand> FairQueue::clientAccountDemands() const
{
    std::vector<ClientAccountDemand> demands;
    for (const auto& [name, flow] : clientAccountsByName_) {
        if (flow->queuedSlots > 0 || flow->slotsInUse > 0)
            demands.push_back({ .clientAccount = name, .slotsInUse = flow->slotsInUse, .queued = flow->queuedSlots });
    }
    return demands;
}

std::int64_t FairQueue::slotMicrosAhead(const TaskRecord& task) const
{
    const auto& flow = *task.flow;
    std::int64_t ownBacklog = 0;
    for (std::size_t i = 0; i < sizeClassCount; ++i)
        ownBacklog += flow.queuedSlots[i] * flow.runTimes->expected(i).count();
    const auto shareOf = [](const auto& state, const auto& level) {
        const auto total = level.backloggedWeight + (state.active ? 0 : state.weight);
        return static_cast<double>(state.weight) / static_cast<double>(total);
    };
    const auto share = shareOf(*flow.clientAccount, clientAccounts_) * shareOf(flow, flow.clientAccount->level);
    // A flow receives at least its share, and never waits for more than the total of queued work.
    return std::min(estimates_->queuedSlotMicros(), static_cast<std::int64_t>(static_cast<double>(ownBacklog) / share));
}

} // namespace Balsammill::Detail
