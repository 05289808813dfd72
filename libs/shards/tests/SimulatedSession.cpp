#include "SimulatedSession.h"

#include "EngineFixture.h"

#include "balsammill/shards/LeaseTimes.h"

#include <algorithm>
#include <utility>

namespace Balsammill::Shards::Testing {

namespace {

// As in UpstreamSession.cpp and TimeBudgets.h.
constexpr int reportPollTime = 1'000;
constexpr int answerTimeout = 200;
constexpr int repeatInterval = 50;
constexpr int minRenewalInterval = 50;
constexpr int startLease = 600;
constexpr double minClockRate = 0.98;
constexpr int stopMargin = 10;
constexpr int initialRetryDelay = 50;
constexpr int maxRetryDelay = 400;
constexpr int incompleteReportInterval = 50;

int toMs(Duration duration)
{
    return static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace

SimulatedSession::SimulatedSession(
    SimulatedProcess& process, ShardEngine& engine, int upstream, std::uint64_t epoch, Handlers handlers)
    : process_(process)
    , engine_(engine)
    , upstream_(upstream)
    , id_(SimulatedWorld::upstreamId(upstream))
    , tokens_(Epoch(epoch))
    , handlers_(std::move(handlers))
{
}

SimulatedSession::Answer SimulatedSession::classify(const UpstreamResponse* response, const SentRequest& sent)
{
    if (response == nullptr)
        return Answer::None;
    clock_ = response->clock;
    clockReadAt_ = process_.now();
    if (response->fenced) {
        if (sent.token < tokens_.current())
            return Answer::Superseded;
        closed_ = true;
        handlers_.fenced();
        return Answer::None;
    }
    if (sent.token == tokens_.current())
        grantInDoubt_ = false;
    return Answer::Usable;
}

void SimulatedSession::sendRepeatedly(const Encoder& encode, const AnswerHandler& handle)
{
    sendCopy(0, process_.now() + answerTimeout, std::make_shared<SentCopies>(), encode, handle);
}

void SimulatedSession::sendCopy(int copy, int deadline, const std::shared_ptr<SentCopies>& copies,
    const Encoder& encode, const AnswerHandler& handle)
{
    if (closed_ || copies->finished)
        return;
    if (copy > 0) {
        doubt();
        if (closed_ || copies->finished)
            return;
        if (copies->grant && process_.world.limitsLateGrants)
            tokens_.raise();
    }
    SentRequest sent { .token = tokens_.current(), .sentAt = process_.now(), .copy = copy };
    const auto request = encode(sent);
    if (!request)
        return;
    copies->grant = copies->grant || sent.renewAt;
    copies->last = copy;
    ++copies->outstanding;
    const auto open = std::make_shared<bool>(true);
    const auto finish = [self = shared_from_this(), open, copies, sent, handle](const UpstreamResponse* response) {
        if (!std::exchange(*open, false))
            return;
        --copies->outstanding;
        if (self->closed_ || copies->finished || (response == nullptr && copies->outstanding > 0))
            return;
        copies->finished = true;
        const auto answer = self->classify(response, sent);
        if (self->closed_)
            return;
        const bool copyInDoubt = answer == Answer::None || sent.copy < copies->last;
        if (copies->grant && copyInDoubt && self->process_.world.limitsLateGrants) {
            self->tokens_.raise();
            self->grantInDoubt_ = true;
        }
        auto answered = sent;
        answered.repeated = copies->last > 0;
        handle(answer, response, answered);
    };
    process_.runAfter(deadline - process_.now(), [finish] { finish(nullptr); });
    process_.world.call(upstream_, sent.token.value, *request, process_.inbox,
        [finish](const UpstreamResponse& response) { finish(&response); });
    if (process_.now() + repeatInterval < deadline)
        runAfter(repeatInterval,
            [this, copy, deadline, copies, encode, handle] { sendCopy(copy + 1, deadline, copies, encode, handle); });
}

void SimulatedSession::doubt()
{
    engine_.setReachable(id_, false, at(process_.now()));
    checkWanted_ = true;
    advance();
}

void SimulatedSession::runAfter(int delay, std::function<void()> action)
{
    process_.runAfter(delay, [self = shared_from_this(), action = std::move(action)] {
        if (!self->closed_)
            action();
    });
}

int SimulatedSession::permittedLease(int wanted) const
{
    const auto limit = engine_.leaseLimit(id_);
    if (process_.world.confirmation != Confirmation::On || limit == TimePoint::max())
        return wanted;
    const auto now = at(process_.now());
    if (limit <= now)
        return 0;
    const auto left = toMs(limit - now);
    if (left >= SimulatedWorld::maxLeaseMs / minClockRate)
        return wanted;
    const auto onSlowestClock = minClockRate * left - (1 - minClockRate) * (process_.now() - clockReadAt_);
    return std::min(wanted, static_cast<int>(onSlowestClock));
}

int SimulatedSession::longestLease(int granted) const
{
    const auto byEstimate = granted + (1 - minClockRate) * (process_.now() - clockReadAt_);
    return static_cast<int>(std::min<double>(byEstimate, SimulatedWorld::maxLeaseMs) / minClockRate) + 1;
}

std::int64_t SimulatedSession::grantLease(int length, SentRequest& sent)
{
    leaseExpiresAt_ = std::max(leaseExpiresAt_, process_.now() + maxLeaseLifetimeMs);
    expiryReported_ = false;
    engine_.noteLease(id_, at(process_.now() + longestLease(length)));
    sent.renewAt = process_.now() + std::max(length / 2, minRenewalInterval);
    return clock_ + process_.now() - clockReadAt_ + length;
}

void SimulatedSession::start(const StartTask& start)
{
    if (closed_)
        return;
    sendStart(start, false);
    advance();
}

void SimulatedSession::sendStart(const StartTask& start, bool mayHaveRun)
{
    sendRepeatedly(
        [this, start](SentRequest& sent) -> std::optional<UpstreamRequest> {
            if (sent.copy > 0 && !maySendAgain(start))
                return std::nullopt;
            return StartRequest { .start = start, .deadline = grantLease(permittedLease(startLease), sent) };
        },
        [this, start, mayHaveRun](Answer answer, const UpstreamResponse* response, const SentRequest& sent) {
            const bool anotherMayHaveRun = mayHaveRun || sent.repeated;
            if (answer == Answer::Superseded && maySendAgain(start)) {
                sendStart(start, anotherMayHaveRun);
            } else if (answer != Answer::Usable || (response->refusal && anotherMayHaveRun)) {
                resolveByReport(start);
            } else if (response->refusal) {
                engine_.handleStartRefused(id_, start.task, start.run, *response->refusal, at(process_.now()));
                handlers_.schedulingNeeded();
            } else {
                renewAt_ = std::max(renewAt_, *sent.renewAt);
                engine_.handleStarted(id_, start.task, start.run, at(process_.now()));
            }
        });
}

bool SimulatedSession::maySendAgain(const StartTask& start) const
{
    return engine_.awaitsStart(id_, start.task, start.run) && permittedLease(startLease) >= toMs(minStartLease);
}

void SimulatedSession::resolveByReport(const StartTask& start)
{
    startsInDoubt_.push_back({ .task = start.task, .run = start.run, .resolvedFrom = tokens_.raise() });
    doubt();
}

void SimulatedSession::stop(const StopTask& stopTask)
{
    if (closed_)
        return;
    sendRepeatedly([stopTask](SentRequest&) { return StopRequest { .stop = stopTask }; },
        [this, stopTask](Answer answer, const UpstreamResponse* response, const SentRequest&) {
            const bool needed = !leaseExpired() && engine_.isBusy(id_);
            if ((answer == Answer::Usable && !response->hadNoEffect) || !needed)
                advance();
            else if (answer == Answer::Superseded)
                stop(stopTask);
            else
                runAfter(initialRetryDelay, [this, stopTask] { stop(stopTask); });
        });
}

void SimulatedSession::handleReportFailure()
{
    retryDelay_ = std::clamp(retryDelay_ * 2, initialRetryDelay, maxRetryDelay);
    checkRetryAt_ = process_.now() + retryDelay_;
    engine_.setReachable(id_, false, at(process_.now()));
    failing_ = true;
}

bool SimulatedSession::isRenewalDue() const
{
    return process_.now() >= renewAt_ && engine_.needsLease(id_, at(process_.now()))
        && permittedLease(SimulatedWorld::maxLeaseMs) > 0;
}

void SimulatedSession::requestCheck()
{
    checkOutstanding_ = true;
    sendRepeatedly(
        [this](SentRequest& sent) {
            ReportRequest request { .deadline = {}, .lastSeen = engine_.lastEndToAcknowledge(id_), .waitMs = 0 };
            sent.afterExpiry = hasUnreportedExpiry();
            const bool othersUnanswered = process_.world.limitsLateGrants && (sent.copy > 0 || grantInDoubt_);
            if (confirmed_ && !failing_ && !sent.afterExpiry && !othersUnanswered && isRenewalDue())
                request.deadline = grantLease(permittedLease(SimulatedWorld::maxLeaseMs), sent);
            return request;
        },
        [this](Answer answer, const UpstreamResponse* response, const SentRequest& sent) {
            checkOutstanding_ = false;
            if (answer == Answer::Usable) {
                if (!response->report.complete)
                    checkRetryAt_ = process_.now() + incompleteReportInterval;
                handleReport(*response, sent);
                return;
            }
            if (answer == Answer::None)
                handleReportFailure();
            else
                checkWanted_ = true;
            advance();
        });
}

void SimulatedSession::requestPoll()
{
    pollOutstanding_ = true;
    pollSentAt_ = process_.now();
    const SentRequest sent { .token = tokens_.current(), .sentAt = process_.now() };
    const ReportRequest request {
        .deadline = {}, .lastSeen = engine_.lastEndToAcknowledge(id_), .waitMs = reportPollTime
    };
    const auto open = std::make_shared<bool>(true);
    const auto finish = [self = shared_from_this(), open, sent, poll = ++lastPoll_](const UpstreamResponse* response) {
        if (!std::exchange(*open, false) || self->closed_)
            return;
        const auto answer = self->classify(response, sent);
        if (self->closed_)
            return;
        if (poll == self->lastPoll_)
            self->pollOutstanding_ = false;
        if (answer == Answer::Usable) {
            self->handleReport(*response, sent);
            return;
        }
        if (answer == Answer::None && poll == self->lastPoll_)
            self->checkWanted_ = true;
        self->advance();
    };
    process_.runAfter(reportPollTime + answerTimeout, [finish] { finish(nullptr); });
    process_.world.call(upstream_, sent.token.value, request, process_.inbox,
        [finish](const UpstreamResponse& response) { finish(&response); });
}

void SimulatedSession::handleReport(const UpstreamResponse& response, const SentRequest& sent)
{
    const auto now = at(process_.now());
    if (sent.renewAt)
        renewAt_ = std::max(renewAt_, *sent.renewAt);
    failing_ = false;
    checkWanted_ = false;
    retryDelay_ = 0;
    confirmed_ = true;
    if (response.clock < reportedClock_) {
        engine_.setReachable(id_, true, now);
    } else {
        reportedClock_ = response.clock;
        if (!response.report.ended.empty() && pollSentAt_ + repeatInterval < sent.sentAt)
            pollOutstanding_ = false;
        engine_.handleReport(id_, response.report, at(sent.sentAt), now);
        std::erase_if(startsInDoubt_, [&](const StartInDoubt& start) {
            if (!response.report.complete || sent.token < start.resolvedFrom)
                return false;
            const auto& running = response.report.running;
            if (std::none_of(running.begin(), running.end(),
                    [&](const auto& each) { return each.task == start.task && each.run == start.run; }))
                engine_.handleUnlistedStart(id_, start.task, start.run, now);
            return true;
        });
        if (response.report.complete && sent.afterExpiry) {
            expiryReported_ = leaseExpired();
            engine_.handleLeaseExpired(id_, response.report, at(sent.sentAt), now);
        }
    }
    if (leaseExpiresAt_ == 0) {
        leaseExpiresAt_ = process_.now() + maxLeaseLifetimeMs;
        expiryReported_ = false;
        engine_.noteLease(id_, at(process_.now() + longestLease(SimulatedWorld::maxLeaseMs)));
    }
    handlers_.schedulingNeeded();
    if (closed_)
        return;
    if (!engine_.isConfirmed(id_)) {
        checkRetryAt_ = process_.now() + SimulatedWorld::stopGraceMs + stopMargin;
        runAfter(SimulatedWorld::stopGraceMs + stopMargin, [this] { advance(); });
        return;
    }
    advance();
}

bool SimulatedSession::isCheckDue() const
{
    const auto now = process_.now();
    if (checkOutstanding_ || now < checkRetryAt_)
        return false;
    if (!confirmed_ || failing_ || checkWanted_ || grantInDoubt_ || !startsInDoubt_.empty()
        || !engine_.isConfirmed(id_))
        return true;
    return engine_.isBusy(id_) && (hasUnreportedExpiry() || engine_.needsReport(id_, at(now)) || isRenewalDue());
}

void SimulatedSession::advance()
{
    if (closed_)
        return;
    const bool busy = engine_.isBusy(id_);
    if (busy && hasUnreportedExpiry() && (!confirmed_ || failing_)) {
        expiryReported_ = true;
        startsInDoubt_.clear();
        engine_.handleLeaseExpired(id_, at(process_.now()));
        handlers_.schedulingNeeded();
        return;
    }
    if (isCheckDue())
        requestCheck();
    if (!closed_ && busy && !pollOutstanding_ && confirmed_ && !failing_ && !checkWanted_ && engine_.isConfirmed(id_))
        requestPoll();
}

} // namespace Balsammill::Shards::Testing
