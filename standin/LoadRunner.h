#pragma once

#include "LoadCaller.h"

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <thread>
#include <vector>

namespace Balsammill::Standin {

/// One arrival and what became of it.
struct LoadSample {
    /// Scheduled arrival, counted from the start.
    Duration arrival;
    /// Time from the scheduled arrival to the complete answer.
    Duration response;
    CallOutcome outcome;
};

struct LoadClassResult {
    std::vector<LoadSample> samples;
    /// Number of calls by cause of their failure.
    std::map<std::string, std::uint64_t> causes;
    /// Largest delay between a scheduled arrival and its sending.
    Duration maxSendDelay {};
};

/// Sends the arrivals of one class at their times, whether earlier calls were answered or not.
///
/// One thread waits for the next arrival; when it comes, another takes over the waiting and the first makes the call.
/// So no call waits for being handed to another thread.
class ClassRunner {
public:
    struct Options {
        Duration length;
        std::size_t maxInFlight { 512 };
        std::uint64_t seed { 1 };
    };

    ClassRunner(const LoadClass&, LoadCaller&, const Options&);

    /// Runs from the given time until the last call has its result.
    void run(TimePoint start);
    const LoadClassResult& result() const { return result_; }

    /// An arrival that is held back longer than this is not sent any more.
    static constexpr Duration maxSendDelay = std::chrono::seconds(1);

private:
    void work();
    void handOver();
    void addThread();
    void record(Duration arrival, Duration sendDelay, const CallResult&);

    const LoadClass& load_;
    LoadCaller& caller_;
    const MethodInfo& method_;
    Options options_;
    TimePoint start_ {};

    std::mutex mutex_;
    std::condition_variable leaderLeft_;
    std::condition_variable finished_;
    ArrivalProcess arrivals_;
    bool hasLeader_ { false };
    bool done_ { false };
    std::size_t idle_ { 0 };
    std::uint64_t nextNumber_ { 1 };
    std::vector<std::thread> threads_;

    std::mutex resultMutex_;
    LoadClassResult result_;
};

} // namespace Balsammill::Standin
