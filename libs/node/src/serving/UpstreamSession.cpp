#include "UpstreamSession.h"

#include "TimeBudgets.h"

#include "balsammill/http/Timer.h"
#include "platform/Json.h"

#include <algorithm>
#include <utility>

namespace Balsammill {

namespace {

// Long-poll time: how long the upstream may wait for a run to finish before it answers. Each such request extends the
// lease.
constexpr Duration reportPollTime = std::chrono::milliseconds(400);
// Long-poll time while no lease or only a short one can be granted.
constexpr Duration shortestPollTime = std::chrono::milliseconds(50);
// Added to the lease time on the slowest clock: the grace period of a stop and rounding to milliseconds.
constexpr Duration expiryMargin = std::chrono::milliseconds(80);
// Delay before the last finished runs of an idle upstream are acknowledged, unless a start triggers a report earlier.
constexpr Duration idleAcknowledgeDelay = std::chrono::milliseconds(250);
// Minimum interval between reports while finished runs wait to be recorded, which takes about one store write.
constexpr Duration unrecordedEndsInterval = std::chrono::milliseconds(20);
// Exponential backoff after failed report requests.
constexpr Duration initialRetryDelay = std::chrono::milliseconds(50);
constexpr Duration maxRetryDelay = std::chrono::milliseconds(400);
// Report requests are long polls and use their own connection. Starts and stops use the others, about one per task that
// fits on an upstream.
constexpr std::size_t reportConnections = 1;
constexpr std::size_t commandConnections = 3;

std::int64_t wholeMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

UpstreamSession::UpstreamSession(
    NodeContext& context, Shards::ShardEngine& engine, const Shards::UpstreamInfo& info, Epoch fence, Handlers handlers)
    : context_(context)
    , engine_(engine)
    , id_(info.id)
    , fence_(fence)
    , handlers_(std::move(handlers))
    , reportClient_(std::make_unique<HttpClient>(context.loop, info.address, reportConnections))
    , commandClient_(std::make_unique<HttpClient>(context.loop, info.address, commandConnections))
{
}

Duration UpstreamSession::maxLeaseLifetime(const NodeSettings& settings)
{
    const auto realTime = static_cast<double>(settings.maxLease.count()) / minClockRate;
    return Duration(static_cast<Duration::rep>(realTime)) + expiryMargin + settings.stopGrace;
}

void UpstreamSession::close()
{
    closed_ = true;
    reportClient_.reset();
    commandClient_.reset();
}

Platform::UpstreamClock UpstreamSession::clockAt(TimePoint now) const
{
    return Platform::UpstreamClock(clock_.value + wholeMs(now - clockReadAt_));
}

Duration UpstreamSession::permittedLease(TimePoint now, Duration wanted) const
{
    const auto limit = engine_.leaseLimit(id_);
    if (limit == TimePoint::max())
        return wanted;
    if (limit <= now)
        return Duration::zero();
    // The upstream shortens every lease to the maximum, whatever its clock shows.
    if (limit - now
        >= Duration(static_cast<Duration::rep>(static_cast<double>(context_.settings.maxLease.count()) / minClockRate)))
        return wanted;
    // The slowest clock has fallen behind the estimate since it was read, and also runs slowly during the lease.
    const auto onSlowestClock = minClockRate * static_cast<double>((limit - now).count())
        - (1 - minClockRate) * static_cast<double>((now - clockReadAt_).count());
    return std::min(wanted, Duration(static_cast<Duration::rep>(onSlowestClock)));
}

Duration UpstreamSession::longestLease(TimePoint now, Duration granted) const
{
    const auto byEstimate
        = static_cast<double>(granted.count()) + (1 - minClockRate) * static_cast<double>((now - clockReadAt_).count());
    const auto onUpstream = std::min(byEstimate, static_cast<double>(context_.settings.maxLease.count()));
    return Duration(static_cast<Duration::rep>(onUpstream / minClockRate));
}

Platform::UpstreamClock UpstreamSession::grantLease(TimePoint now, Duration length)
{
    // The upstream's clock may have been read long ago or in an earlier incarnation, so the granted deadline may be
    // later than estimated. Only the maximum lease, which the upstream itself enforces, is a safe bound.
    leaseExpiresAt_ = std::max(leaseExpiresAt_, now + maxLeaseLifetime(context_.settings));
    expiryReported_ = false;
    engine_.noteLease(id_, now + longestLease(now, length));
    return Platform::UpstreamClock(clockAt(now).value + wholeMs(length));
}

bool UpstreamSession::processResponse(const HttpResult& result, TimePoint now)
{
    if (!result.response)
        return false;
    try {
        if (const auto clock = Platform::parseClock(*result.response)) {
            clock_ = *clock;
            clockReadAt_ = now;
        }
        if (Platform::isFenced(*result.response)) {
            handlers_.fenced();
            return false;
        }
    } catch (const Platform::FormatError& error) {
        context_.log.event("upstream.bad_answer", { { "upstream", id_.value }, { "reason", error.what() } });
        return false;
    }
    return true;
}

void UpstreamSession::start(const Shards::StartTask& start)
{
    if (closed_)
        return;
    const auto now = monotonicNow();
    const auto length = permittedLease(now, std::min(startLease, context_.settings.maxLease));
    const auto request = Platform::encodeStart(start, grantLease(now, length), fence_);
    commandClient_->send(request, now + answerTimeout, [self = shared_from_this(), start](const HttpResult& result) {
        if (self->closed_)
            return;
        const auto respondedAt = monotonicNow();
        if (!self->processResponse(result, respondedAt)) {
            if (self->closed_)
                return;
            if (result.neverSent) {
                self->context_.metrics.add("balsammill_starts_total", R"(outcome="unreachable")");
                self->engine_.handleStartRefused(
                    self->id_, start.task, start.run, Shards::StartRefusal::Unhealthy, respondedAt);
                self->handlers_.schedulingNeeded();
            } else {
                self->context_.metrics.add("balsammill_starts_total", R"(outcome="unanswered")");
                self->resolveStart(start, 0);
            }
            return;
        }
        try {
            if (Platform::isOtherIncarnation(*result.response)) {
                self->engine_.handleLeaseExpired(self->id_, respondedAt);
                self->handlers_.schedulingNeeded();
                return;
            }
            const auto answer = Platform::parseStartAnswer(*result.response);
            if (const auto* refusal = std::get_if<Shards::StartRefusal>(&answer)) {
                self->context_.metrics.add("balsammill_starts_total", R"(outcome="refused")");
                self->context_.log.event("task.start_refused",
                    { { "id", start.task.job.value }, { "upstream", self->id_.value },
                        { "status", std::uint64_t { result.response->status } }, { "body", result.response->body } });
                self->engine_.handleStartRefused(self->id_, start.task, start.run, *refusal, respondedAt);
                self->handlers_.schedulingNeeded();
            } else {
                self->context_.metrics.add("balsammill_starts_total", R"(outcome="started")");
                self->engine_.handleStarted(self->id_, start.task, start.run, respondedAt);
            }
        } catch (const Platform::FormatError& error) {
            self->context_.log.event(
                "upstream.bad_answer", { { "upstream", self->id_.value }, { "reason", error.what() } });
            self->resolveStart(start, 0);
        }
    });
    advance(now);
}

void UpstreamSession::resolveStart(const Shards::StartTask& start, int attempt)
{
    // The task may be running although the answer was lost; then the report lists it and no further request is needed.
    findRunInReport(start, attempt, [self = shared_from_this(), start, attempt](RunListing listing) {
        self->handlers_.schedulingNeeded();
        if (listing == RunListing::NotListed && !self->closed_)
            self->resolveByStop(start, attempt);
    });
}

void UpstreamSession::findRunInReport(
    const Shards::StartTask& start, int attempt, std::function<void(RunListing)> callback)
{
    const auto sentAt = monotonicNow();
    const auto request
        = Platform::encodeReportRequest(id_, std::nullopt, fence_, engine_.lastEndToAcknowledge(id_), Duration::zero());
    commandClient_->send(request, sentAt + answerTimeout,
        [self = shared_from_this(), start, attempt, sentAt, callback = std::move(callback)](const HttpResult& result) {
            if (self->closed_)
                return;
            const auto now = monotonicNow();
            if (!self->processResponse(result, now) || result.response->status != 200) {
                if (!self->closed_)
                    self->retryResolve(start, attempt);
                return;
            }
            Shards::UpstreamReport report;
            try {
                report = Platform::parseReport(*result.response);
            } catch (const Platform::FormatError& error) {
                self->context_.log.event(
                    "upstream.bad_answer", { { "upstream", self->id_.value }, { "reason", error.what() } });
                self->retryResolve(start, attempt);
                return;
            }
            self->engine_.handleReport(self->id_, report, sentAt, now);
            const auto isRun = [&](const auto& each) { return each.task == start.task && each.run == start.run; };
            if (std::any_of(report.running.begin(), report.running.end(), isRun))
                callback(RunListing::Running);
            else if (std::any_of(report.ended.begin(), report.ended.end(), isRun))
                callback(RunListing::Ended);
            else
                callback(RunListing::NotListed);
        });
}

void UpstreamSession::resolveByStop(const Shards::StartTask& start, int attempt)
{
    const auto now = monotonicNow();
    engine_.handleStopSent(id_, start.task, start.run, now);
    const auto request = Platform::encodeStop({ .upstream = id_, .task = start.task, .run = start.run }, fence_);
    commandClient_->send(
        request, now + answerTimeout, [self = shared_from_this(), start, attempt](const HttpResult& result) {
            if (self->closed_)
                return;
            const auto respondedAt = monotonicNow();
            if (!self->processResponse(result, respondedAt) || result.response->status != 200) {
                if (!self->closed_)
                    self->retryResolve(start, attempt);
                return;
            }
            // The run can no longer begin, but it may have begun just before the stop. The upstream lists it as
            // finished once the stop has taken effect, so the deciding report is requested after that.
            self->runAfter(self->context_.settings.stopGrace + stopMargin,
                [self, start, attempt] { self->resolveByReport(start, attempt); });
        });
}

void UpstreamSession::resolveByReport(const Shards::StartTask& start, int attempt)
{
    findRunInReport(start, attempt, [self = shared_from_this(), start, attempt](RunListing listing) {
        if (listing == RunListing::Running)
            self->retryResolve(start, attempt);
        else
            self->engine_.handleNeverStarted(self->id_, start.task, start.run, monotonicNow());
        self->handlers_.schedulingNeeded();
    });
}

void UpstreamSession::runAfter(Duration delay, std::function<void()> action)
{
    auto timer = std::make_shared<Timer>(context_.loop);
    timer->expires_after(delay);
    timer->async_wait(
        [self = shared_from_this(), timer, action = std::move(action)](const boost::system::error_code& error) {
            if (!error && !self->closed_)
                action();
        });
}

void UpstreamSession::retryResolve(const Shards::StartTask& start, int attempt)
{
    // Once the engine knows that the lease has expired it has dropped the run, and there is nothing left to resolve.
    if (expiryReported_ && leaseExpired(monotonicNow()))
        return;
    runAfter(std::min(initialRetryDelay * (1 << std::min(attempt, 3)), maxRetryDelay),
        [self = shared_from_this(), start, attempt] { self->resolveStart(start, attempt + 1); });
}

void UpstreamSession::stop(const Shards::StopTask& stop)
{
    if (closed_)
        return;
    const auto now = monotonicNow();
    context_.metrics.add("balsammill_stops_total");
    commandClient_->send(Platform::encodeStop(stop, fence_), now + answerTimeout,
        [self = shared_from_this(), stop](const HttpResult& result) {
            if (self->closed_)
                return;
            const auto respondedAt = monotonicNow();
            const bool responded = self->processResponse(result, respondedAt);
            const bool executed = responded && !Platform::hadNoEffect(*result.response);
            if (self->closed_)
                return;
            const bool needed = !self->leaseExpired(respondedAt) && self->engine_.isBusy(self->id_);
            if (executed || !needed)
                self->advance(respondedAt);
            else if (responded)
                self->runAfter(initialRetryDelay, [self, stop] { self->stop(stop); });
            else
                self->stop(stop);
        });
}

void UpstreamSession::handleReportFailure(TimePoint now, const std::string& reason)
{
    retryDelay_ = std::clamp(retryDelay_ * 2, initialRetryDelay, maxRetryDelay);
    reportRetryAt_ = now + retryDelay_;
    engine_.setReachable(id_, false, now);
    if (!failing_) {
        failing_ = true;
        context_.log.event("upstream.unreachable", { { "upstream", id_.value }, { "reason", reason } });
    }
}

void UpstreamSession::requestReport(TimePoint now, bool wait)
{
    reportOutstanding_ = true;
    std::optional<Platform::UpstreamClock> lease;
    auto waitFor = wait ? reportPollTime : Duration::zero();
    const bool afterExpiry = hasUnreportedExpiry(now);
    if (confirmed_ && !afterExpiry && engine_.needsLease(id_, now)) {
        // A short lease is extended again early, because its limit usually rises within a few messages.
        const auto length = permittedLease(now, context_.settings.maxLease);
        waitFor = std::min(waitFor, std::max(length / 2, shortestPollTime));
        if (length > Duration::zero())
            lease = grantLease(now, length);
    }
    const auto lastEnd = engine_.lastEndToAcknowledge(id_);
    const auto request = Platform::encodeReportRequest(id_, lease, fence_, lastEnd, waitFor);
    context_.metrics.add("balsammill_upstream_reports_total");
    reportClient_->send(request, now + waitFor + answerTimeout,
        [self = shared_from_this(), now, lastEnd, afterExpiry](const HttpResult& result) {
            if (self->closed_)
                return;
            self->reportOutstanding_ = false;
            if (result.response && result.response->status == 200)
                self->acknowledgedEnd_ = lastEnd;
            self->handleReport(result, now, afterExpiry);
        });
}

void UpstreamSession::logExpiry(TimePoint now, std::size_t stillRunning)
{
    context_.metrics.add("balsammill_leases_expired_total");
    context_.log.event("upstream.lease_expired",
        { { "upstream", id_.value }, { "fence", fence_.value }, { "since_report_ms", wholeMs(now - reportedAt_) },
            { "since_clock_read_ms", wholeMs(now - clockReadAt_) }, { "over_for_ms", wholeMs(now - leaseExpiresAt_) },
            { "still_running", std::uint64_t { stillRunning } } });
}

void UpstreamSession::handleReport(const HttpResult& result, TimePoint sentAt, bool afterExpiry)
{
    const auto now = monotonicNow();
    if (!processResponse(result, now)) {
        if (closed_)
            return;
        handleReportFailure(now, result.error);
        advance(now);
        return;
    }
    if (result.response->status != 200) {
        if (Platform::isOtherIncarnation(*result.response)) {
            engine_.handleLeaseExpired(id_, now);
            handlers_.schedulingNeeded();
        }
        if (!closed_)
            handleReportFailure(now, "status " + std::to_string(result.response->status));
        return;
    }
    try {
        const auto report = Platform::parseReport(*result.response);
        if (failing_)
            context_.log.event("upstream.reachable", { { "upstream", id_.value } });
        failing_ = false;
        retryDelay_ = Duration::zero();
        confirmed_ = true;
        reportedAt_ = now;
        // A long-polled report is complete at the time of its answer, so it is conclusive for all runs confirmed before
        // the request was sent.
        engine_.handleReport(id_, report, sentAt, now);
        // Runs of an earlier owner end with the leases that it granted, also if this owner never grants one.
        if (leaseExpiresAt_ == TimePoint {}) {
            leaseExpiresAt_ = now + maxLeaseLifetime(context_.settings);
            expiryReported_ = false;
            engine_.noteLease(id_, now + longestLease(now, context_.settings.maxLease));
        }
        if (afterExpiry) {
            expiryReported_ = leaseExpired(now);
            logExpiry(now, report.running.size());
            engine_.handleLeaseExpired(id_, report, sentAt, now);
        }
    } catch (const Platform::FormatError& error) {
        context_.log.event("upstream.bad_answer", { { "upstream", id_.value }, { "reason", error.what() } });
        handleReportFailure(now, error.what());
        return;
    }
    handlers_.schedulingNeeded();
    if (closed_)
        return;
    if (!engine_.isConfirmed(id_)) {
        reportRetryAt_ = now + context_.settings.stopGrace + stopMargin;
        runAfter(
            context_.settings.stopGrace + stopMargin, [self = shared_from_this()] { self->advance(monotonicNow()); });
        return;
    }
    advance(monotonicNow());
}

void UpstreamSession::advance(TimePoint now)
{
    if (closed_)
        return;
    const bool busy = engine_.isBusy(id_);
    if (busy && hasUnreportedExpiry(now) && (!confirmed_ || failing_)) {
        expiryReported_ = true;
        logExpiry(now, 0);
        engine_.handleLeaseExpired(id_, now);
        handlers_.schedulingNeeded();
        return;
    }
    if (reportOutstanding_ || now < reportRetryAt_)
        return;
    if (!confirmed_ || failing_ || !engine_.isConfirmed(id_)) {
        requestReport(now, false);
        return;
    }
    if (busy && hasUnreportedExpiry(now)) {
        // A grant that was carried out late may have kept the runs alive, so a report requested now decides.
        requestReport(now, false);
        return;
    }
    if (busy) {
        idleSince_ = TimePoint {};
        // The upstream answers at once while it lists an unacknowledged finished run, so requests are spaced out until
        // all can be acknowledged.
        const bool listsEnds = engine_.hasUnrecordedEnds(id_);
        if (listsEnds && now - reportedAt_ < unrecordedEndsInterval) {
            if (!std::exchange(reportTimerArmed_, true))
                runAfter(unrecordedEndsInterval, [self = shared_from_this()] {
                    self->reportTimerArmed_ = false;
                    self->advance(monotonicNow());
                });
            return;
        }
        requestReport(now, !listsEnds);
        return;
    }
    if (idleSince_ == TimePoint {})
        idleSince_ = now;
    if (engine_.lastEndToAcknowledge(id_) != acknowledgedEnd_ && now - idleSince_ >= idleAcknowledgeDelay)
        requestReport(now, false);
}

} // namespace Balsammill
