#include "UpstreamSession.h"

#include "RepeatedRequest.h"
#include "TimeBudgets.h"

#include "platform/Json.h"

#include <algorithm>
#include <utility>

namespace Balsammill {

namespace {

// Long-poll time: how long the upstream may wait for a run to finish before it answers.
constexpr Duration reportPollTime = std::chrono::milliseconds(1000);
// Delay before the last finished runs of an idle upstream are acknowledged, unless a start triggers a report earlier.
constexpr Duration idleAcknowledgeDelay = std::chrono::milliseconds(250);
// Minimum interval between reports while finished runs wait to be recorded, which takes about one store write.
constexpr Duration unrecordedEndsInterval = std::chrono::milliseconds(20);
// Exponential backoff after checks without an answer.
constexpr Duration initialRetryDelay = std::chrono::milliseconds(50);
constexpr Duration maxRetryDelay = std::chrono::milliseconds(400);
// Idle connections that are kept open. Starts, stops and checks use about one per task that fits on an upstream.
constexpr std::size_t pollConnections = 1;
constexpr std::size_t commandConnections = 3;
// Minimum interval between checks while reports list only some of the ends, so that none decides about a run.
constexpr Duration incompleteReportInterval = std::chrono::milliseconds(50);
// The acknowledgement of ends is logged as late if it has not advanced for this long; a store write takes some 50 ms.
constexpr Duration lateAcknowledgement = std::chrono::seconds(1);
// Connections that are remembered for acknowledgements of ends.
constexpr std::size_t maxReporters = 16;

} // namespace

UpstreamSession::UpstreamSession(
    NodeContext& context, Shards::ShardEngine& engine, const Shards::UpstreamInfo& info, Epoch epoch, Handlers handlers)
    : context_(context)
    , engine_(engine)
    , id_(info.id)
    , tokens_(epoch)
    , handlers_(std::move(handlers))
    , leases_(context.settings)
    , pollClient_(std::make_unique<HttpClient>(context.loop, info.address, pollConnections))
    , commandClient_(std::make_unique<HttpClient>(context.loop, info.address, commandConnections))
{
}

void UpstreamSession::close()
{
    closed_ = true;
    pollClient_.reset();
    commandClient_.reset();
}

Duration UpstreamSession::permittedLease(TimePoint now, Duration wanted) const
{
    return leases_.longestWithin(engine_.leaseLimit(id_), wanted, now);
}

UpstreamLeases::Grant UpstreamSession::grantLease(TimePoint now, Duration length)
{
    const auto grant = leases_.grant(length, now);
    engine_.noteLease(id_, grant.endsBy);
    return grant;
}

UpstreamSession::Answer UpstreamSession::classify(const HttpResult& result, const SentRequest& sent, TimePoint now)
{
    if (!result.response)
        return Answer::None;
    try {
        if (const auto clock = Platform::parseClock(*result.response))
            leases_.readClock(*clock, now);
        if (Platform::isFenced(*result.response)) {
            if (sent.token < tokens_.current())
                return Answer::Superseded;
            handlers_.fenced();
            return Answer::None;
        }
    } catch (const Platform::FormatError& error) {
        context_.log.event("upstream.bad_answer", { { "upstream", id_.value }, { "reason", error.what() } });
        return Answer::None;
    }
    if (sent.token == tokens_.current())
        grantInDoubt_ = false;
    return Answer::Usable;
}

void UpstreamSession::acknowledgeEnds(SentRequest& sent, HttpClient& client)
{
    // Ends are numbered anew by each incarnation, and a restart keeps the id and the address.
    const auto connection = client.nextConnection();
    if (!reporters_.contains({ &client, connection }))
        return;
    sent.acknowledgedEnd = engine_.lastEndToAcknowledge(id_);
    sent.connection = connection;
}

void UpstreamSession::noteReporter(const HttpClient* client, HttpConnectionId connection, std::int64_t startedUnixMs)
{
    if (startedUnixMs < reportersStartMs_)
        return;
    // Connections are closed and opened again; the bound only has to exceed the idle ones.
    if (startedUnixMs > reportersStartMs_ || reporters_.size() >= maxReporters)
        reporters_.clear();
    reportersStartMs_ = startedUnixMs;
    reporters_.insert({ client, connection });
}

void UpstreamSession::sendRepeatedly(Encoder encode, AnswerHandler handle)
{
    const auto self = shared_from_this();
    const auto begunAt = monotonicNow();
    const auto copies = std::make_shared<SentCopies>();
    const auto sendCopy
        = [self, copies, encode = std::move(encode)](std::size_t copy, TimePoint deadline, const HttpCallback& done) {
              if (self->closed_)
                  return false;
              const auto now = monotonicNow();
              if (copy > 0) {
                  self->context_.metrics.add("balsammill_upstream_repeats_total");
                  self->doubt(now);
                  if (self->closed_)
                      return false;
                  if (copies->grant)
                      self->tokens_.raise();
              }
              SentRequest sent {
                  .token = self->tokens_.current(), .sentAt = now, .copy = copy, .client = self->commandClient_.get()
              };
              const auto request = encode(sent);
              if (!request)
                  return false;
              copies->grant = copies->grant || sent.lease;
              copies->last = copy;
              self->commandClient_->send(*request, deadline,
                  [self, copies, sent, done](HttpResult result) {
                      if (self->closed_)
                          return;
                      if (result.response)
                          self->answerTimes_.record(monotonicNow() - sent.sentAt);
                      copies->answered = sent;
                      done(std::move(result));
                  },
                  { .on = sent.connection });
              return true;
          };
    RepeatedRequest::send(context_.loop,
        { .sendCopy = sendCopy, .interval = answerTimes_.repeatInterval(), .deadline = begunAt + answerTimeout },
        [self, copies, handle = std::move(handle)](const HttpResult& result) {
            const auto answer = self->classify(result, copies->answered, monotonicNow());
            if (self->closed_)
                return;
            // A later copy than the one that was answered may still be carried out.
            const bool copyInDoubt = answer == Answer::None ? !result.neverSent : copies->answered.copy < copies->last;
            if (copies->grant && copyInDoubt) {
                self->tokens_.raise();
                self->grantInDoubt_ = true;
            }
            copies->answered.repeated = copies->last > 0;
            handle(answer, result, copies->answered);
        });
}

void UpstreamSession::doubt(TimePoint now)
{
    engine_.setReachable(id_, false, now);
    checkWanted_ = true;
    advance(now);
}

void UpstreamSession::start(const Shards::StartTask& start)
{
    if (closed_)
        return;
    sendStart(start, false);
    advance(monotonicNow());
}

void UpstreamSession::sendStart(const Shards::StartTask& start, bool mayHaveRun)
{
    sendRepeatedly(
        [this, start](SentRequest& sent) -> std::optional<HttpRequest> {
            if (sent.copy > 0 && !maySendAgain(start, sent.sentAt))
                return std::nullopt;
            sent.lease = grantLease(sent.sentAt, permittedStartLease(sent.sentAt));
            return Platform::encodeStart(start, sent.lease->until, sent.token);
        },
        [this, start, mayHaveRun](Answer answer, const HttpResult& result, const SentRequest& sent) {
            const auto now = monotonicNow();
            const bool anotherMayHaveRun = mayHaveRun || sent.repeated;
            if (answer == Answer::Superseded) {
                if (maySendAgain(start, now))
                    sendStart(start, anotherMayHaveRun);
                else
                    resolveByReport(start, now);
            } else if (answer == Answer::Usable) {
                handleStartAnswer(start, *result.response, sent, anotherMayHaveRun, now);
            } else if (result.neverSent && !mayHaveRun) {
                context_.metrics.add("balsammill_starts_total", R"(outcome="unreachable")");
                engine_.handleStartRefused(id_, start.task, start.run, Shards::StartRefusal::Unhealthy, now);
                handlers_.schedulingNeeded();
            } else {
                context_.metrics.add("balsammill_starts_total", R"(outcome="unanswered")");
                resolveByReport(start, now);
            }
        });
}

Duration UpstreamSession::permittedStartLease(TimePoint now) const
{
    return permittedLease(now, std::min(startLease, context_.settings.maxLease));
}

bool UpstreamSession::maySendAgain(const Shards::StartTask& start, TimePoint now) const
{
    return engine_.awaitsStart(id_, start.task, start.run) && permittedStartLease(now) >= Shards::minStartLease;
}

void UpstreamSession::resolveByReport(const Shards::StartTask& start, TimePoint now)
{
    startsInDoubt_.push_back({ .task = start.task, .run = start.run, .resolvedFrom = tokens_.raise() });
    doubt(now);
}

void UpstreamSession::handleStartAnswer(const Shards::StartTask& start, const HttpResponse& response,
    const SentRequest& sent, bool mayHaveRun, TimePoint now)
{
    try {
        if (Platform::isOtherIncarnation(response)) {
            engine_.handleLeaseExpired(id_, now);
            handlers_.schedulingNeeded();
            return;
        }
        const auto answer = Platform::parseStartAnswer(response);
        if (const auto* refusal = std::get_if<Shards::StartRefusal>(&answer)) {
            context_.metrics.add("balsammill_starts_total", R"(outcome="refused")");
            context_.log.event("task.start_refused",
                { { "id", start.task.job.value }, { "upstream", id_.value },
                    { "status", std::uint64_t { response.status } }, { "body", response.body } });
            // Another copy may have started the run, which may even have ended already.
            if (mayHaveRun) {
                resolveByReport(start, now);
                return;
            }
            engine_.handleStartRefused(id_, start.task, start.run, *refusal, now);
            handlers_.schedulingNeeded();
        } else {
            context_.metrics.add("balsammill_starts_total", R"(outcome="started")");
            leases_.confirm(*sent.lease);
            engine_.handleStarted(id_, start.task, start.run, now);
        }
    } catch (const Platform::FormatError& error) {
        context_.log.event("upstream.bad_answer", { { "upstream", id_.value }, { "reason", error.what() } });
        resolveByReport(start, now);
    }
}

void UpstreamSession::stop(const Shards::StopTask& stop)
{
    if (closed_)
        return;
    context_.metrics.add("balsammill_stops_total");
    sendRepeatedly([stop](SentRequest& sent) { return Platform::encodeStop(stop, sent.token); },
        [this, stop](Answer answer, const HttpResult& result, const SentRequest&) {
            const auto now = monotonicNow();
            const bool executed = answer == Answer::Usable && !Platform::hadNoEffect(*result.response);
            const bool needed = !leases_.hasExpired(now) && engine_.isBusy(id_);
            if (executed || !needed)
                advance(now);
            else if (answer == Answer::Superseded)
                this->stop(stop);
            else
                runAfter(initialRetryDelay, [this, stop] { this->stop(stop); });
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

void UpstreamSession::handleReportFailure(TimePoint now, const std::string& reason)
{
    retryDelay_ = std::clamp(retryDelay_ * 2, initialRetryDelay, maxRetryDelay);
    checkRetryAt_ = now + retryDelay_;
    engine_.setReachable(id_, false, now);
    if (!failing_) {
        failing_ = true;
        context_.log.event("upstream.unreachable", { { "upstream", id_.value }, { "reason", reason } });
    }
}

std::optional<HttpRequest> UpstreamSession::encodeCheck(SentRequest& sent)
{
    sent.afterExpiry = leases_.hasUnreportedExpiry(sent.sentAt);
    acknowledgeEnds(sent, *commandClient_);
    // An upstream that does not answer gets no leases, so that its runs are over within a known time. At most one grant
    // is without an answer at a time: copies, which have raised tokens, only keep it from being carried out late.
    const bool mayGrant = confirmed_ && !failing_ && !sent.afterExpiry && sent.copy == 0 && !grantInDoubt_
        && leases_.isRenewalDue(sent.sentAt);
    if (mayGrant && engine_.needsLease(id_, sent.sentAt)) {
        const auto length = permittedLease(sent.sentAt, context_.settings.maxLease);
        if (length > Duration::zero())
            sent.lease = grantLease(sent.sentAt, length);
    }
    context_.metrics.add("balsammill_upstream_reports_total");
    const auto until = sent.lease ? std::optional(sent.lease->until) : std::nullopt;
    return Platform::encodeReportRequest(id_, until, sent.token, sent.acknowledgedEnd, Duration::zero());
}

void UpstreamSession::requestCheck()
{
    checkOutstanding_ = true;
    sendRepeatedly([this](SentRequest& sent) { return encodeCheck(sent); },
        [this](Answer answer, const HttpResult& result, const SentRequest& sent) {
            checkOutstanding_ = false;
            const auto now = monotonicNow();
            if (answer == Answer::Usable) {
                handleReport(result, sent);
                return;
            }
            if (answer == Answer::None)
                handleReportFailure(now, result.error);
            else
                checkWanted_ = true;
            advance(now);
        });
}

void UpstreamSession::requestPoll(TimePoint now, bool wait)
{
    pollOutstanding_ = true;
    pollSentAt_ = now;
    const auto waitFor = wait ? reportPollTime : Duration::zero();
    SentRequest sent { .token = tokens_.current(), .sentAt = now, .client = pollClient_.get() };
    acknowledgeEnds(sent, *pollClient_);
    const auto request = Platform::encodeReportRequest(id_, std::nullopt, sent.token, sent.acknowledgedEnd, waitFor);
    context_.metrics.add("balsammill_upstream_reports_total");
    pollClient_->send(request, now + waitFor + answerTimeout,
        [self = shared_from_this(), sent, poll = ++lastPoll_](const HttpResult& result) {
            if (self->closed_)
                return;
            const auto answeredAt = monotonicNow();
            const auto answer = self->classify(result, sent, answeredAt);
            if (self->closed_)
                return;
            if (poll == self->lastPoll_)
                self->pollOutstanding_ = false;
            if (answer == Answer::Usable) {
                self->handleReport(result, sent);
            } else {
                if (answer == Answer::None && poll == self->lastPoll_)
                    self->checkWanted_ = true;
                self->advance(answeredAt);
            }
        },
        { .on = sent.connection });
}

void UpstreamSession::logExpiry(TimePoint now, std::size_t stillRunning)
{
    const auto msSince = [now](TimePoint time) { return static_cast<std::int64_t>(toMs(now - time)); };
    context_.metrics.add("balsammill_leases_expired_total");
    context_.log.event("upstream.lease_expired",
        { { "upstream", id_.value }, { "fence", tokens_.epoch().value }, { "since_report_ms", msSince(reportedAt_) },
            { "since_clock_read_ms", msSince(leases_.clockReadAt()) }, { "over_for_ms", msSince(leases_.expiresAt()) },
            { "still_running", std::uint64_t { stillRunning } } });
}

bool UpstreamSession::isOutdated(const HttpResponse& response, const Shards::UpstreamReport& report)
{
    const auto clock = Platform::parseClock(response);
    if (!clock)
        return false;
    if (report.startedUnixMs != reportedStartMs_) {
        // The engine ignores reports of an earlier incarnation.
        if (report.startedUnixMs > reportedStartMs_) {
            reportedStartMs_ = report.startedUnixMs;
            reportedClock_ = *clock;
            leases_.forgetConfirmed();
        }
        return false;
    }
    if (*clock < reportedClock_)
        return true;
    reportedClock_ = *clock;
    return false;
}

void UpstreamSession::noteAcknowledgement(const Shards::UpstreamReport& report, TimePoint now)
{
    const auto firstListed = report.ended.empty() ? 0 : report.ended.front().sequence;
    if (report.ended.empty() || firstListed != firstListedEnd_) {
        firstListedEnd_ = firstListed;
        acknowledgementLateAt_ = now + lateAcknowledgement;
        return;
    }
    if (now < acknowledgementLateAt_)
        return;
    acknowledgementLateAt_ = now + lateAcknowledgement;
    const auto state = engine_.endsState(id_);
    context_.metrics.add("balsammill_late_acknowledgements_total");
    context_.log.event("upstream.acknowledgement_late",
        { { "upstream", id_.value }, { "listed_ends", std::uint64_t { report.ended.size() } },
            { "first_end", firstListed }, { "handled_end", state.handled }, { "acknowledged_end", acknowledgedEnd_ },
            { "unrecorded_ends", std::uint64_t { state.unrecorded } },
            { "oldest_unrecorded", state.oldestJob.job.value }, { "mark", state.oldestMark.value } });
}

void UpstreamSession::resolveStarts(const Shards::UpstreamReport& report, Shards::FencingToken token, TimePoint now)
{
    std::erase_if(startsInDoubt_, [&](const StartInDoubt& start) {
        if (token < start.resolvedFrom)
            return false;
        const bool running = std::any_of(report.running.begin(), report.running.end(),
            [&](const auto& each) { return each.task == start.task && each.run == start.run; });
        if (!running)
            engine_.handleUnlistedStart(id_, start.task, start.run, now);
        return true;
    });
}

void UpstreamSession::handleReport(const HttpResult& result, const SentRequest& sent)
{
    const auto& response = *result.response;
    const auto now = monotonicNow();
    if (response.status != 200) {
        if (Platform::isOtherIncarnation(response)) {
            engine_.handleLeaseExpired(id_, now);
            handlers_.schedulingNeeded();
        }
        if (!closed_)
            handleReportFailure(now, "status " + std::to_string(response.status));
        return;
    }
    acknowledgedEnd_ = sent.acknowledgedEnd;
    acknowledgementWithheld_ = sent.acknowledgedEnd == 0 && engine_.lastEndToAcknowledge(id_) > 0;
    // Keeps checks apart if the upstream closes each connection, so that no end can be acknowledged.
    if (acknowledgementWithheld_ && idleSince_ != TimePoint {})
        idleSince_ = now;
    if (sent.lease)
        leases_.confirm(*sent.lease);
    try {
        const auto report = Platform::parseReport(response);
        noteReporter(sent.client, result.connection, report.startedUnixMs);
        if (failing_)
            context_.log.event("upstream.reachable", { { "upstream", id_.value } });
        failing_ = false;
        checkWanted_ = false;
        retryDelay_ = Duration::zero();
        confirmed_ = true;
        reportedAt_ = now;
        if (isOutdated(response, report)) {
            engine_.setReachable(id_, true, now);
        } else {
            noteAcknowledgement(report, now);
            // An end that the poll should have reported shows that the poll is lost.
            if (!report.ended.empty() && pollSentAt_ + answerTimes_.repeatInterval() < sent.sentAt)
                pollOutstanding_ = false;
            // A long-polled report shows the state at the time of its answer, so a complete one is conclusive for all
            // runs confirmed before the request was sent.
            const bool handled = engine_.handleReport(id_, report, sent.sentAt, now);
            if (!report.complete && sent.client == commandClient_.get())
                checkRetryAt_ = now + incompleteReportInterval;
            if (report.complete && (handled || sent.afterExpiry))
                resolveStarts(report, sent.token, now);
            if (report.complete && sent.afterExpiry) {
                leases_.reportExpiry(now);
                logExpiry(now, report.running.size());
                engine_.handleLeaseExpired(id_, report, sent.sentAt, now);
            }
        }
        // Runs of an earlier owner end with the leases that it granted, also if this owner never grants one.
        if (const auto endsBy = leases_.inherit(now); endsBy != TimePoint {})
            engine_.noteLease(id_, endsBy);
    } catch (const Platform::FormatError& error) {
        context_.log.event("upstream.bad_answer", { { "upstream", id_.value }, { "reason", error.what() } });
        handleReportFailure(now, error.what());
        return;
    }
    handlers_.schedulingNeeded();
    if (closed_)
        return;
    if (!engine_.isConfirmed(id_)) {
        checkRetryAt_ = now + context_.settings.stopGrace + stopMargin;
        runAfter(
            context_.settings.stopGrace + stopMargin, [self = shared_from_this()] { self->advance(monotonicNow()); });
        return;
    }
    advance(monotonicNow());
}

void UpstreamSession::handleExpiry(TimePoint now)
{
    leases_.reportExpiry(now);
    startsInDoubt_.clear();
    logExpiry(now, 0);
    engine_.handleLeaseExpired(id_, now);
    handlers_.schedulingNeeded();
}

bool UpstreamSession::isCheckDue(TimePoint now, bool busy) const
{
    if (checkOutstanding_ || now < checkRetryAt_)
        return false;
    if (!confirmed_ || failing_ || checkWanted_ || grantInDoubt_ || !startsInDoubt_.empty()
        || !engine_.isConfirmed(id_))
        return true;
    if (!busy)
        return engine_.lastEndToAcknowledge(id_) != acknowledgedEnd_ && now - idleSince_ >= idleAcknowledgeDelay;
    // After an expiry, a grant that was carried out late may have kept the runs alive, so a report decides.
    if (leases_.hasUnreportedExpiry(now) || engine_.needsReport(id_, now))
        return true;
    return leases_.isRenewalDue(now) && engine_.needsLease(id_, now)
        && permittedLease(now, context_.settings.maxLease) > Duration::zero();
}

bool UpstreamSession::isPollDue(TimePoint now, bool busy)
{
    if (!busy || pollOutstanding_ || !confirmed_ || failing_ || checkWanted_ || !engine_.isConfirmed(id_))
        return false;
    // The upstream answers at once while it lists an unacknowledged finished run, so polls are spaced out until all can
    // be acknowledged.
    if ((!engine_.hasUnrecordedEnds(id_) && !acknowledgementWithheld_) || now - reportedAt_ >= unrecordedEndsInterval)
        return true;
    if (!std::exchange(pollTimerArmed_, true))
        runAfter(unrecordedEndsInterval, [this] {
            pollTimerArmed_ = false;
            advance(monotonicNow());
        });
    return false;
}

void UpstreamSession::advance(TimePoint now)
{
    if (closed_)
        return;
    const bool busy = engine_.isBusy(id_);
    if (busy && leases_.hasUnreportedExpiry(now) && (!confirmed_ || failing_)) {
        handleExpiry(now);
        return;
    }
    if (busy)
        idleSince_ = TimePoint {};
    else if (idleSince_ == TimePoint {})
        idleSince_ = now;
    if (isCheckDue(now, busy))
        requestCheck();
    if (!closed_ && isPollDue(now, busy))
        requestPoll(now, !engine_.hasUnrecordedEnds(id_));
}

} // namespace Balsammill
