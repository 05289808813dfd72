#pragma once

#include "SimulatedWorld.h"

#include <limits>

namespace Balsammill::Shards::Testing {

/// The clock, timers and stall detector of a process.
struct SimulatedProcess {
    SimulatedWorld& world;
    ProcessKey key;
    std::shared_ptr<ProcessInbox> inbox { std::make_shared<ProcessInbox>() };
    std::vector<std::pair<int, std::function<void()>>> timers {};
    int standsUntil { 0 };
    int wokenAt { std::numeric_limits<int>::min() / 2 };
    /// By how much the clock of this process is behind.
    int clockBehind { 0 };
    int progressAt { 0 };
    int settledAt { 0 };

    int now() const { return world.now - clockBehind; }
    bool stands() const { return standsUntil > world.now; }
    bool justWoken() const { return world.now - wokenAt <= 40; }
    void runAfter(int delay, std::function<void()> action) { timers.emplace_back(now() + delay, std::move(action)); }

    // As StallDetector.
    void noteProgress()
    {
        if (now() - progressAt > stallThresholdMs)
            settledAt = now() + settlePeriodMs;
        progressAt = now();
    }
    bool isSettled() const { return now() >= settledAt && now() - progressAt <= stallThresholdMs; }

    static constexpr int stallThresholdMs = 250;
    static constexpr int settlePeriodMs = 100;
};

} // namespace Balsammill::Shards::Testing
