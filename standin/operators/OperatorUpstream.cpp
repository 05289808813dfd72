#include "OperatorUpstream.h"

#include "AdviceService.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <chrono>

namespace Standin {

using Balsammill::HttpExchange;
using Balsammill::HttpRequest;

namespace {

constexpr std::int64_t maxLeaseMs = 1000;
// Ends beyond these are listed once these have been acknowledged.
constexpr std::size_t maxEndsPerReport = 500;

std::string replyBody(std::int64_t clockMs, const std::string& reason)
{
    auto body = "{\"clock_ms\":" + std::to_string(clockMs);
    if (!reason.empty())
        body += ",\"reason\":\"" + reason + "\"";
    return body + "}";
}

} // namespace

OperatorUpstream::OperatorUpstream(LoopThread& loop, RunRegistry& registry, const Options& options)
    : loop_(loop)
    , registry_(registry)
    , options_(options)
    , startTimeMs_(
          std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
              .count())
    , random_(std::hash<std::string> {}(options.id))
{
    loop_.run([this] {
        leaseTimer_ = std::make_unique<boost::asio::steady_timer>(loop_.context());
        server_ = std::make_unique<Balsammill::HttpServer>(loop_.context(), Balsammill::NetworkAddress("127.0.0.1:0"),
            [this](const HttpRequest& request, const std::shared_ptr<HttpExchange>& exchange) {
                handle(request, exchange);
            });
        address_ = server_->localAddress().value;
    });
}

OperatorUpstream::~OperatorUpstream()
{
    loop_.run([this] {
        for (auto& [task, run] : runs_)
            run.timer->cancel();
        leaseTimer_.reset();
        alive_.reset();
        waiters_.clear();
        server_.reset();
    });
}

std::string OperatorUpstream::registration(const std::string& state) const
{
    return "{\"service\":\"tanim\",\"address\":\"" + address_ + "\",\"zone\":\"" + options_.domain + "\",\"state\":\""
        + state + "\",\"capacity\":{\"cpu\":" + std::to_string(options_.milliCores)
        + ",\"memory_limit_mb\":131072},\"labels\":[\"a\",\"r1-1\"],\"born\":" + std::to_string(startTimeMs_) + "}";
}

void OperatorUpstream::dropNextAnswers(int starts)
{
    loop_.run([&] { answersToDrop_ = starts; });
}

void OperatorUpstream::delayStarts(int starts, int delayMs)
{
    loop_.run([&] {
        startsToDelay_ = starts;
        startDelayMs_ = delayMs;
    });
}

void OperatorUpstream::setRunMs(int runMs)
{
    loop_.run([&] { options_.runMs = runMs; });
}

void OperatorUpstream::setFailing(bool failing)
{
    loop_.run([&] { failing_ = failing; });
}

void OperatorUpstream::refuseStops(int stops)
{
    loop_.run([&] { stopsToRefuse_ = stops; });
}

void OperatorUpstream::delayStops(const LateRequests& stops)
{
    loop_.run([&] { lateStops_ = stops; });
}

void OperatorUpstream::delayGrants(const LateRequests& grants)
{
    loop_.run([&] { lateGrants_ = grants; });
}

void OperatorUpstream::dropNextReports(int reports)
{
    loop_.run([&] { reportsToDrop_ = reports; });
}

void OperatorUpstream::delayShareOfOrders(double share)
{
    loop_.run([&] { delayedShare_ = share; });
}

std::optional<std::chrono::milliseconds> OperatorUpstream::drawDelay()
{
    if (!std::bernoulli_distribution(delayedShare_)(random_))
        return std::nullopt;
    return std::chrono::milliseconds(std::uniform_int_distribution(2'000, 12'000)(random_));
}

int OperatorUpstream::activeRuns()
{
    return loop_.run([&] { return static_cast<int>(runs_.size()); });
}

std::size_t OperatorUpstream::unacknowledgedEnds()
{
    return loop_.run([&] { return endedRuns_.size(); });
}

int OperatorUpstream::starts()
{
    return loop_.run([&] { return starts_; });
}

void OperatorUpstream::ignoreCurrentOwner()
{
    loop_.run([&] { ignoredFencingToken_ = fencingToken_; });
}

std::int64_t OperatorUpstream::clockMs() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

void OperatorUpstream::extendLease(std::int64_t expiryMs)
{
    leaseExpiryMs_ = std::max(leaseExpiryMs_, std::min(expiryMs, clockMs() + maxLeaseMs));
    restartLeaseTimer();
}

void OperatorUpstream::restartLeaseTimer()
{
    leaseTimer_->expires_after(std::chrono::milliseconds(std::max<std::int64_t>(leaseExpiryMs_ - clockMs(), 0)));
    leaseTimer_->async_wait([this](const boost::system::error_code& error) {
        if (error || clockMs() < leaseExpiryMs_)
            return;
        const auto expiredRuns = runs_;
        for (const auto& [task, run] : expiredRuns)
            endRun(task, "lapsed");
    });
}

std::string OperatorUpstream::startRun(const std::string& text, std::chrono::milliseconds late)
{
    rapidjson::Document body;
    body.Parse(text.data(), text.size());
    const std::string task = body["task"].GetString();
    const auto number = body["run"].GetUint64();
    const auto fencingToken = body["fencing_token"].GetUint64();
    const auto deadline = body["deadline_ms"].GetInt64() + late.count();
    if (fencingToken < fencingToken_)
        return "fence";
    fencingToken_ = fencingToken;
    if (const auto found = runs_.find(task); found != runs_.end() && found->second.number == number)
        return {};
    if (number <= highestRun_[task])
        return "old";
    if (deadline < clockMs())
        return "late";
    const std::string ticket = body.HasMember("ticket") ? body["ticket"].GetString() : "";
    if (options_.requiresTickets && !AdviceService::accepts(ticket, task, options_.id))
        return "ticket";
    extendLease(deadline);
    // In the tests, the task specification is the number of millicores that the task uses, and the time in milliseconds
    // that it runs unless that is the upstream's: "2000" or "2000:600".
    const std::string spec = body["task_spec"].GetString();
    const int milliCores = std::stoi(spec);
    const auto colon = spec.find(':');
    const int runMs = colon == std::string::npos ? options_.runMs : std::stoi(spec.substr(colon + 1));
    int used = milliCores;
    for (const auto& [name, run] : runs_)
        used += run.milliCores;
    if (used > options_.milliCores)
        registry_.violations.push_back("capacity exceeded: " + options_.id + " runs " + std::to_string(used) + " of "
            + std::to_string(options_.milliCores));
    if (++registry_.running[task] > 1)
        registry_.violations.push_back("concurrent runs of one task: " + task);
    if (registry_.forbidRestartAfterCompletion && registry_.completed[task] > 0)
        registry_.violations.push_back("task started again after completion: " + task);
    // An older run of the task ends here, so that each task has one entry in runs_.
    endRun(task, "stopped");
    if (!registry_.startedRuns[task].insert(number).second)
        registry_.repeatedRuns.insert(task);
    ++starts_;
    ++registry_.starts;
    highestRun_[task] = number;
    auto timer = std::make_shared<boost::asio::steady_timer>(loop_.context());
    timer->expires_after(std::chrono::milliseconds(runMs));
    timer->async_wait([this, task](const boost::system::error_code& error) {
        if (!error)
            endRun(task, failing_ ? "failed" : "done");
    });
    runs_[task] = { .number = number, .milliCores = milliCores, .timer = timer };
    return {};
}

void OperatorUpstream::endRun(const std::string& task, const std::string& outcome)
{
    const auto found = runs_.find(task);
    if (found == runs_.end())
        return;
    found->second.timer->cancel();
    endedRuns_.push_back(
        { .sequence = ++lastSequence_, .task = task, .run = found->second.number, .outcome = outcome });
    --registry_.running[task];
    if (outcome == "done")
        ++registry_.completed[task];
    if (outcome == "failed")
        ++registry_.failedRuns[task];
    if (outcome == "lapsed")
        ++registry_.lapsed;
    runs_.erase(found);
    answerWaiters();
}

std::string OperatorUpstream::statusReport() const
{
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    writer.StartObject();
    writer.Key("clock_ms");
    writer.Int64(clockMs());
    writer.Key("born");
    writer.Int64(startTimeMs_);
    writer.Key("running");
    writer.StartArray();
    for (const auto& [task, run] : runs_) {
        writer.StartArray();
        writer.String(task.c_str());
        writer.Uint64(run.number);
        writer.String("");
        writer.Int(100);
        writer.EndArray();
    }
    writer.EndArray();
    writer.Key("ended");
    writer.StartArray();
    for (std::size_t i = 0; i < std::min(endedRuns_.size(), maxEndsPerReport); ++i) {
        const auto& each = endedRuns_[i];
        writer.StartArray();
        writer.Uint64(each.sequence);
        writer.String(each.task.c_str());
        writer.Uint64(each.run);
        writer.String(each.outcome.c_str());
        writer.String("");
        writer.EndArray();
    }
    writer.EndArray();
    writer.EndObject();
    return buffer.GetString();
}

void OperatorUpstream::answerWaiters()
{
    const auto waiters = std::move(waiters_);
    waiters_.clear();
    for (const auto& waiter : waiters)
        waiter.exchange->respond({ .status = 200, .fields = {}, .body = statusReport() });
}

bool OperatorUpstream::acceptFencingToken(std::uint64_t fencingToken)
{
    if (fencingToken < fencingToken_)
        return false;
    fencingToken_ = fencingToken;
    return true;
}

void OperatorUpstream::executeLater(std::optional<std::chrono::milliseconds> delay, std::function<void()> action)
{
    if (!delay)
        return;
    auto timer = std::make_shared<boost::asio::steady_timer>(loop_.context());
    timer->expires_after(*delay);
    timer->async_wait([timer, alive = std::weak_ptr<bool>(alive_), action = std::move(action)](
                          const boost::system::error_code& error) {
        if (!error && !alive.expired())
            action();
    });
}

void OperatorUpstream::handleStart(const std::string& body, const std::shared_ptr<HttpExchange>& exchange)
{
    if (startsToDelay_ > 0) {
        --startsToDelay_;
        executeLater(std::chrono::milliseconds(startDelayMs_), [this, body] { startRun(body); });
        return;
    }
    if (const auto delay = drawDelay()) {
        executeLater(delay, [this, body, delay] { startRun(body, *delay); });
        return;
    }
    const auto reason = startRun(body);
    if (answersToDrop_ > 0) {
        --answersToDrop_;
        return;
    }
    exchange->respond({ .status = reason.empty() ? 200U : 409U, .fields = {}, .body = replyBody(clockMs(), reason) });
}

void OperatorUpstream::executeStop(const Stop& stop)
{
    highestRun_[stop.task] = std::max(highestRun_[stop.task], stop.number);
    if (const auto found = runs_.find(stop.task); found != runs_.end() && found->second.number <= stop.number)
        endRun(stop.task, "stopped");
}

void OperatorUpstream::handleStop(const Stop& stop, const std::shared_ptr<HttpExchange>& exchange)
{
    const auto delay = drawDelay();
    if (delay || lateStops_.take()) {
        executeLater(delay ? delay : lateStops_.delay, [this, stop] {
            if (acceptFencingToken(stop.fencingToken))
                executeStop(stop);
        });
        return;
    }
    if (!acceptFencingToken(stop.fencingToken)) {
        exchange->respond({ .status = 409, .fields = {}, .body = replyBody(clockMs(), "fence") });
        return;
    }
    if (stopsToRefuse_ > 0) {
        --stopsToRefuse_;
        exchange->respond({ .status = 503, .fields = {}, .body = replyBody(clockMs(), {}) });
        return;
    }
    executeStop(stop);
    exchange->respond({ .status = 200, .fields = {}, .body = replyBody(clockMs(), {}) });
}

void OperatorUpstream::handle(const HttpRequest& request, const std::shared_ptr<HttpExchange>& exchange)
{
    rapidjson::Document body;
    body.Parse(request.body.data(), request.body.size());
    const auto fencingToken = body["fencing_token"].GetUint64();
    if (fencingToken <= ignoredFencingToken_)
        return;
    if (request.target == "/balsammill/run-start")
        handleStart(request.body, exchange);
    else if (request.target == "/balsammill/run-stop")
        handleStop(
            { .task = body["task"].GetString(), .number = body["run"].GetUint64(), .fencingToken = fencingToken },
            exchange);
    else
        handleHold({ .leaseExpiryMs = body.HasMember("deadline_ms")
                           ? std::optional<std::int64_t>(body["deadline_ms"].GetInt64())
                           : std::nullopt,
                       .lastSeen = body["last_seen"].GetUint64(),
                       .waitMs = body.HasMember("wait_ms") ? body["wait_ms"].GetInt() : 0,
                       .fencingToken = fencingToken },
            exchange);
}

void OperatorUpstream::handleHold(const Hold& hold, const std::shared_ptr<HttpExchange>& exchange)
{
    const auto delay = hold.leaseExpiryMs ? drawDelay() : std::nullopt;
    if (delay || (hold.leaseExpiryMs && lateGrants_.take())) {
        executeLater(delay ? delay : lateGrants_.delay,
            [this, length = *hold.leaseExpiryMs - clockMs(), fencingToken = hold.fencingToken] {
                if (acceptFencingToken(fencingToken))
                    extendLease(clockMs() + length);
            });
        return;
    }
    if (!acceptFencingToken(hold.fencingToken)) {
        exchange->respond({ .status = 409, .fields = {}, .body = replyBody(clockMs(), "fence") });
        return;
    }
    if (hold.leaseExpiryMs)
        extendLease(*hold.leaseExpiryMs);
    std::erase_if(endedRuns_, [&hold](const EndedRun& each) { return each.sequence <= hold.lastSeen; });
    if (reportsToDrop_ > 0) {
        --reportsToDrop_;
        return;
    }
    if (!endedRuns_.empty() || hold.waitMs == 0) {
        exchange->respond({ .status = 200, .fields = {}, .body = statusReport() });
        return;
    }
    waiters_.push_back({ exchange });
    executeLater(std::chrono::milliseconds(hold.waitMs), [this, exchange] {
        const auto found = std::find_if(
            waiters_.begin(), waiters_.end(), [&](const Waiter& waiter) { return waiter.exchange == exchange; });
        if (found == waiters_.end())
            return;
        waiters_.erase(found);
        exchange->respond({ .status = 200, .fields = {}, .body = statusReport() });
    });
}

} // namespace Standin
