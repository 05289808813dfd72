#include "Worker.hh"

#include "Ports.hh"

#include <rapidjson/document.h>

#include <algorithm>
#include <sstream>
#include <thread>
#include <utility>

namespace Review {

using Balsammill::HttpRequest;
using Balsammill::HttpResponse;

namespace {

// Bounds of the sheet: max_hold_ms 1,000; a worker writes its entry about every heartbeat_ms 1,500.
constexpr std::int64_t maxHoldMs = 1000;
constexpr Ms heartbeat_ { 1500 };
constexpr std::size_t maxListedEnds = 500;

struct TaskText {
    int runMs { 0 };
    int milliCores { 0 };
    std::string word;
};

TaskText parseText(const std::string& text)
{
    TaskText task;
    std::istringstream in(text);
    in >> task.runMs >> task.milliCores >> task.word;
    return task;
}

} // namespace

Worker::Worker(Standin::LoopThread& loop, Standin::OperatorStore& store, Record& record, const Options& options)
    : loop_(loop)
    , store_(store)
    , record_(record)
    , options_(options)
    , random_(std::hash<std::string> {}(options.id))
{
}

Worker::~Worker()
{
    loop_.run([this] {
        alive_.reset();
        for (auto& [task, run] : runs_)
            run.timer->cancel();
        waiters_.clear();
        unanswered_.clear();
        leaseTimer_.reset();
        server_.reset();
    });
}

void Worker::begin()
{
    loop_.run([this] {
        bornMs_ = std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count();
        startedAt_ = Clock::now();
        leaseTimer_ = std::make_unique<boost::asio::steady_timer>(loop_.context());
        const auto address = address_.empty() ? "127.0.0.1:" + std::to_string(nextPort()) : address_;
        server_ = std::make_unique<Balsammill::HttpServer>(loop_.context(), Balsammill::NetworkAddress(address),
            [this](const HttpRequest& request, const Exchange& exchange) { handle(request, exchange); });
        address_ = server_->localAddress().value;
        up_ = true;
    });
    if (std::exchange(beats_, true))
        registerOnce();
    else
        heartbeat();
}

void Worker::heartbeat()
{
    registerOnce();
    std::thread([this, alive = std::weak_ptr<bool>(alive_)] {
        std::this_thread::sleep_for(heartbeat_);
        if (!alive.expired())
            heartbeat();
    }).detach();
}

void Worker::registerOnce()
{
    std::string text;
    const bool up = loop_.run([&] {
        if (!up_)
            return false;
        ++sequence_;
        std::ostringstream out;
        out << R"({"service":"tanim","address":")" << address_ << R"(","zone":")" << options_.zone
            << R"(","version":"1","slots":8,"state":")" << state_ << R"(","cold_remaining_ms":0,"sequence":)"
            << sequence_ << R"(,"born":)" << bornMs_ << R"(,"capacity":{"cpu":)" << options_.milliCores
            << R"(,"memory_limit_mb":131072},"labels":[)";
        for (std::size_t i = 0; i < options_.labels.size(); ++i)
            out << (i == 0 ? "\"" : ",\"") << options_.labels[i] << "\"";
        out << "]}";
        text = out.str();
        return true;
    });
    if (up)
        store_.put("servers", options_.id, text);
}

void Worker::stopServing(const std::string& how)
{
    loop_.run([&] {
        up_ = false;
        for (auto& [task, run] : runs_) {
            run.timer->cancel();
            record_.ended(run.seen, how);
        }
        runs_.clear();
        ended_.clear();
        highest_.clear();
        waiters_.clear();
        unanswered_.clear();
        leaseTimer_.reset();
        server_.reset();
        leaseEndsMs_ = 0;
        fence_ = 0;
        lastEnd_ = 0;
        sequence_ = 0;
    });
}

void Worker::crash(Ms down)
{
    stopServing("lost with its worker");
    record_.line("worker " + options_.id + " has crashed");
    std::this_thread::sleep_for(down);
    begin();
    record_.line("worker " + options_.id + " has started again under its id");
}

void Worker::hang(double share)
{
    loop_.run([&] {
        hanging_ = share;
        unanswered_.clear();
    });
    record_.line(
        "worker " + options_.id + " leaves a share of " + std::to_string(share) + " of its requests unanswered");
}

void Worker::loseForGood()
{
    stopServing("lost with its worker");
    record_.line("worker " + options_.id + " is lost for good");
    std::thread([this, alive = std::weak_ptr<bool>(alive_)] {
        std::this_thread::sleep_for(3 * heartbeat_);
        if (alive.expired())
            return;
        store_.remove("servers", options_.id);
        record_.line("the store has removed the entry of worker " + options_.id);
    }).detach();
}

