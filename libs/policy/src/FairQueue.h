#pragma once

#include "RunTimeEstimates.h"
#include "TaskRecord.h"

#include <array>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace Balsammill::Detail {

struct ClientAccountFlow;

/// Virtual start time, with a number that keeps the order stable.
template <typename Flow> struct FlowKey {
    double startTag;
    std::uint64_t number;
    Flow* flow;

    bool operator<(const FlowKey& other) const
    {
        return startTag != other.startTag ? startTag < other.startTag : number < other.number;
    }
};

/// The backlogged flows of one level in start-time fair queueing.
template <typename Flow> struct FlowLevel {
    using Order = std::set<FlowKey<Flow>>;

    Order backlogged;
    /// Start tag of the flow that was served last; a flow that wakes up starts here.
    double virtualTime { 0 };
    std::int64_t backloggedWeight { 0 };

    void activate(Flow&);
    void deactivate(Flow&);
    /// Moves the start tag by a slot time divided by the flow's weight.
    void charge(Flow&, double slotMicros);
};

template <typename Flow> struct FlowState {
    std::int64_t weight { 1 };
    double startTag { 0 };
    std::uint64_t number { 0 };
    std::size_t queuedTasks { 0 };
    bool active { false };
    typename std::set<FlowKey<Flow>>::iterator position {};
};

/// The tasks of one method of one client account.
struct MethodFlow : FlowState<MethodFlow> {
    ClientAccountFlow* clientAccount { nullptr };
    MethodRunTimes* runTimes { nullptr };
    std::array<TaskList, sizeClassCount> tasks;
    std::array<std::int64_t, sizeClassCount> queuedSlots {};
    /// Tasks that are queued or running and so refer to this flow.
    std::size_t references { 0 };
};

struct ClientAccountFlow : FlowState<ClientAccountFlow> {
    ClientAccountName name;
    FlowLevel<MethodFlow> level;
    std::unordered_map<MethodName, std::unique_ptr<MethodFlow>> methods;
    std::size_t references { 0 };
    std::uint32_t queuedSlots { 0 };
    std::uint32_t slotsInUse { 0 };
};

/// Start-time fair queueing over client accounts and, within a client account, over methods. Tasks are charged by
/// expected slot time when they leave the queue, and corrected by observed slot time when they end.
///
/// Costs: push, pop and correct are logarithmic in the numbers of client accounts and methods; remove is constant.
class FairQueue {
public:
    FairQueue(RunTimeEstimates&, const std::map<ClientAccountName, std::uint32_t>& weights);

    void setClientAccountWeights(const std::map<ClientAccountName, std::uint32_t>&);

    /// Finds the flow of a task that is about to be admitted or returned.
    void bind(TaskRecord&, const TaskSpec&);
    void push(TaskRecord&);
    void pushFront(TaskRecord&);
    /// Takes out the next task and charges its flow; null if the queue is empty.
    TaskRecord* pop(TimePoint now);
    void remove(TaskRecord&);
    /// Replaces the charge of a popped task by the slot time it used, and lets go of the record.
    void settle(TaskRecord&, std::int64_t usedSlotMicros, std::uint32_t totalSlots);

    bool empty() const { return clientAccounts_.backlogged.empty(); }
    /// Tasks of the same flow that are queued.
    std::size_t queuedInFlow(const TaskRecord& task) const { return task.flow->queuedTasks; }
    std::vector<ClientAccountDemand> clientAccountDemands() const;
    std::size_t clientAccountCount() const { return clientAccountsByName_.size(); }
    /// Slot time that has to be worked off, over all flows, before a task that arrives now starts.
    std::int64_t slotMicrosAhead(const TaskRecord&) const;

private:
    ClientAccountFlow& clientAccount(const ClientAccountName&);
    void dropIdleClientAccounts();
    void insert(TaskRecord&, bool atFront);
    TaskRecord& choose(MethodFlow&, TimePoint now) const;

    RunTimeEstimates* estimates_;
    std::map<ClientAccountName, std::uint32_t> weights_;
    FlowLevel<ClientAccountFlow> clientAccounts_;
    std::unordered_map<ClientAccountName, std::unique_ptr<ClientAccountFlow>> clientAccountsByName_;
    std::size_t clientAccountLimit_;
    std::uint64_t nextFlowNumber_ { 0 };
};

} // namespace Balsammill::Detail
