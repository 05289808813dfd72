#pragma once

#include "AnswerTimes.h"
#include "NodeContext.h"
#include "UpstreamLeases.h"

#include "balsammill/http/HttpClient.h"
#include "balsammill/shards/FencingToken.h"
#include "balsammill/shards/ShardEngine.h"
#include "platform/UpstreamMessages.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace Balsammill {

/// The owner's session with one upstream: sends start and stop requests, extends the lease while tasks run, and passes
/// reports to the engine.
///
/// A request without an answer may be lost, carried out, or carried out seconds later. So starts, stops and checks,
/// which are answered at once, are repeated on another connection. A check is a report that is answered at once; it
/// extends the lease where needed. Ends of runs are learned from a long poll, which extends nothing: that it has no
/// answer yet says nothing, and if it is lost, a check finds the end. Before a grant is repeated, and when a start gets
/// no answer at all, the fencing token is raised, so that the earlier copies cannot be carried out later.
class UpstreamSession : public std::enable_shared_from_this<UpstreamSession> {
public:
    struct Handlers {
        /// Called after the engine has received an event, so that it can schedule.
        std::function<void()> schedulingNeeded;
        /// Called when the upstream has seen a higher fencing token.
        std::function<void()> fenced;
    };

    UpstreamSession(NodeContext&, Shards::ShardEngine&, const Shards::UpstreamInfo&, Epoch, Handlers);

    void start(const Shards::StartTask&);
    void stop(const Shards::StopTask&);
    /// Performs due work: requests reports, extends the lease and acknowledges finished runs. Call it after each change
    /// and periodically.
    void advance(TimePoint now);
    /// Closes the connections. Nothing is sent and no response is handled afterwards.
    void close();
    const Shards::UpstreamId& id() const { return id_; }

private:
    // One request as it was sent.
    struct SentRequest {
        Shards::FencingToken token {};
        TimePoint sentAt {};
        std::size_t copy { 0 };
        // Other copies were sent, which may be carried out too.
        bool repeated { false };
        std::optional<UpstreamLeases::Grant> lease {};
        std::uint64_t acknowledgedEnd { 0 };
        // The client that sends it, and the connection that it has to use; 0 if any.
        const HttpClient* client { nullptr };
        HttpConnectionId connection {};
        // The lease had expired when the report was requested, and the engine does not know it yet.
        bool afterExpiry { false };
    };
    // The copies of a request that is sent repeatedly.
    struct SentCopies {
        // The one whose answer, or failure, is handled.
        SentRequest answered;
        std::size_t last { 0 };
        // At least one copy grants a lease.
        bool grant { false };
    };
    // A start without an answer, until a report that was requested with this token or a higher one decides.
    struct StartInDoubt {
        Shards::TaskKey task;
        Shards::RunNumber run;
        Shards::FencingToken resolvedFrom;
    };
    enum class Answer {
        None,
        // Refused, because this session has raised its fencing token after sending it.
        Superseded,
        Usable,
    };
    /// Encodes one copy of a request and completes what is known of it; empty if no copy may be sent any more.
    using Encoder = std::function<std::optional<HttpRequest>(SentRequest&)>;
    using AnswerHandler = std::function<void(Answer, const HttpResult&, const SentRequest&)>;

    void sendRepeatedly(Encoder, AnswerHandler);
    Answer classify(const HttpResult&, const SentRequest&, TimePoint now);
    /// mayHaveRun: an earlier request may have started the run.
    void sendStart(const Shards::StartTask&, bool mayHaveRun);
    void handleStartAnswer(
        const Shards::StartTask&, const HttpResponse&, const SentRequest&, bool mayHaveRun, TimePoint now);
    /// The next report decides whether the run was started; if not, it never will be.
    void resolveByReport(const Shards::StartTask&, TimePoint now);
    /// No start is placed on the upstream until a report shows that it is reachable.
    void doubt(TimePoint now);
    bool isCheckDue(TimePoint now, bool busy) const;
    void requestCheck();
    std::optional<HttpRequest> encodeCheck(SentRequest&);
    bool isPollDue(TimePoint now, bool busy);
    void requestPoll(TimePoint now, bool wait);
    void handleReport(const HttpResult&, const SentRequest&);
    /// True if the report is older than one that was handled before: answers on different connections may overtake
    /// each other.
    bool isOutdated(const HttpResponse&, const Shards::UpstreamReport&);
    /// Logs it if the acknowledgement of ends does not advance.
    void noteAcknowledgement(const Shards::UpstreamReport&, TimePoint now);
    void resolveStarts(const Shards::UpstreamReport&, Shards::FencingToken, TimePoint now);
    void handleReportFailure(TimePoint now, const std::string& reason);
    void handleExpiry(TimePoint now);
    void logExpiry(TimePoint now, std::size_t stillRunning);
    void runAfter(Duration delay, std::function<void()> action);
    Duration permittedLease(TimePoint now, Duration wanted) const;
    Duration permittedStartLease(TimePoint now) const;
    /// False if the run is not wanted any more, or could outlive its client's request.
    bool maySendAgain(const Shards::StartTask&, TimePoint now) const;
    UpstreamLeases::Grant grantLease(TimePoint now, Duration length);
    /// Acknowledges the handled ends with the next request of this client, unless it may reach another incarnation than
    /// the one that listed them.
    void acknowledgeEnds(SentRequest&, HttpClient&);
    void noteReporter(const HttpClient*, HttpConnectionId, std::int64_t startedUnixMs);

    NodeContext& context_;
    Shards::ShardEngine& engine_;
    Shards::UpstreamId id_;
    Shards::FencingTokens tokens_;
    Handlers handlers_;
    UpstreamLeases leases_;
    AnswerTimes answerTimes_;
    std::unique_ptr<HttpClient> pollClient_;
    std::unique_ptr<HttpClient> commandClient_;
    std::vector<StartInDoubt> startsInDoubt_;
    // A grant has no answer, and no request has been answered since the fencing token was raised for it.
    bool grantInDoubt_ { false };
    // Connections on which the newest incarnation has reported. Its restart ends them, so a request on them cannot
    // reach a later one.
    std::set<std::pair<const HttpClient*, HttpConnectionId>> reporters_;
    std::int64_t reportersStartMs_ { 0 };
    // Newest report that was handled, by the upstream's start time and clock.
    std::int64_t reportedStartMs_ { 0 };
    Platform::UpstreamClock reportedClock_;
    TimePoint reportedAt_ {};
    TimePoint checkRetryAt_ {};
    TimePoint idleSince_ {};
    Duration retryDelay_ {};
    std::uint64_t acknowledgedEnd_ { 0 };
    // Lowest end that the last report listed; 0 if it listed none.
    std::uint64_t firstListedEnd_ { 0 };
    // When it is logged that this end is still listed.
    TimePoint acknowledgementLateAt_ {};
    std::uint64_t lastPoll_ { 0 };
    TimePoint pollSentAt_ {};
    // The last answered report request acknowledged nothing although ends were due.
    bool acknowledgementWithheld_ { false };
    bool pollOutstanding_ { false };
    bool pollTimerArmed_ { false };
    bool checkWanted_ { false };
    bool checkOutstanding_ { false };
    bool confirmed_ { false };
    bool failing_ { false };
    bool closed_ { false };
};

} // namespace Balsammill