void Worker::beUnhealthy(int refused, int of)
{
    loop_.run([&] {
        refused_ = refused;
        refusedOf_ = of;
        startRequests_ = 0;
    });
    record_.line("worker " + options_.id + " answers " + std::to_string(refused) + " of " + std::to_string(of)
        + " start requests with 503");
}

void Worker::drain()
{
    loop_.run([this] { state_ = "draining"; });
    record_.line("worker " + options_.id + " says that it drains");
    heartbeat();
}

int Worker::milliCoresInUse()
{
    return loop_.run([this] {
        int sum = 0;
        for (const auto& [task, run] : runs_)
            sum += run.milliCores;
        return sum;
    });
}

int Worker::runsInProgress()
{
    return loop_.run([this] { return static_cast<int>(runs_.size()); });
}

std::int64_t Worker::clockMs() const
{
    return 1000 + std::chrono::duration_cast<Ms>(Clock::now() - startedAt_).count();
}

std::string Worker::reply(const std::string& reason) const
{
    auto body = "{\"clock_ms\":" + std::to_string(clockMs());
    if (!reason.empty())
        body += ",\"reason\":\"" + reason + "\"";
    return body + "}";
}

void Worker::after(std::chrono::milliseconds delay, std::function<void()> action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(loop_.context());
    timer->expires_after(delay);
    timer->async_wait([timer, alive = std::weak_ptr<bool>(alive_), action = std::move(action)](
                          const boost::system::error_code& error) {
        if (!error && !alive.expired())
            action();
    });
}

void Worker::handle(const HttpRequest& request, const Exchange& exchange)
{
    const std::string expected(request.field("X-Balsammill-Expected-Instance"));
    if (!expected.empty() && expected != options_.id) {
        exchange->respond({ .status = 421, .fields = {}, .body = reply() });
        return;
    }
    if (std::bernoulli_distribution(hanging_)(random_)) {
        record_.line("worker " + options_.id + " leaves " + request.target + " unanswered, undone");
        unanswered_.push_back(exchange);
        return;
    }
    if (request.target == "/balsammill/run-start")
        handleStart(request.body, exchange);
    else if (request.target == "/balsammill/run-stop")
        handleStop(request.body, exchange);
    else if (request.target == "/balsammill/hold")
        handleHold(request.body, exchange);
    else
        exchange->respond({ .status = 404, .fields = {}, .body = {} });
}

void Worker::extendLease(std::int64_t deadlineMs)
{
    if (clockMs() > leaseEndsMs_)
        ++lapses_;
    leaseEndsMs_ = std::max(leaseEndsMs_, std::min(deadlineMs, clockMs() + maxHoldMs));
    leaseTimer_->expires_after(Ms(std::max<std::int64_t>(leaseEndsMs_ - clockMs(), 0)));
    leaseTimer_->async_wait([this](const boost::system::error_code& error) {
        if (error || clockMs() < leaseEndsMs_)
            return;
        std::vector<std::string> tasks;
        for (const auto& [task, run] : runs_)
            tasks.push_back(task);
        for (const auto& task : tasks)
            endRun(task, "lapsed");
    });
}

void Worker::handleStart(const std::string& body, const Exchange& exchange)
{
    if (refusedOf_ > 0 && startRequests_++ % refusedOf_ < refused_) {
        record_.line("worker " + options_.id + " answers a start request with 503");
        exchange->respond({ .status = 503, .fields = {}, .body = {} });
        return;
    }
    rapidjson::Document json;
    json.Parse(body.data(), body.size());
    const std::string task = json["task"].GetString();
    const auto number = json["run"].GetUint64();
    const auto fence = json["fencing_token"].GetUint64();
    const auto deadline = json["deadline_ms"].GetInt64();
    const auto refuse = [&](const std::string& reason) {
        record_.line("worker " + options_.id + " answers the start of " + task + " run " + std::to_string(number)
            + " with 409 " + reason);
        exchange->respond({ .status = 409, .fields = {}, .body = reply(reason) });
    };
    if (fence < fence_) {
        refuse("fence");
        return;
    }
    fence_ = fence;
    if (const auto found = runs_.find(task); found != runs_.end() && found->second.number == number) {
        extendLease(deadline);
        exchange->respond({ .status = 200, .fields = {}, .body = reply() });
        return;
    }
    if (number <= highest_[task]) {
        extendLease(deadline);
        refuse("old");
        return;
    }
    if (deadline < clockMs()) {
        refuse("late");
        return;
    }
    extendLease(deadline);
    highest_[task] = number;
    const auto text = parseText(json["task_spec"].GetString());
    auto timer = std::make_shared<boost::asio::steady_timer>(loop_.context());
    runs_[task] = { .number = number,
        .milliCores = text.milliCores,
        .seen = record_.started(task, number, options_.id),
        .timer = timer };
    if (text.word != "lasts") {
        const bool fails = text.word == "fails1" && number == 1;
        const std::string how = fails ? "failed" : "done";
        timer->expires_after(Ms(fails ? 300 : text.runMs));
        timer->async_wait([this, task, how](const boost::system::error_code& error) {
            if (!error)
                endRun(task, how);
        });
    }
    exchange->respond({ .status = 200, .fields = {}, .body = reply() });
}

