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

/// Virtual start time of a flow. The tie-breaker gives flows with equal start tags a stable order.
template <typename Flow> struct FlowKey {
    double startTag;
    std::uint64_t tieBreaker;
    Flow* flow;

    bool operator<(const FlowKey& other) const
    {
        return startTag != other.startTag ? startTag < other.startTag : tieBreaker < other.tieBreaker;
    }
};

/// The backlogged flows of one level in start-time fair queueing.
template <typename Flow> struct FlowLevel {
    using Order = std::set<FlowKey<Flow>>;

    Order backlogged;
    /// Start tag of the flow that was served last. A flow that becomes backlogged starts no earlier than this.
    double virtualTime { 0 };
    std::int64_t backloggedWeight { 0 };

    void activate(Flow&);
    void deactivate(Flow&);
    /// Advances the start tag of the flow by the slot time divided by the weight of the flow.
    void charge(Flow&, double slotMicros);
};

template <typename Flow> struct FlowState {
    std::int64_t weight { 1 };
    double startTag { 0 };
    std::uint64_t tieBreaker { 0 };
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
    /// Number of queued and running tasks that refer to this flow.
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

/// Start-time fair queueing over client accounts and, within a client account, over methods. A flow is charged the
/// expected slot time of a task when the task leaves the queue; the charge is corrected to the slot time that was used
/// when the task ends.
///
/// Complexity: push(), pop() and reconcileCharge() are logarithmic in the numbers of client accounts and methods;
/// remove() takes constant time.
class FairQueue {
public:
    FairQueue(RunTimeEstimates&, const std::map<ClientAccountName, std::uint32_t>& weights);

    void setClientAccountWeights(const std::map<ClientAccountName, std::uint32_t>&);

    /// Sets the flow of a task that is about to be admitted or requeued, creating the flow if needed.
    void assignFlow(TaskRecord&, const TaskSpec&);
    void push(TaskRecord&);
    void pushFront(TaskRecord&);
    /// Removes the next task and charges its flow. Returns null if the queue is empty.
    TaskRecord* pop(TimePoint now);
    void remove(TaskRecord&);
    /// Replaces the charge of a popped task by the slot time that it used. The queue does not refer to the record
    /// afterwards.
    void reconcileCharge(TaskRecord&, std::int64_t usedSlotMicros, std::uint32_t totalSlots);

    bool empty() const { return clientAccounts_.backlogged.empty(); }
    /// Number of queued tasks in the flow of this task.
    std::size_t queuedInFlow(const TaskRecord& task) const { return task.flow->queuedTasks; }
    std::vector<ClientAccountDemand> clientAccountDemands() const;
    std::size_t clientAccountCount() const { return clientAccountsByName_.size(); }
    /// Slot time in microseconds that is served, over all flows, before this task starts if it arrives now.
    std::int64_t slotMicrosAhead(const TaskRecord&) const;

private:
    ClientAccountFlow& clientAccount(const ClientAccountName&);
    void evictIdleClientAccounts();
    void insert(TaskRecord&, bool atFront);
    TaskRecord& selectTask(MethodFlow&, TimePoint now) const;

    RunTimeEstimates* estimates_;
    std::map<ClientAccountName, std::uint32_t> weights_;
    FlowLevel<ClientAccountFlow> clientAccounts_;
    std::unordered_map<ClientAccountName, std::unique_ptr<ClientAccountFlow>> clientAccountsByName_;
    std::size_t clientAccountLimit_;
    std::uint64_t nextTieBreaker_ { 0 };
};

} // namespace Balsammill::Detail
