#pragma once

#include "LateRequests.h"
#include "LoopThread.h"

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

namespace Standin {

/// Counts the runs on all upstreams of a test, and lists violations of the dispatcher's guarantees.
struct RunRegistry {
    // Number of current runs of each task, over all upstreams.
    std::map<std::string, int> running;
    std::map<std::string, int> completed;
    // If true, a start of a task that has completed is a violation. False in tests whose clients resubmit jobs that
    // were not stored.
    bool forbidRestartAfterCompletion { false };
    int starts { 0 };
    // Run numbers with which each task was started, and how many of its runs have failed.
    std::map<std::string, std::set<std::uint64_t>> startedRuns;
    std::map<std::string, int> failedRuns;
    // Tasks of which two starts had the same run number.
    std::set<std::string> repeatedRuns;
    // Number of runs that ended because their lease expired.
    int lapsed { 0 };
    std::vector<std::string> violations;
};

/// Stand-in for an upstream that implements the operators' published protocol. A start that exceeds the capacity or
/// runs a task twice is executed and recorded in the registry as a violation. Tests can make the upstream leave starts
/// unanswered, execute starts, stops and grants late or never, refuse stops, ignore an owner, and fail its runs.
class OperatorUpstream {
public:
    struct Options {
        std::string id;
        std::string domain;
        int milliCores { 32'000 };
        int runMs { 50 };
        /// Starts without a valid ticket of the advice service are refused.
        bool requiresTickets { false };
    };

    OperatorUpstream(LoopThread&, RunRegistry&, const Options&);
    ~OperatorUpstream();

    /// Returns the JSON row with which the upstream registers itself in the store.
    std::string registration(const std::string& state = "ready") const;
    const std::string& id() const { return options_.id; }
    /// Host and port at which owners reach the upstream.
    const std::string& address() const { return address_; }
    /// Executes the next starts, up to the given number, without answering them.
    void dropNextAnswers(int starts);
    /// Executes the next starts, up to the given number, after the delay and without answering them.
    void delayStarts(int starts, int delayMs);
    void setRunMs(int runMs);
    void setFailing(bool failing);
    /// Answers the next stops, up to the given number, with status 503 without executing them.
    void refuseStops(int stops);
    /// Executes these stops after their delay or never, and leaves them unanswered.
    void delayStops(const LateRequests& stops);
    /// Grants the leases of these reports after their delay or never, and leaves the reports unanswered. A late grant
    /// has the length that it had when the request was received.
    void delayGrants(const LateRequests& grants);
    /// Leaves the next requests for a report, up to the given number, unanswered.
    void dropNextReports(int reports);
    /// Leaves this share, from 0 to 1, of the starts, stops and grants unanswered and executes them 2 to 12 s later. A
    /// late lease has the length that it had when the request was received.
    void delayShareOfOrders(double share);
    /// Neither executes nor answers any further request of the owner that sent the last one, or of earlier owners.
    void ignoreCurrentOwner();
    /// Number of runs in progress.
    int activeRuns();
    /// Number of ends that no owner has acknowledged.
    std::size_t unacknowledgedEnds();
    /// Number of tasks that were started here.
    int starts();

private:
    struct Run {
        std::uint64_t number { 0 };
        int milliCores { 0 };
        std::shared_ptr<boost::asio::steady_timer> timer;
    };
    struct EndedRun {
        std::uint64_t sequence { 0 };
        std::string task;
        std::uint64_t run { 0 };
        std::string outcome;
    };
    struct Waiter {
        std::shared_ptr<Balsammill::HttpExchange> exchange;
    };

    struct Stop {
        std::string task;
        std::uint64_t number { 0 };
        std::uint64_t fencingToken { 0 };
    };
    struct Hold {
        std::optional<std::int64_t> leaseExpiryMs;
        std::uint64_t lastSeen { 0 };
        int waitMs { 0 };
        std::uint64_t fencingToken { 0 };
    };

    void handle(const Balsammill::HttpRequest&, const std::shared_ptr<Balsammill::HttpExchange>&);
    void handleStart(const std::string& body, const std::shared_ptr<Balsammill::HttpExchange>&);
    void handleStop(const Stop&, const std::shared_ptr<Balsammill::HttpExchange>&);
    void handleHold(const Hold&, const std::shared_ptr<Balsammill::HttpExchange>&);
    /// Returns false if an owner with a higher fencing token has sent a request.
    bool acceptFencingToken(std::uint64_t);
    void executeStop(const Stop&);
    /// Draws whether an order is delayed, and by how long.
    std::optional<std::chrono::milliseconds> drawDelay();
    void executeLater(std::optional<std::chrono::milliseconds> delay, std::function<void()> action);
    /// Returns the reason for a refusal; empty if the run has started or was running already.
    std::string startRun(const std::string& body, std::chrono::milliseconds late = {});
    void endRun(const std::string& task, const std::string& outcome);
    void extendLease(std::int64_t expiryMs);
    void restartLeaseTimer();
    std::int64_t clockMs() const;
    std::string statusReport() const;
    void answerWaiters();

    LoopThread& loop_;
    RunRegistry& registry_;
    Options options_;
    std::unique_ptr<Balsammill::HttpServer> server_;
    std::string address_;
    std::map<std::string, Run> runs_;
    std::map<std::string, std::uint64_t> highestRun_;
    std::vector<EndedRun> endedRuns_;
    std::vector<Waiter> waiters_;
    std::unique_ptr<boost::asio::steady_timer> leaseTimer_;
    std::int64_t leaseExpiryMs_ { 0 };
    std::int64_t startTimeMs_ { 0 };
    std::uint64_t fencingToken_ { 0 };
    std::uint64_t lastSequence_ { 0 };
    int starts_ { 0 };
    int answersToDrop_ { 0 };
    int startsToDelay_ { 0 };
    int startDelayMs_ { 0 };
    int stopsToRefuse_ { 0 };
    int reportsToDrop_ { 0 };
    LateRequests lateStops_;
    LateRequests lateGrants_;
    double delayedShare_ { 0 };
    std::mt19937_64 random_;
    // Requests with fencing tokens up to this one are ignored.
    std::uint64_t ignoredFencingToken_ { 0 };
    bool failing_ { false };
    // Reset when the upstream is destroyed, so that timers that are still pending do nothing.
    std::shared_ptr<bool> alive_ { std::make_shared<bool>(true) };
};

} // namespace Standin
