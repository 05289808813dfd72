#include "UpstreamSession.h"

#include "platform/Json.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

namespace Balsammill {

namespace {

// How long the upstream may wait for an end before it answers; the lease is extended with each such request.
constexpr Duration reportWait = std::chrono::milliseconds(400);
// Answers come within a round trip of a failure domain; the rest is for a slow process at either side.
constexpr Duration answerTimeout = std::chrono::milliseconds(200);
// Lease of a start. It is short so that a start that is delivered late is refused; reports extend it.
constexpr Duration startLease = std::chrono::milliseconds(600);
// An upstream's clock may be this much slow.
constexpr double slowestClock = 0.98;
// On top of the lease's end by the slowest clock: a stop's grace and the rounding to milliseconds.
constexpr Duration expiryMargin = std::chrono::milliseconds(80);
// Ends of an upstream that has become idle are acknowledged after this time, unless a start does it sooner.
constexpr Duration idleAcknowledgeDelay = std::chrono::milliseconds(250);
// Between two reports while ends wait to be recorded, which takes about a write of the store.
constexpr Duration unrecordedPause = std::chrono::milliseconds(20);
// On top of the time that a stop takes, before its effect is looked at.
constexpr Duration stopMargin = std::chrono::milliseconds(10);
// Pause after a failed report; doubled up to the longest while the upstream does not answer.
constexpr Duration firstRetryDelay = std::chrono::milliseconds(50);
constexpr Duration longestRetryDelay = std::chrono::milliseconds(400);
// A report waits on its connection; starts and stops go beside it, about as many at a time as tasks fit.
constexpr std::size_t reportConnections = 1;
constexpr std::size_t orderConnections = 3;

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
    , reports_(std::make_unique<HttpClient>(context.loop, info.address, reportConnections))
    , orders_(std::make_unique<HttpClient>(context.loop, info.address, orderConnections))
{
}

Duration UpstreamSession::longestLease(const NodeSettings& settings)
{
    const auto real = static_cast<double>(settings.maxLease.count()) / slowestClock;
    return Duration(static_cast<Duration::rep>(real)) + expiryMargin + settings.stopGrace;
}

void UpstreamSession::close()
{
    closed_ = true;
    reports_.reset();
    orders_.reset();
}

Platform::UpstreamClock UpstreamSession::clockAt(TimePoint now) const
{
    return Platform::UpstreamClock(clock_.value + wholeMs(now - clockReadAt_));
}

Platform::UpstreamClock UpstreamSession::grant(TimePoint now, Duration length)
{
    // The clock may have been read long ago, or in an earlier incarnation, and the deadline be further away than it
    // seems; only the upstream's own limit holds in any case.
    leaseOverAt_ = std::max(leaseOverAt_, now + longestLease(context_.settings));
    expiryReported_ = false;
    return Platform::UpstreamClock(clockAt(now).value + wholeMs(length));
}

bool UpstreamSession::noteAnswer(const HttpResult& result, TimePoint now)
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
    const auto length = std::min(startLease, context_.settings.maxLease);
    const auto request = Platform::encodeStart(start, grant(now, length), fence_);
    orders_->send(request, now + answerTimeout, [self = shared_from_this(), start](const HttpResult& result) {
        if (self->closed_)
            return;
        const auto answered = monotonicNow();
        if (!self->noteAnswer(result, answered)) {
            if (self->closed_)
                return;
            if (result.neverSent) {
                self->context_.metrics.add("balsammill_starts_total", R"(outcome="unreachable")");
                self->engine_.handleStartRefused(
                    self->id_, start.task, start.run, Shards::StartRefusal::Unhealthy, answered);
                self->handlers_.progressed();
            } else {
                self->context_.metrics.add("balsammill_starts_total", R"(outcome="unanswered")");
                self->settle(start, 0);
            }
            return;
        }
        try {
            if (Platform::isOtherIncarnation(*result.response)) {
                self->engine_.handleLeaseExpired(self->id_, answered);
                self->handlers_.progressed();
                return;
            }
            const auto answer = Platform::parseStartAnswer(*result.response);
            if (const auto* refusal = std::get_if<Shards::StartRefusal>(&answer)) {
                self->context_.metrics.add("balsammill_starts_total", R"(outcome="refused")");
                self->context_.log.event("task.start_refused",
                    { { "id", start.task.job.value }, { "upstream", self->id_.value },
                        { "status", std::uint64_t { result.response->status } }, { "body", result.response->body } });
                self->engine_.handleStartRefused(self->id_, start.task, start.run, *refusal, answered);
                self->handlers_.progressed();
            } else {
                self->context_.metrics.add("balsammill_starts_total", R"(outcome="started")");
                self->engine_.handleStarted(self->id_, start.task, start.run, answered);
            }
        } catch (const Platform::FormatError& error) {
            self->context_.log.event(
                "upstream.bad_answer", { { "upstream", self->id_.value }, { "reason", error.what() } });
            self->settle(start, 0);
        }
    });
    advance(now);
}

void UpstreamSession::settle(const Shards::StartTask& start, int attempt)
{
    // The answer may be lost while the task runs; then the report lists it and nothing has to be repeated.
    lookFor(start, attempt, [self = shared_from_this(), start, attempt](Seen seen) {
        self->handlers_.progressed();
        if (seen == Seen::Nowhere && !self->closed_)
            self->settleByStop(start, attempt);
    });
}

void UpstreamSession::lookFor(const Shards::StartTask& start, int attempt, std::function<void(Seen)> decide)
{
    const auto sentAt = monotonicNow();
    const auto request
        = Platform::encodeReportRequest(id_, std::nullopt, fence_, engine_.lastEndToAcknowledge(id_), Duration::zero());
    orders_->send(request, sentAt + answerTimeout,
        [self = shared_from_this(), start, attempt, sentAt, decide = std::move(decide)](const HttpResult& result) {
            if (self->closed_)
                return;
            const auto now = monotonicNow();
            if (!self->noteAnswer(result, now) || result.response->status != 200) {
                if (!self->closed_)
                    self->retrySettle(start, attempt);
                return;
            }
            Shards::UpstreamReport report;
            try {
                report = Platform::parseReport(*result.response);
            } catch (const Platform::FormatError& error) {
                self->context_.log.event(
                    "upstream.bad_answer", { { "upstream", self->id_.value }, { "reason", error.what() } });
                self->retrySettle(start, attempt);
                return;
            }
            self->engine_.handleReport(self->id_, report, sentAt, now);
            const auto isRun = [&](const auto& each) { return each.task == start.task && each.run == start.run; };
            if (std::any_of(report.running.begin(), report.running.end(), isRun))
                decide(Seen::Running);
            else if (std::any_of(report.ended.begin(), report.ended.end(), isRun))
                decide(Seen::Ended);
            else
                decide(Seen::Nowhere);
        });
}

void UpstreamSession::settleByStop(const Shards::StartTask& start, int attempt)
{
    const auto now = monotonicNow();
    engine_.handleStopSent(id_, start.task, start.run, now);
    const auto request = Platform::encodeStop({ .upstream = id_, .task = start.task, .run = start.run }, fence_);
    orders_->send(request, now + answerTimeout, [self = shared_from_this(), start, attempt](const HttpResult& result) {
        if (self->closed_)
            return;
        const auto answered = monotonicNow();
        if (!self->noteAnswer(result, answered) || result.response->status != 200) {
            if (!self->closed_)
                self->retrySettle(start, attempt);
            return;
        }
        // The run cannot begin any more, but it may have begun just before the stop. Its end is listed once the stop
        // has taken effect, so the report that decides is asked for after that.
        self->after(self->context_.settings.stopGrace + stopMargin,
            [self, start, attempt] { self->settleByReport(start, attempt); });
    });
}

void UpstreamSession::settleByReport(const Shards::StartTask& start, int attempt)
{
    lookFor(start, attempt, [self = shared_from_this(), start, attempt](Seen seen) {
        if (seen == Seen::Running)
            self->retrySettle(start, attempt);
        else
            self->engine_.handleNeverStarted(self->id_, start.task, start.run, monotonicNow());
        self->handlers_.progressed();
    });
}

void UpstreamSession::after(Duration delay, std::function<void()> action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(context_.loop);
    timer->expires_after(delay);
    timer->async_wait(
        [self = shared_from_this(), timer, action = std::move(action)](const boost::system::error_code& error) {
            if (!error && !self->closed_)
                action();
        });
}

void UpstreamSession::retrySettle(const Shards::StartTask& start, int attempt)
{
    // Once the lease has expired the engine has dropped the run, and there is nothing left to settle.
    if (leaseOver(monotonicNow()))
        return;
    after(std::min(firstRetryDelay * (1 << std::min(attempt, 3)), longestRetryDelay),
        [self = shared_from_this(), start, attempt] { self->settle(start, attempt + 1); });
}

void UpstreamSession::stop(const Shards::StopTask& stop)
{
    if (closed_)
        return;
    const auto now = monotonicNow();
    context_.metrics.add("balsammill_stops_total");
    orders_->send(Platform::encodeStop(stop, fence_), now + answerTimeout,
        [self = shared_from_this(), stop](const HttpResult& result) {
            if (self->closed_)
                return;
            const auto answered = monotonicNow();
            const bool heard = self->noteAnswer(result, answered);
            const bool carriedOut = heard && !Platform::didNothing(*result.response);
            if (self->closed_)
                return;
            const bool needed = !self->leaseOver(answered) && self->engine_.isBusy(self->id_);
            if (carriedOut || !needed)
                self->advance(answered);
            else if (heard)
                self->after(firstRetryDelay, [self, stop] { self->stop(stop); });
            else
                self->stop(stop);
        });
}

void UpstreamSession::noteFailure(TimePoint now, const std::string& reason)
{
    retryDelay_ = std::clamp(retryDelay_ * 2, firstRetryDelay, longestRetryDelay);
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
    if (confirmed_ && engine_.needsLease(id_, now))
        lease = grant(now, context_.settings.maxLease);
    const auto waitFor = wait ? reportWait : Duration::zero();
    const auto lastEnd = engine_.lastEndToAcknowledge(id_);
    const auto request = Platform::encodeReportRequest(id_, lease, fence_, lastEnd, waitFor);
    context_.metrics.add("balsammill_upstream_reports_total");
    reports_->send(
        request, now + waitFor + answerTimeout, [self = shared_from_this(), now, lastEnd](const HttpResult& result) {
            if (self->closed_)
                return;
            self->reportOutstanding_ = false;
            if (result.response && result.response->status == 200)
                self->acknowledgedEnd_ = lastEnd;
            self->handleReport(result, now);
        });
}

void UpstreamSession::handleReport(const HttpResult& result, TimePoint sentAt)
{
    const auto now = monotonicNow();
    if (!noteAnswer(result, now)) {
        if (closed_)
            return;
        noteFailure(now, result.error);
        advance(now);
        return;
    }
    if (result.response->status != 200) {
        if (Platform::isOtherIncarnation(*result.response)) {
            engine_.handleLeaseExpired(id_, now);
            handlers_.progressed();
        }
        if (!closed_)
            noteFailure(now, "status " + std::to_string(result.response->status));
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
        // A report that waited was complete when it was answered, so runs confirmed before it was sent are judged.
        engine_.handleReport(id_, report, sentAt, now);
    } catch (const Platform::FormatError& error) {
        context_.log.event("upstream.bad_answer", { { "upstream", id_.value }, { "reason", error.what() } });
        noteFailure(now, error.what());
        return;
    }
    handlers_.progressed();
    if (closed_)
        return;
    if (!engine_.isConfirmed(id_)) {
        reportRetryAt_ = now + context_.settings.stopGrace + stopMargin;
        after(context_.settings.stopGrace + stopMargin, [self = shared_from_this()] { self->advance(monotonicNow()); });
        return;
    }
    advance(monotonicNow());
}

void UpstreamSession::advance(TimePoint now)
{
    if (closed_)
        return;
    const bool busy = engine_.isBusy(id_);
    if (busy && !expiryReported_ && leaseOver(now)) {
        expiryReported_ = true;
        context_.metrics.add("balsammill_leases_expired_total");
        context_.log.event("upstream.lease_expired",
            { { "upstream", id_.value }, { "fence", fence_.value }, { "since_report_ms", wholeMs(now - reportedAt_) },
                { "since_clock_read_ms", wholeMs(now - clockReadAt_) },
                { "over_for_ms", wholeMs(now - leaseOverAt_) } });
        engine_.handleLeaseExpired(id_, now);
        handlers_.progressed();
        return;
    }
    if (reportOutstanding_ || now < reportRetryAt_)
        return;
    if (!confirmed_ || failing_ || !engine_.isConfirmed(id_)) {
        requestReport(now, false);
        return;
    }
    if (busy) {
        idleSince_ = TimePoint {};
        // The upstream answers at once while it lists an end, so a request that cannot acknowledge all has to wait.
        const bool listsEnds = engine_.hasUnrecordedEnds(id_);
        if (listsEnds && now - reportedAt_ < unrecordedPause) {
            if (!std::exchange(pausePlanned_, true))
                after(unrecordedPause, [self = shared_from_this()] {
                    self->pausePlanned_ = false;
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