void Worker::endRun(const std::string& task, const std::string& how)
{
    const auto found = runs_.find(task);
    if (found == runs_.end())
        return;
    found->second.timer->cancel();
    record_.ended(found->second.seen, how);
    ended_.push_back({ .sequence = ++lastEnd_,
        .task = task,
        .run = found->second.number,
        .how = how,
        .seen = found->second.seen,
        .lapses = lapses_ });
    runs_.erase(found);
    answerWaiters();
}

void Worker::handleStop(const std::string& body, const Exchange& exchange)
{
    rapidjson::Document json;
    json.Parse(body.data(), body.size());
    const std::string task = json["task"].GetString();
    const auto number = json["run"].GetUint64();
    const auto fence = json["fencing_token"].GetUint64();
    if (fence < fence_) {
        exchange->respond({ .status = 409, .fields = {}, .body = reply("fence") });
        return;
    }
    fence_ = fence;
    highest_[task] = std::max(highest_[task], number);
    if (const auto found = runs_.find(task); found != runs_.end() && found->second.number <= number)
        endRun(task, "stopped");
    exchange->respond({ .status = 200, .fields = {}, .body = reply() });
}

std::string Worker::lists() const
{
    std::ostringstream out;
    out << "{\"clock_ms\":" << clockMs() << ",\"born\":" << bornMs_ << ",\"running\":[";
    bool first = true;
    for (const auto& [task, run] : runs_) {
        out << (first ? "" : ",") << "[\"" << task << "\"," << run.number << ",\"\",100," << run.milliCores << "]";
        first = false;
    }
    out << "],\"ended\":[";
    for (std::size_t i = 0; i < std::min(ended_.size(), maxListedEnds); ++i) {
        const auto& end = ended_[i];
        out << (i == 0 ? "" : ",") << "[" << end.sequence << ",\"" << end.task << "\"," << end.run << ",\"" << end.how
            << "\",\"\"]";
    }
    out << "]}";
    return out.str();
}

void Worker::answerWaiters()
{
    const auto waiters = std::move(waiters_);
    waiters_.clear();
    for (const auto& waiter : waiters)
        waiter->respond({ .status = 200, .fields = {}, .body = lists() });
}

void Worker::handleHold(const std::string& body, const Exchange& exchange)
{
    rapidjson::Document json;
    json.Parse(body.data(), body.size());
    const auto fence = json["fencing_token"].GetUint64();
    if (fence < fence_) {
        exchange->respond({ .status = 409, .fields = {}, .body = reply("fence") });
        return;
    }
    fence_ = fence;
    if (json.HasMember("deadline_ms"))
        extendLease(json["deadline_ms"].GetInt64());
    const auto lastSeen = json["last_seen"].GetUint64();
    for (const auto& end : ended_) {
        if (end.sequence <= lastSeen && end.lapses == lapses_ && clockMs() <= leaseEndsMs_)
            record_.noted(end.seen, lastSeen);
    }
    std::erase_if(ended_, [&](const Ended& end) { return end.sequence <= lastSeen; });
    const int waitMs = json.HasMember("wait_ms") ? json["wait_ms"].GetInt() : 0;
    if (!ended_.empty() || waitMs == 0) {
        exchange->respond({ .status = 200, .fields = {}, .body = lists() });
        return;
    }
    waiters_.push_back(exchange);
    after(Ms(waitMs), [this, exchange] {
        const auto found = std::find(waiters_.begin(), waiters_.end(), exchange);
        if (found == waiters_.end())
            return;
        waiters_.erase(found);
        exchange->respond({ .status = 200, .fields = {}, .body = lists() });
    });
}

} // namespace Review
