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

std::string OperatorUpstream::startRun(const std::string& text)
{
    rapidjson::Document body;
    body.Parse(text.data(), text.size());
    const std::string task = body["task"].GetString();
    const auto number = body["run"].GetUint64();
    const auto fencingToken = body["fencing_token"].GetUint64();
    const auto deadline = body["deadline_ms"].GetInt64();
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
    // In the tests, the task specification is the number of millicores that the task uses.
    const int milliCores = std::stoi(body["task_spec"].GetString());
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
    ++registry_.starts;
    highestRun_[task] = number;
    auto timer = std::make_shared<boost::asio::steady_timer>(loop_.context());
    timer->expires_after(std::chrono::milliseconds(options_.runMs));
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
    for (const auto& each : endedRuns_) {
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

void OperatorUpstream::handle(const HttpRequest& request, const std::shared_ptr<HttpExchange>& exchange)
{
    if (request.target == "/balsammill/run-start") {
        if (startsToDelay_ > 0) {
            --startsToDelay_;
            auto timer = std::make_shared<boost::asio::steady_timer>(loop_.context());
            timer->expires_after(std::chrono::milliseconds(startDelayMs_));
            timer->async_wait([this, timer, body = request.body](const boost::system::error_code& error) {
                if (!error)
                    startRun(body);
            });
            return;
        }
        const auto reason = startRun(request.body);
        if (answersToDrop_ > 0) {
            --answersToDrop_;
            return;
        }
        exchange->respond(
            { .status = reason.empty() ? 200U : 409U, .fields = {}, .body = replyBody(clockMs(), reason) });
        return;
    }
    rapidjson::Document body;
    body.Parse(request.body.data(), request.body.size());
    const auto fencingToken = body["fencing_token"].GetUint64();
    if (fencingToken < fencingToken_) {
        exchange->respond({ .status = 409, .fields = {}, .body = replyBody(clockMs(), "fence") });
        return;
    }
    fencingToken_ = fencingToken;
    if (request.target == "/balsammill/run-stop") {
        if (stopsToRefuse_ > 0) {
            --stopsToRefuse_;
            exchange->respond({ .status = 503, .fields = {}, .body = replyBody(clockMs(), {}) });
            return;
        }
        const std::string task = body["task"].GetString();
        const auto number = body["run"].GetUint64();
        highestRun_[task] = std::max(highestRun_[task], number);
        if (const auto found = runs_.find(task); found != runs_.end() && found->second.number <= number)
            endRun(task, "stopped");
        exchange->respond({ .status = 200, .fields = {}, .body = replyBody(clockMs(), {}) });
        return;
    }
    if (body.HasMember("deadline_ms"))
        extendLease(body["deadline_ms"].GetInt64());
    const auto lastSeen = body["last_seen"].GetUint64();
    std::erase_if(endedRuns_, [lastSeen](const EndedRun& each) { return each.sequence <= lastSeen; });
    const int waitMs = body.HasMember("wait_ms") ? body["wait_ms"].GetInt() : 0;
    if (!endedRuns_.empty() || waitMs == 0) {
        exchange->respond({ .status = 200, .fields = {}, .body = statusReport() });
        return;
    }
    waiters_.push_back({ exchange });
    auto timer = std::make_shared<boost::asio::steady_timer>(loop_.context());
    timer->expires_after(std::chrono::milliseconds(waitMs));
    timer->async_wait([this, timer, exchange](const boost::system::error_code& error) {
        const auto found = std::find_if(
            waiters_.begin(), waiters_.end(), [&](const Waiter& waiter) { return waiter.exchange == exchange; });
        if (error || found == waiters_.end())
            return;
        waiters_.erase(found);
        exchange->respond({ .status = 200, .fields = {}, .body = statusReport() });
    });
}

} // namespace Standin
