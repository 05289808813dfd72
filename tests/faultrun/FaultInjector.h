#pragma once

#include "Records.h"
#include "support/Deployment.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <thread>

namespace FaultRun {

/// Injects random faults, up to three at the same time, and heals each after a random time. stop() heals all that are
/// active.
class FaultInjector {
public:
    FaultInjector(std::uint64_t seed, IntegrationTest::Deployment&, Records&);
    ~FaultInjector();

    void start();
    void stop();

private:
    struct ActiveFault {
        std::string name;
        Balsammill::TimePoint healAt;
        std::function<void()> heal;
    };

    void run();
    void injectOne();
    void healDue(Balsammill::TimePoint now);
    void add(const std::string& name, Balsammill::Duration, std::function<void()> heal);
    bool anyActive(const std::string& prefix) const;
    /// Picks a random entry; null if a fault of its process is active.
    IntegrationTest::Entry* pickEntryWithoutFault();
    int uniform(int from, int to);

    void killEntry();
    void pauseEntry();
    void stopEntryGracefully();
    void cutDomains();
    void dropOneWay();
    void cutPlatform();
    void degradePlatform();
    void degradeUpstream();
    void markUpstreamLeaving();
    void changeConfig();

    IntegrationTest::Deployment& deployment_;
    Records& records_;
    std::mt19937_64 random_;
    int nextChange_ { 1 };
    std::vector<ActiveFault> active_;
    std::atomic<bool> stop_ { false };
    std::thread thread_;
};

} // namespace FaultRun
