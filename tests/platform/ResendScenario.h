#pragma once

#include "Fleet.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <thread>
#include <vector>

namespace PlatformTest {

/// A best-effort job whose client gives up its first attempt and sends the job again to another failure domain. The
/// first attempt runs on an upstream of another entry's shard that other jobs keep busy.
class ResendScenario {
public:
    /// Time after which the operators' clients send a job again.
    static constexpr std::chrono::milliseconds resendDelay { 1300 };

    ResendScenario(const std::string& fleetName, int runMs);
    ~ResendScenario();

    /// Submits the job at an entry that owns no shard, and waits until it runs beside other jobs. Returns false if it
    /// does not within 20 s.
    bool begin();
    /// The client closes the connection of its first attempt.
    void leave();
    /// Waits for resendDelay, sends the job to the owner of the other failure domain and returns its answer.
    ClientAnswer sendAgain();
    /// Ends the other jobs and waits until the fleet is idle and ready again.
    bool end();

    Fleet& fleet() { return fleet_; }
    /// Upstream of the first attempt.
    Standin::OperatorUpstream& upstream() { return fleet_.upstream(1); }
    /// Entry of the first attempt.
    std::size_t origin() const { return origin_; }

private:
    bool startJob();
    void startOtherJobs(std::size_t owner);
    void stopOtherJobs();

    Fleet fleet_;
    int runMs_;
    int round_ { 0 };
    std::size_t origin_ { 0 };
    std::unique_ptr<Poco::Net::HTTPClientSession> client_;
    std::atomic<bool> stopping_ { false };
    std::atomic<int> lastOtherJob_ { 1'000'000 };
    std::vector<std::thread> otherClients_;
};

} // namespace PlatformTest
