#pragma once

#include "Record.hh"

#include "LoopThread.h"
#include "OperatorStore.h"
#include "balsammill/http/HttpServer.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Review {

/// A sound worker by PROTOCOL.md ("Running tasks", "Service discovery"). The text of a task is "RUN_MS CPU" with an
/// optional third word: "lasts" (the task runs until it is stopped) or "fails1" (run 1 fails by its own fault, after
/// 0.3 s).
class Worker {
public:
    struct Options {
        std::string id;
        std::string zone;
        std::vector<std::string> labels;
        int milliCores { 32'000 };
    };

    Worker(Standin::LoopThread&, Standin::OperatorStore&, Record&, const Options&);
    ~Worker();

    const std::string& id() const { return options_.id; }
    const Options& options() const { return options_; }
    /// Listens and registers; a heartbeat each 1.5 s.
    void begin();
    /// The worker is lost for good: everything on it ends, connections break, its entry is removed by the store after
    /// three heartbeat intervals.
    void loseForGood();
    /// Answers the first `refused` of each `of` start requests with 503 and does nothing, as an unhealthy worker may.
    void beUnhealthy(int refused, int of);
    /// The worker crashes and starts again under its id, at its address, and registers at once.
    void crash(Ms down);
    /// Leaves this share of its requests unanswered and does nothing for them.
    void hang(double share);
    /// Says that it drains.
    void drain();

    int milliCoresInUse();
    int runsInProgress();

private:
    struct Run {
        std::uint64_t number { 0 };
        int milliCores { 0 };
        std::size_t seen { 0 };
        std::shared_ptr<boost::asio::steady_timer> timer;
    };
    struct Ended {
        std::uint64_t sequence { 0 };
        std::string task;
        std::uint64_t run { 0 };
        std::string how;
        std::size_t seen { 0 };
        std::uint64_t lapses { 0 };
    };
    using Exchange = std::shared_ptr<Balsammill::HttpExchange>;

    void handle(const Balsammill::HttpRequest&, const Exchange&);
    void handleStart(const std::string& body, const Exchange&);
    void handleStop(const std::string& body, const Exchange&);
    void handleHold(const std::string& body, const Exchange&);
    void extendLease(std::int64_t deadlineMs);
    void endRun(const std::string& task, const std::string& how);
    void answerWaiters();
    void heartbeat();
    void registerOnce();
    void stopServing(const std::string& how);
    void after(std::chrono::milliseconds, std::function<void()>);
    std::string lists() const;
    std::string reply(const std::string& reason = {}) const;
    std::int64_t clockMs() const;

    Standin::LoopThread& loop_;
    Standin::OperatorStore& store_;
    Record& record_;
    Options options_;
    std::unique_ptr<Balsammill::HttpServer> server_;
    std::string address_;
    std::string state_ { "ready" };
    std::uint64_t sequence_ { 0 };
    std::int64_t bornMs_ { 0 };
    Clock::time_point startedAt_;
    std::map<std::string, Run> runs_;
    std::map<std::string, std::uint64_t> highest_;
    std::vector<Ended> ended_;
    std::vector<Exchange> waiters_;
    std::unique_ptr<boost::asio::steady_timer> leaseTimer_;
    std::int64_t leaseEndsMs_ { 0 };
    std::uint64_t fence_ { 0 };
    std::uint64_t lastEnd_ { 0 };
    int refused_ { 0 };
    int refusedOf_ { 0 };
    int startRequests_ { 0 };
    bool up_ { false };
    bool beats_ { false };
    // How often the lease was over when it was extended again.
    std::uint64_t lapses_ { 0 };
    double hanging_ { 0 };
    std::vector<Exchange> unanswered_;
    std::mt19937_64 random_;
    std::shared_ptr<bool> alive_ { std::make_shared<bool>(true) };
};

} // namespace Review
