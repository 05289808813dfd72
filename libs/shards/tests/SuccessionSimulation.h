#pragma once

#include "SimulatedNode.h"

namespace Balsammill::Shards::Testing {

/// A random schedule of durable jobs, some of them repeated, whose shards have several owners in a row: by handover, or
/// after the process of the former owner has ended. Beside it upstreams fail runs or cannot be reached, so that ends of
/// several runs arrive late and in any order, and the store is away. Then all faults are over, and each job has to end.
class SuccessionSimulation {
public:
    struct Options {
        bool reservesRunNumbers { true };
        bool traced { false };
    };

    SuccessionSimulation(unsigned seed, const Options&);

    /// Returns the rule that was broken, or nothing.
    std::string run();
    const SimulatedWorld& world() const { return world_; }
    std::uint64_t ownerChanges() const { return ownerChanges_; }
    std::size_t jobs() const { return jobs_.size(); }
    /// Events of the job that the violation names.
    std::string trace() const { return world_.traceOfViolation(); }

private:
    struct Job {
        std::shared_ptr<const JobSpec> spec;
        int shard { 0 };
        int submitAt { 0 };
    };

    SimulatedNode* nodeAt(int place) { return nodes_.at(static_cast<std::size_t>(place)).get(); }
    /// Null if the owner's process has ended.
    SimulatedNode* ownerOf(int shard);
    std::shared_ptr<SimulatedWire> connect(const ProcessKey& from, int place);
    void disturb();
    void disturbShard(int shard);
    void endProcess(int place);
    void startProcesses();
    void chooseOwners();
    void setOwner(int shard, bool handedOver);
    void addJob();
    void submitJobs();
    void step();
    JobState storedState(const Job&);
    bool haveAllEnded();
    std::string checkEnds();

    SimulatedWorld world_;
    std::vector<std::unique_ptr<SimulatedNode>> nodes_;
    std::vector<int> restartAt_;
    std::vector<int> incarnations_;
    // Until then the owners of a shard change often.
    std::map<int, int> troubleUntil_;
    std::vector<Job> jobs_;
    std::uint64_t ownerChanges_ { 0 };
};

} // namespace Balsammill::Shards::Testing
