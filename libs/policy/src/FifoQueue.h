#pragma once

#include "RunTimeEstimates.h"
#include "TaskRecord.h"

#include <map>

namespace Balsammill::Detail {

/// First-come-first-served queue with the interface of FairQueue, as the baseline for comparisons with it.
class FifoQueue {
public:
    explicit FifoQueue(RunTimeEstimates& estimates)
        : estimates_(&estimates)
    {
    }

    void setClientAccountWeights(const std::map<ClientAccountName, std::uint32_t>&) { }
    void assignFlow(TaskRecord&, const TaskSpec&) { }
    void push(TaskRecord& task) { tasks_.pushBack(task); }
    void pushFront(TaskRecord& task) { tasks_.pushFront(task); }
    TaskRecord* pop(TimePoint)
    {
        auto* task = tasks_.front();
        if (task)
            tasks_.remove(*task);
        return task;
    }
    void remove(TaskRecord& task) { tasks_.remove(task); }
    void reconcileCharge(TaskRecord&, std::int64_t, std::uint32_t) { }
    std::vector<ClientAccountDemand> clientAccountDemands() const { return {}; }
    bool empty() const { return tasks_.empty(); }
    /// Always zero, because this queue has no flows.
    std::size_t queuedInFlow(const TaskRecord&) const { return 0; }
    std::int64_t slotMicrosAhead(const TaskRecord&) const { return estimates_->queuedSlotMicros(); }

private:
    TaskList tasks_;
    RunTimeEstimates* estimates_;
};

} // namespace Balsammill::Detail
