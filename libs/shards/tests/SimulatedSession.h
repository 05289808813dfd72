#pragma once

#include "SimulatedProcess.h"

namespace Balsammill::Shards::Testing {

/// As UpstreamSession: sends an owner's starts and stops to an upstream, and requests its reports.
class SimulatedSession : public std::enable_shared_from_this<SimulatedSession> {
public:
    struct Handlers {
        std::function<void()> schedulingNeeded;
        std::function<void()> fenced;
    };

    SimulatedSession(SimulatedProcess&, ShardEngine&, int upstream, std::uint64_t fence, Handlers);

    void start(const StartTask&);
    void stop(const StopTask&);
    void advance();
    void close() { closed_ = true; }

    /// As long as a lease may last in real time, with a margin.
    static constexpr int maxLeaseLifetimeMs
        = SimulatedWorld::maxLeaseMs * 100 / 98 + 1 + 80 + SimulatedWorld::stopGraceMs;

private:
    using Callback = std::function<void(const UpstreamResponse*)>;

    void send(const UpstreamRequest&, int timeout, Callback);
    void runAfter(int delay, std::function<void()> action);
    int permittedLease(int wanted) const;
    int longestLease(int granted) const;
    std::int64_t grantLease(int length);
    void requestReport(bool wait);
    void handleReportFailure();
    void findRunInReport(const StartTask&, int attempt, const std::function<void(bool running, bool ended)>&);
    void resolveStart(const StartTask&, int attempt);
    void resolveByStop(const StartTask&, int attempt);
    void retryResolve(const StartTask&, int attempt);
    bool hasUnreportedExpiry() const { return !expiryReported_ && leaseExpired(); }
    bool leaseExpired() const { return process_.now() >= leaseExpiresAt_; }

    SimulatedProcess& process_;
    ShardEngine& engine_;
    int upstream_;
    UpstreamId id_;
    std::uint64_t fence_;
    Handlers handlers_;
    std::int64_t clock_ { 0 };
    int clockReadAt_ { 0 };
    int leaseExpiresAt_ { 0 };
    int reportRetryAt_ { 0 };
    int retryDelay_ { 0 };
    bool expiryReported_ { true };
    bool reportOutstanding_ { false };
    bool confirmed_ { false };
    bool failing_ { false };
    bool closed_ { false };
};

} // namespace Balsammill::Shards::Testing
