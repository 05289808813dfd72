#pragma once

#include "SimulatedProcess.h"

#include "balsammill/shards/DurableJobTable.h"

namespace Balsammill::Shards::Testing {

/// As DurableJobs and ShardJournal: the durable jobs of an owner, and their rows in the store.
class SimulatedDurableJobs {
public:
    struct Handlers {
        std::function<void()> schedulingNeeded;
        std::function<void()> fenced;
        std::function<void()> opened;
    };

    SimulatedDurableJobs(SimulatedProcess&, ShardEngine&, int shard, std::uint64_t epoch, Handlers);
    ~SimulatedDurableJobs();
    SimulatedDurableJobs(const SimulatedDurableJobs&) = delete;
    SimulatedDurableJobs& operator=(const SimulatedDurableJobs&) = delete;

    void open();
    bool isOpen() const { return state_ == State::Open; }
    void submitStarted(const std::vector<TransferredJob>& handedOver);
    void submit(const std::shared_ptr<const JobSpec>&);
    void recordStarted(const JobId& job) { table_.recordStarted(job); }
    void recordProgress(const ProgressChanged& change) { table_.recordProgress(change); }
    void recordFinished(const FinishJob&);
    void write();
    void advance();
    void close() { state_ = State::Closed; }

    /// Run numbers of a block; smaller than in ShardJournal, so that blocks are extended.
    static constexpr std::uint64_t runNumberBlock = 8;

private:
    enum class State {
        Opening,
        Open,
        Closed,
    };
    enum class Outcome {
        Written,
        Refused,
        Fenced,
    };

    /// Carries out an action at the store, and handles its result when the answer arrives.
    template <typename Result>
    void callStore(std::function<Result(SimulatedJournal&)> action, std::function<void(const Result&)> handle);
    void writeFence(const SimulatedJournal& read);
    void handleOpened(const SimulatedJournal& read);
    bool needsWrite() const { return table_.hasChanges() || runsToReserve() > lastReservedRun_; }
    RunNumber runsToReserve() const;
    void writeNow();
    void handleWritten(const JournalBatch&, RunNumber reserved);
    void submitDueJobs();

    SimulatedProcess& process_;
    ShardEngine& engine_;
    int shard_;
    std::uint64_t epoch_;
    Handlers handlers_;
    DurableJobTable table_;
    State state_ { State::Opening };
    std::uint64_t version_ { 0 };
    RunNumber lastReservedRun_ {};
    bool writing_ { false };
    int nextWriteAt_ { 0 };
    std::shared_ptr<bool> alive_ { std::make_shared<bool>(true) };
};

} // namespace Balsammill::Shards::Testing
