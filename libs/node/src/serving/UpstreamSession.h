#pragma once

#include "NodeContext.h"

#include "balsammill/http/HttpClient.h"
#include "balsammill/shards/ShardEngine.h"
#include "platform/UpstreamMessages.h"

#include <functional>
#include <memory>
#include <optional>

namespace Balsammill {

/// The owner's session with one upstream: sends start and stop requests, extends the lease while tasks run, and passes
/// reports of finished runs to the engine. A start request without an answer is resolved before its task may run
/// elsewhere: the session requests a report and stops the run if the report does not list it. After the stop the run
/// can no longer begin.
class UpstreamSession : public std::enable_shared_from_this<UpstreamSession> {
public:
    struct Handlers {
        /// Called after the engine has received an event, so that it can schedule.
        std::function<void()> schedulingNeeded;
        /// Called when the upstream has seen a higher fencing token.
        std::function<void()> fenced;
    };

    UpstreamSession(NodeContext&, Shards::ShardEngine&, const Shards::UpstreamInfo&, Epoch fence, Handlers);

    /// Time from now by which every lease granted so far, by any owner, has expired even on the slowest allowed clock.
    static Duration maxLeaseLifetime(const NodeSettings&);

    void start(const Shards::StartTask&);
    void stop(const Shards::StopTask&);
    /// Performs due work: requests reports, extends the lease and acknowledges finished runs. Call it after each change
    /// and periodically.
    void advance(TimePoint now);
    /// Closes the connections. Nothing is sent and no response is handled afterwards.
    void close();
    const Shards::UpstreamId& id() const { return id_; }

private:
    void requestReport(TimePoint now, bool wait);
    /// afterExpiry: the lease had expired when the report was requested, and the engine does not know it yet.
    void handleReport(const HttpResult&, TimePoint sentAt, bool afterExpiry);
    void logExpiry(TimePoint now, std::size_t stillRunning);
    // How an upstream's report lists a run.
    enum class RunListing {
        Running,
        Ended,
        NotListed,
    };

    void resolveStart(const Shards::StartTask&, int attempt);
    /// Requests a report and passes on how it lists the run of a start request. Retries the resolution if no valid
    /// report arrives.
    void findRunInReport(const Shards::StartTask&, int attempt, std::function<void(RunListing)> callback);
    void resolveByStop(const Shards::StartTask&, int attempt);
    void resolveByReport(const Shards::StartTask&, int attempt);
    void runAfter(Duration delay, std::function<void()> action);
    void retryResolve(const Shards::StartTask&, int attempt);
    bool processResponse(const HttpResult&, TimePoint now);
    void handleReportFailure(TimePoint now, const std::string& reason);
    Platform::UpstreamClock clockAt(TimePoint) const;
    /// Longest lease that may be granted now without letting a run outlive its client's request; zero or less if none
    /// may be.
    Duration permittedLease(TimePoint now, Duration wanted) const;
    /// Longest time that a lease granted now can last, given the age of the last reading of the upstream's clock.
    Duration longestLease(TimePoint now, Duration granted) const;
    Platform::UpstreamClock grantLease(TimePoint now, Duration length);
    bool leaseExpired(TimePoint now) const { return now >= leaseExpiresAt_; }
    bool hasUnreportedExpiry(TimePoint now) const { return !expiryReported_ && leaseExpired(now); }

    NodeContext& context_;
    Shards::ShardEngine& engine_;
    Shards::UpstreamId id_;
    Epoch fence_;
    Handlers handlers_;
    std::unique_ptr<HttpClient> reportClient_;
    std::unique_ptr<HttpClient> commandClient_;
    Platform::UpstreamClock clock_;
    TimePoint clockReadAt_ {};
    // Time by which every lease granted so far has expired on the upstream.
    TimePoint leaseExpiresAt_ {};
    TimePoint reportRetryAt_ {};
    TimePoint reportedAt_ {};
    bool reportTimerArmed_ { false };
    TimePoint idleSince_ {};
    Duration retryDelay_ {};
    std::uint64_t acknowledgedEnd_ { 0 };
    bool reportOutstanding_ { false };
    bool confirmed_ { false };
    bool failing_ { false };
    bool expiryReported_ { true };
    bool closed_ { false };
};

} // namespace Balsammill
