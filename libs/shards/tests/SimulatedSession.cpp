#include "SimulatedSession.h"

#include "EngineFixture.h"

#include <algorithm>
#include <utility>

namespace Balsammill::Shards::Testing {

namespace {

// As in UpstreamSession.cpp.
constexpr int reportPollTime = 400;
constexpr int shortestPollTime = 50;
constexpr int answerTimeout = 200;
constexpr int startLease = 600;
constexpr double minClockRate = 0.98;
constexpr int stopMargin = 10;
constexpr int initialRetryDelay = 50;
constexpr int maxRetryDelay = 400;

} // namespace

SimulatedSession::SimulatedSession(
    SimulatedProcess& process, ShardEngine& engine, int upstream, std::uint64_t fence, Handlers handlers)
    : process_(process)
    , engine_(engine)
    , upstream_(upstream)
    , id_(SimulatedWorld::upstreamId(upstream))
    , fence_(fence)
    , handlers_(std::move(handlers))
{
}

void SimulatedSession::send(const UpstreamRequest& request, int timeout, Callback callback)
{
    const auto open = std::make_shared<bool>(true);
    const auto finish
        = [self = shared_from_this(), open, callback = std::move(callback)](const UpstreamResponse* response) {
              if (!std::exchange(*open, false) || self->closed_)
                  return;
              if (response != nullptr) {
                  self->clock_ = response->clock;
                  self->clockReadAt_ = self->process_.now();
                  if (response->fenced) {
                      self->closed_ = true;
                      self->handlers_.fenced();
                      return;
                  }
              }
              callback(response);
          };
    process_.runAfter(timeout, [finish] { finish(nullptr); });
    process_.world.call(
        upstream_, fence_, request, process_.inbox, [finish](const UpstreamResponse& response) { finish(&response); });
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
    const auto left = static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(limit - now).count());
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

std::int64_t SimulatedSession::grantLease(int length)
{
    leaseExpiresAt_ = std::max(leaseExpiresAt_, process_.now() + maxLeaseLifetimeMs);
    expiryReported_ = false;
    engine_.noteLease(id_, at(process_.now() + longestLease(length)));
    return clock_ + process_.now() - clockReadAt_ + length;
}

void SimulatedSession::start(const StartTask& start)
{
    if (closed_)
        return;
    const StartRequest request { .start = start, .deadline = grantLease(permittedLease(startLease)) };
    send(request, answerTimeout, [this, start](const UpstreamResponse* response) {
        if (response == nullptr) {
            resolveStart(start, 0);
        } else if (response->refusal) {
            engine_.handleStartRefused(id_, start.task, start.run, *response->refusal, at(process_.now()));
            handlers_.schedulingNeeded();
        } else {
            engine_.handleStarted(id_, start.task, start.run, at(process_.now()));
        }
    });
    advance();
}

void SimulatedSession::resolveStart(const StartTask& start, int attempt)
{
    findRunInReport(start, attempt, [this, start, attempt](bool running, bool ended) {
        handlers_.schedulingNeeded();
        if (!running && !ended && !closed_)
            resolveByStop(start, attempt);
    });
}

void SimulatedSession::findRunInReport(
    const StartTask& start, int attempt, const std::function<void(bool running, bool ended)>& callback)
{
    const auto sentAt = process_.now();
    const ReportRequest request { .deadline = {}, .lastSeen = engine_.lastEndToAcknowledge(id_), .waitMs = 0 };
    send(request, answerTimeout, [this, start, attempt, sentAt, callback](const UpstreamResponse* response) {
        if (response == nullptr) {
            retryResolve(start, attempt);
            return;
        }
        engine_.handleReport(id_, response->report, at(sentAt), at(process_.now()));
        const auto isRun = [&](const auto& each) { return each.task == start.task && each.run == start.run; };
        const auto& report = response->report;
        callback(std::any_of(report.running.begin(), report.running.end(), isRun),
            std::any_of(report.ended.begin(), report.ended.end(), isRun));
    });
}

void SimulatedSession::resolveByStop(const StartTask& start, int attempt)
{
    engine_.handleStopSent(id_, start.task, start.run, at(process_.now()));
    const StopRequest request { .stop = { .upstream = id_, .task = start.task, .run = start.run } };
    send(request, answerTimeout, [this, start, attempt](const UpstreamResponse* response) {
        if (response == nullptr || response->hadNoEffect) {
            retryResolve(start, attempt);
            return;
        }
        runAfter(SimulatedWorld::stopGraceMs + stopMargin, [this, start, attempt] {
            findRunInReport(start, attempt, [this, start, attempt](bool running, bool) {
                if (running)
                    retryResolve(start, attempt);
                else
                    engine_.handleNeverStarted(id_, start.task, start.run, at(process_.now()));
                handlers_.schedulingNeeded();
            });
        });
    });
}

void SimulatedSession::retryResolve(const StartTask& start, int attempt)
{
    if (expiryReported_ && leaseExpired())
        return;
    runAfter(std::min(initialRetryDelay * (1 << std::min(attempt, 3)), maxRetryDelay),
        [this, start, attempt] { resolveStart(start, attempt + 1); });
}

void SimulatedSession::stop(const StopTask& stopTask)
{
    if (closed_)
        return;
    send(StopRequest { .stop = stopTask }, answerTimeout, [this, stopTask](const UpstreamResponse* response) {
        const bool needed = !leaseExpired() && engine_.isBusy(id_);
        if ((response != nullptr && !response->hadNoEffect) || !needed)
            advance();
        else if (response != nullptr)
            runAfter(initialRetryDelay, [this, stopTask] { stop(stopTask); });
        else
            stop(stopTask);
    });
}

void SimulatedSession::handleReportFailure()
{
    retryDelay_ = std::clamp(retryDelay_ * 2, initialRetryDelay, maxRetryDelay);
    reportRetryAt_ = process_.now() + retryDelay_;
    engine_.setReachable(id_, false, at(process_.now()));
    failing_ = true;
}

void SimulatedSession::requestReport(bool wait)
{
    reportOutstanding_ = true;
    const auto sentAt = process_.now();
    ReportRequest request {
        .deadline = {}, .lastSeen = engine_.lastEndToAcknowledge(id_), .waitMs = wait ? reportPollTime : 0
    };
    const bool afterExpiry = hasUnreportedExpiry();
    if (confirmed_ && !afterExpiry && engine_.needsLease(id_, at(sentAt))) {
        const auto length = permittedLease(SimulatedWorld::maxLeaseMs);
        request.waitMs = std::min(request.waitMs, std::max(length / 2, shortestPollTime));
        if (length > 0)
            request.deadline = grantLease(length);
    }
    send(request, request.waitMs + answerTimeout, [this, sentAt, afterExpiry](const UpstreamResponse* response) {
        reportOutstanding_ = false;
        if (response == nullptr) {
            handleReportFailure();
            advance();
            return;
        }
        failing_ = false;
        retryDelay_ = 0;
        confirmed_ = true;
        engine_.handleReport(id_, response->report, at(sentAt), at(process_.now()));
        if (leaseExpiresAt_ == 0) {
            leaseExpiresAt_ = process_.now() + maxLeaseLifetimeMs;
            expiryReported_ = false;
            engine_.noteLease(id_, at(process_.now() + longestLease(SimulatedWorld::maxLeaseMs)));
        }
        if (afterExpiry) {
            expiryReported_ = leaseExpired();
            engine_.handleLeaseExpired(id_, response->report, at(sentAt), at(process_.now()));
        }
        handlers_.schedulingNeeded();
        if (closed_)
            return;
        if (!engine_.isConfirmed(id_)) {
            reportRetryAt_ = process_.now() + SimulatedWorld::stopGraceMs + stopMargin;
            runAfter(SimulatedWorld::stopGraceMs + stopMargin, [this] { advance(); });
            return;
        }
        advance();
    });
}

void SimulatedSession::advance()
{
    if (closed_)
        return;
    const auto now = process_.now();
    const bool busy = engine_.isBusy(id_);
    if (busy && hasUnreportedExpiry() && (!confirmed_ || failing_)) {
        expiryReported_ = true;
        engine_.handleLeaseExpired(id_, at(now));
        handlers_.schedulingNeeded();
        return;
    }
    if (reportOutstanding_ || now < reportRetryAt_)
        return;
    if (!confirmed_ || failing_ || !engine_.isConfirmed(id_))
        requestReport(false);
    else if (busy)
        requestReport(!hasUnreportedExpiry());
}

} // namespace Balsammill::Shards::Testing
