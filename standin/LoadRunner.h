#pragma once

#include "LoadCaller.h"

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <thread>
#include <vector>

namespace Balsammill::Standin {

/// An arrival with the outcome of its call.
struct LoadSample {
    /// Scheduled arrival, measured from the start of the load.
    Duration arrival;
    /// Time from the scheduled arrival to the complete answer.
    Duration response;
    CallOutcome outcome;
};

struct LoadClassResult {
    std::vector<LoadSample> samples;
    /// Number of failed calls by cause.
    std::map<std::string, std::uint64_t> causes;
    /// Largest delay from a scheduled arrival to the sending of its call, or to its outcome NotSent.
    Duration maxSendDelay {};
};

/// Open-loop load generator for one class: sends each call at its scheduled arrival, whether or not earlier calls have
/// been answered.
///
/// The threads follow the leader/followers pattern: the leader waits for the next arrival, passes the leadership to
/// another thread and makes the call itself. So no call is delayed by a handoff to another thread.
class ClassRunner {
public:
    struct Options {
        Duration length;
        std::size_t maxInFlight { 512 };
        std::uint64_t seed { 1 };
    };

    ClassRunner(const LoadClass&, LoadCaller&, const Options&);

    /// Runs the load from the given time on. Returns when every call has its result.
    void run(TimePoint start);
    const LoadClassResult& result() const { return result_; }

    /// An arrival that is delayed for longer than this is not sent.
    static constexpr Duration sendDelayLimit = std::chrono::seconds(1);

private:
    void runWorker();
    void passLeadership();
    void addThread();
    void record(Duration arrival, Duration sendDelay, const CallResult&);

    const LoadClass& load_;
    LoadCaller& caller_;
    const MethodInfo& method_;
    Options options_;
    TimePoint start_ {};

    std::mutex mutex_;
    std::condition_variable leadershipFree_;
    std::condition_variable finished_;
    ArrivalProcess arrivals_;
    bool hasLeader_ { false };
    bool noMoreArrivals_ { false };
    std::size_t idleThreads_ { 0 };
    std::uint64_t nextCallNumber_ { 1 };
    std::vector<std::thread> threads_;

    std::mutex resultMutex_;
    LoadClassResult result_;
};

} // namespace Balsammill::Standin
