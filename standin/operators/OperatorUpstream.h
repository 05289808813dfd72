#pragma once

#include "LoopThread.h"

#include "balsammill/http/HttpServer.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Standin {

/// What all upstreams of a test have run, and which promises were broken.
struct RunRegistry {
    // Tasks that run now, by name, on any upstream.
    std::map<std::string, int> running;
    std::map<std::string, int> completed;
    // Whether a start of a task that has completed is a violation: false where clients send jobs again that were not
    // stored.
    bool onceOnly { false };
    int starts { 0 };
    // Runs that ended because their lease was over.
    int lapsed { 0 };
    std::vector<std::string> violations;
};

/// An upstream by the operators' published protocol. It starts whatever it is told to start, and notes in the registry
/// if it was told too much. It can leave starts unanswered, carry them out late, and fail what it runs.
class OperatorUpstream {
public:
    struct Options {
        std::string id;
        std::string domain;
        int milliCores { 32'000 };
        int runMs { 50 };
        /// A start has to carry a ticket of the advice service.
        bool needsTickets { false };
    };

    OperatorUpstream(LoopThread&, RunRegistry&, const Options&);
    ~OperatorUpstream();

    /// What the upstream writes into the store about itself.
    std::string registration(const std::string& state = "ready") const;
    const std::string& id() const { return options_.id; }
    /// The next starts are carried out and not answered.
    void loseAnswers(int starts);
    /// The next starts are not answered and carried out after the delay.
    void delayStarts(int starts, int delayMs);
    void setRunMs(int runMs);
    void setFailing(bool failing);
    /// The next stops are answered 503 and not carried out.
    void refuseStops(int stops);

private:
    struct Run {
        std::uint64_t number { 0 };
        int milliCores { 0 };
        std::shared_ptr<boost::asio::steady_timer> timer;
    };
    struct End {
        std::uint64_t sequence { 0 };
        std::string task;
        std::uint64_t run { 0 };
        std::string how;
    };
    struct Waiter {
        std::shared_ptr<Balsammill::HttpExchange> exchange;
    };

    void handle(const Balsammill::HttpRequest&, const std::shared_ptr<Balsammill::HttpExchange>&);
    /// The reason for a refusal; empty if the run has been started.
    std::string startRun(const std::string& body);
    void end(const std::string& task, const std::string& how);
    void extendLease(std::int64_t untilMs);
    void watchLease();
    std::int64_t clockMs() const;
    std::string report() const;
    void wakeWaiters();

    LoopThread& loop_;
    RunRegistry& registry_;
    Options options_;
    std::unique_ptr<Balsammill::HttpServer> server_;
    std::string address_;
    std::map<std::string, Run> runs_;
    std::map<std::string, std::uint64_t> highestRun_;
    std::vector<End> ends_;
    std::vector<Waiter> waiters_;
    std::unique_ptr<boost::asio::steady_timer> leaseTimer_;
    std::int64_t leaseUntilMs_ { 0 };
    std::int64_t bornMs_ { 0 };
    std::uint64_t fence_ { 0 };
    std::uint64_t lastSequence_ { 0 };
    int lostAnswers_ { 0 };
    int delayedStarts_ { 0 };
    int delayMs_ { 0 };
    int refusedStops_ { 0 };
    bool failing_ { false };
};

} // namespace Standin
