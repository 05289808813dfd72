#pragma once

#include "SimulatedProcess.h"

#include "balsammill/shards/FencingToken.h"

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
    // One request as it was sent.
    struct SentRequest {
        FencingToken token {};
        int sentAt { 0 };
        int copy { 0 };
        /// Other copies were sent, which may be carried out too.
        bool repeated { false };
        /// When to extend the lease that the request grants; unset if it grants none.
        std::optional<int> renewAt {};
        bool afterExpiry { false };
    };
    struct SentCopies {
        int last { 0 };
        int outstanding { 0 };
        bool grant { false };
        bool finished { false };
    };
    struct StartInDoubt {
        TaskKey task;
        RunNumber run;
        FencingToken resolvedFrom;
    };
    enum class Answer {
        None,
        Superseded,
        Usable,
    };
    using Encoder = std::function<std::optional<UpstreamRequest>(SentRequest&)>;
    using AnswerHandler = std::function<void(Answer, const UpstreamResponse*, const SentRequest&)>;

    void sendRepeatedly(const Encoder&, const AnswerHandler&);
    void sendCopy(int copy, int deadline, const std::shared_ptr<SentCopies>&, const Encoder&, const AnswerHandler&);
    Answer classify(const UpstreamResponse*, const SentRequest&);
    void sendStart(const StartTask&, bool mayHaveRun);
    void resolveByReport(const StartTask&);
    void doubt();
    void runAfter(int delay, std::function<void()> action);
    int permittedLease(int wanted) const;
    bool maySendAgain(const StartTask&) const;
    int longestLease(int granted) const;
    std::int64_t grantLease(int length, SentRequest&);
    bool isCheckDue() const;
    bool isRenewalDue() const;
    void requestCheck();
    void requestPoll();
    void handleReport(const UpstreamResponse&, const SentRequest&);
    void handleReportFailure();
    bool hasUnreportedExpiry() const { return !expiryReported_ && leaseExpired(); }
    bool leaseExpired() const { return process_.now() >= leaseExpiresAt_; }

    SimulatedProcess& process_;
    ShardEngine& engine_;
    int upstream_;
    UpstreamId id_;
    FencingTokens tokens_;
    Handlers handlers_;
    std::vector<StartInDoubt> startsInDoubt_;
    std::int64_t clock_ { 0 };
    std::int64_t reportedClock_ { 0 };
    int clockReadAt_ { 0 };
    int leaseExpiresAt_ { 0 };
    int renewAt_ { 0 };
    int checkRetryAt_ { 0 };
    int retryDelay_ { 0 };
    int lastPoll_ { 0 };
    int pollSentAt_ { 0 };
    bool expiryReported_ { true };
    bool grantInDoubt_ { false };
    bool checkWanted_ { false };
    bool checkOutstanding_ { false };
    bool pollOutstanding_ { false };
    bool confirmed_ { false };
    bool failing_ { false };
    bool closed_ { false };
};

} // namespace Balsammill::Shards::Testing
