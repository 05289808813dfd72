#pragma once

#include "NodeContext.h"

#include "balsammill/http/HttpClient.h"
#include "balsammill/shards/ShardEngine.h"
#include "platform/UpstreamMessages.h"

#include <functional>
#include <memory>
#include <optional>

namespace Balsammill {

/// The owner's side of one upstream: sends starts and stops, extends the lease while something runs, and brings back
/// what has ended. A start without an answer is settled before its task may run elsewhere: the upstream is asked for a
/// report, and a run that it does not list is stopped, after which it can no longer begin.
class UpstreamSession : public std::enable_shared_from_this<UpstreamSession> {
public:
    struct Handlers {
        /// Something was reported to the engine; it should schedule.
        std::function<void()> progressed;
        /// A higher fencing token is in use.
        std::function<void()> fenced;
    };

    UpstreamSession(NodeContext&, Shards::ShardEngine&, const Shards::UpstreamInfo&, Epoch fence, Handlers);

    /// By then every lease that any owner has granted before is over, on the slowest clock.
    static Duration longestLease(const NodeSettings&);

    void start(const Shards::StartTask&);
    void stop(const Shards::StopTask&);
    /// Does what is due: asks for a report, extends the lease, acknowledges ends. Call it after each change and at an
    /// interval.
    void advance(TimePoint now);
    /// Nothing is sent and no answer is handled any more.
    void close();
    const Shards::UpstreamId& id() const { return id_; }

private:
    void requestReport(TimePoint now, bool wait);
    void handleReport(const HttpResult&, TimePoint sentAt);
    // Where an upstream's report lists a run.
    enum class Seen {
        Running,
        Ended,
        Nowhere,
    };

    void settle(const Shards::StartTask&, int attempt);
    /// Asks for a report and tells where it lists the run of a start; settles the start anew if there is no report.
    void lookFor(const Shards::StartTask&, int attempt, std::function<void(Seen)> decide);
    void settleByStop(const Shards::StartTask&, int attempt);
    void settleByReport(const Shards::StartTask&, int attempt);
    void after(Duration delay, std::function<void()> action);
    void retrySettle(const Shards::StartTask&, int attempt);
    bool noteAnswer(const HttpResult&, TimePoint now);
    void noteFailure(TimePoint now, const std::string& reason);
    Platform::UpstreamClock clockAt(TimePoint) const;
    Platform::UpstreamClock grant(TimePoint now, Duration length);
    bool leaseOver(TimePoint now) const { return now >= leaseOverAt_; }

    NodeContext& context_;
    Shards::ShardEngine& engine_;
    Shards::UpstreamId id_;
    Epoch fence_;
    Handlers handlers_;
    std::unique_ptr<HttpClient> reports_;
    std::unique_ptr<HttpClient> orders_;
    Platform::UpstreamClock clock_;
    TimePoint clockReadAt_ {};
    // By then every lease granted so far has expired on the upstream.
    TimePoint leaseOverAt_ {};
    TimePoint reportRetryAt_ {};
    TimePoint reportedAt_ {};
    bool pausePlanned_ { false };
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
