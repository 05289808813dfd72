#pragma once

#include "SimulatedNode.h"

namespace Balsammill::Shards::Testing {

/// A random schedule of several entries, shards and clients that submit a best-effort job again after an answer in
/// doubt or a broken connection, to any entry. Processes stand still, end and hand shards over; connections break or go
/// silent; messages and calls to upstreams are late or lost. All faults may overlap.
class ResendSimulation {
public:
    struct Options {
        Confirmation confirmation { Confirmation::On };
        bool clocksStand { false };
        bool limitsLateGrants { true };
        /// Maximum number of ends in a report of an upstream.
        std::size_t maxListedEnds { 500 };
        bool traced { false };
    };

    ResendSimulation(unsigned seed, const Options&);

    /// Empty if no task had two runs at a time and no upstream exceeded its capacity.
    std::string run();
    std::uint64_t resends() const { return resends_; }
    std::uint64_t ended() const { return ended_; }
    const SimulatedWorld& world() const { return world_; }
    /// Events of the job that the violation names.
    std::string trace() const { return world_.traceOfViolation(); }

private:
    struct Client {
        std::shared_ptr<const JobSpec> job;
        int attempt { 0 };
        bool waits { false };
        bool done { false };
        ProcessKey entry {};
        int resendAt { 0 };
    };

    std::shared_ptr<SimulatedWire> connect(const ProcessKey& from, int place);
    void submit(int client);
    void addClient();
    void loseConnection(int client);
    void advanceClients();
    void disturbProcesses();
    void disturbConnections();
    void changeOwners();
    void assignShard(int shard, int place, bool handedOver);
    void readRecords();
    int randomRunningPlace();

    SimulatedWorld world_;
    std::vector<std::unique_ptr<SimulatedNode>> nodes_;
    std::vector<int> restartAt_;
    std::vector<int> incarnations_;
    std::vector<int> storeAwayUntil_;
    std::vector<std::weak_ptr<SimulatedWire>> wires_;
    std::vector<Client> clients_;
    std::uint64_t resends_ { 0 };
    std::uint64_t ended_ { 0 };
};

} // namespace Balsammill::Shards::Testing
