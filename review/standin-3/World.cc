#include "World.hh"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Review {

using Balsammill::HttpRequest;
using Balsammill::HttpServer;
using Balsammill::NetworkAddress;
using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

namespace {

constexpr std::int64_t txMs = 6;
constexpr std::int64_t maxHoldMs = 1000;
constexpr std::int64_t gangTimeoutMs = 3000;
constexpr std::int64_t heartbeatMs = 1500;
constexpr std::int64_t checkpointMs = 500;
constexpr std::int64_t restoreMs = 100;
constexpr std::size_t maxEndsListed = 500;
constexpr auto host = "nony24.example";

std::string stringOf(const rapidjson::Value& object, const char* name)
{
    const auto found = object.FindMember(name);
    return found != object.MemberEnd() && found->value.IsString() ? found->value.GetString() : std::string();
}

std::int64_t integerOf(const rapidjson::Value& object, const char* name, std::int64_t fallback = 0)
{
    const auto found = object.FindMember(name);
    return found != object.MemberEnd() && found->value.IsInt64() ? found->value.GetInt64() : fallback;
}

std::map<std::string, std::string> queryOf(const std::string& target)
{
    std::map<std::string, std::string> query;
    const auto mark = target.find('?');
    if (mark == std::string::npos)
        return query;
    std::istringstream text(target.substr(mark + 1));
    for (std::string part; std::getline(text, part, '&');) {
        const auto equals = part.find('=');
        std::string value;
        const auto raw = equals == std::string::npos ? std::string() : part.substr(equals + 1);
        for (std::size_t i = 0; i < raw.size(); ++i) {
            if (raw[i] == '%' && i + 2 < raw.size()) {
                value += static_cast<char>(std::stoi(raw.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                value += raw[i];
            }
        }
        query[part.substr(0, equals)] = value;
    }
    return query;
}

std::size_t decodedSize(const std::string& base64)
{
    return base64.size() / 4 * 3 - static_cast<std::size_t>(std::count(base64.begin(), base64.end(), '='));
}

std::string encode(const std::string& bytes)
{
    static constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned value = 0;
        for (std::size_t k = 0; k < 3; ++k)
            value = value << 8U | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            text += i + k <= bytes.size() ? digits[value >> (18 - 6 * k) & 63U] : '=';
    }
    return text;
}

// "ID.K.STEP" of "ID.K.STEP.INDEX".
std::string stepOf(const std::string& task) { return task.substr(0, task.rfind('.')); }
std::string jobOf(const std::string& task) { return task.substr(0, task.find('.')); }

TaskKind kindOf(const std::string& spec, const std::string& task)
{
    const auto step = stepOf(task);
    const auto wanted = step.substr(step.rfind('.') + 1) + ":";
    TaskKind kind;
    std::istringstream text(spec);
    for (std::string part; std::getline(text, part, ';');) {
        if (!part.starts_with(wanted))
            continue;
        std::istringstream fields(part.substr(wanted.size()));
        for (std::string field; std::getline(fields, field, ',');) {
            const auto name = field.substr(0, field.find('='));
            const auto value = std::stoll(field.substr(field.find('=') + 1));
            if (name == "ms")
                kind.ms = value;
            else if (name == "cpu")
                kind.cpu = static_cast<int>(value);
            else if (name == "gang")
                kind.gang = static_cast<int>(value);
            else if (name == "anti")
                kind.anti = static_cast<int>(value);
            else if (name == "lasts")
                kind.lasts = value != 0;
            else if (name == "failms")
                kind.failMs = value;
            else if (name == "checkpoints")
                kind.checkpoints = value != 0;
        }
    }
    return kind;
}

} // namespace

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now().time_since_epoch()).count();
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void sleepMs(std::int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

bool withTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

std::string jobId(std::uint64_t number)
{
    // Spread like the random ids of clients.
    std::uint64_t x = number + 0x9E3779B97F4A7C15ULL;
    x = (x ^ (x >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    x = (x ^ (x >> 27U)) * 0x94D049BB133111EBULL;
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(x ^ (x >> 31U)));
    return text;
}

Record::Record(const std::string& path)
    : file_(path)
{
}

void Record::line(const std::string& text)
{
    std::lock_guard lock(mutex_);
    file_ << sinceStart() << " " << text << std::endl;
}

Loop::Loop()
    : work_(boost::asio::make_work_guard(context_))
    , thread_([this] { context_.run(); })
{
}

Loop::~Loop()
{
    work_.reset();
    context_.stop();
    thread_.join();
}

void Loop::after(std::int64_t ms, std::function<void()> action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(context_);
    timer->expires_after(std::chrono::milliseconds(ms));
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code& error) {
        if (!error)
            action();
    });
}

Store::Store(Loop& loop, Record& record)
    : loop_(loop)
    , record_(record)
{
    loop_.run([this] {
        server_ = std::make_unique<HttpServer>(loop_.context(), NetworkAddress("127.0.0.1:0"),
            [this](const HttpRequest& request, const Exchange& exchange) { handle(request, exchange); });
        server_->setLimits({ .maxBodyBytes = 4 * 1024 * 1024, .idleTimeout = std::chrono::seconds(300) });
        address_ = server_->localAddress().value;
    });
}

Store::~Store()
{
    loop_.run([this] { server_.reset(); });
}

void Store::set(const Key& key, const std::string& base64, bool deleted)
{
    rows_[key] = { .base64 = deleted ? std::string() : base64, .version = version_, .deleted = deleted };
}

void Store::put(const std::string& table, const std::string& key, const std::string& value)
{
    ++version_;
    set({ table, "", key }, encode(value), false);
    wake();
}

std::string Store::writerOf(const std::string& zone, const std::vector<std::string>& names) const
{
    for (const auto& [key, row] : rows_) {
        if (!key.key.starts_with(zone + "/"))
            continue;
        std::string bytes;
        unsigned value = 0;
        int bits = 0;
        for (const char c : row.base64) {
            static const std::string digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
            const auto digit = digits.find(c);
            if (digit == std::string::npos)
                break;
            value = value << 6U | static_cast<unsigned>(digit);
            bits += 6;
            if (bits >= 8) {
                bits -= 8;
                bytes += static_cast<char>(value >> static_cast<unsigned>(bits) & 255U);
            }
        }
        // The row also names the machine that handed the shard over, further behind.
        std::string first;
        auto position = std::string::npos;
        for (const auto& name : names) {
            if (const auto at = bytes.find(name); at < position) {
                position = at;
                first = name;
            }
        }
        return first;
    }
    return {};
}

void Store::remove(const std::string& table, const std::string& key)
{
    ++version_;
    set({ table, "", key }, {}, true);
    wake();
}

void Store::handle(const HttpRequest& request, const Exchange& exchange)
{
    const auto path = request.target.substr(0, request.target.find('?'));
    if (path == "/balsammill/rows-tx")
        loop_.after(txMs, [this, body = request.body, exchange] { transaction(body, exchange); });
    else if (path == "/balsammill/rows-get")
        loop_.after(2, [this, query = queryOf(request.target), exchange] { get(query, exchange); });
    else if (path == "/balsammill/rows-feed")
        feed(queryOf(request.target), exchange);
    else
        exchange->respond({ .status = 400, .fields = {}, .body = "{}" });
}

void Store::transaction(const std::string& body, const Exchange& exchange)
{
    rapidjson::Document json;
    json.Parse(body.data(), body.size());
    const auto refuse = [&](const std::string& why) {
        record_.line("store refuses a transaction with 400: " + why);
        exchange->respond({ .status = 400, .fields = {}, .body = R"({"error":")" + why + "\"}" });
    };
    if (json.HasParseError() || !json.IsObject())
        return refuse("not an object");
    const auto rowsOf = [&](const char* name) {
        std::vector<const rapidjson::Value*> rows;
        if (json.HasMember(name))
            for (const auto& row : json[name].GetArray())
                rows.push_back(&row);
        return rows;
    };
    const auto conditions = rowsOf("precondition");
    const auto puts = rowsOf("puts");
    const auto removals = rowsOf("remove");
    if (conditions.size() + puts.size() + removals.size() > 100 || body.size() > 1'000'000)
        return refuse("more than 100 entries or 1 MB");
    std::set<std::string> parts;
    for (const auto* list : { &conditions, &puts, &removals })
        for (const auto* row : *list)
            parts.insert(stringOf(*row, "part"));
    if (parts.size() > 1)
        return refuse("several parts");
    for (const auto* row : puts) {
        const auto size = decodedSize(stringOf(*row, "value"));
        largestRow_ = std::max(largestRow_, size);
        if (size > rowBytes) {
            ++refusedForSize_;
            return refuse("a row of " + std::to_string(size) + " bytes, row_bytes is " + std::to_string(rowBytes));
        }
    }
    const auto keyOf = [](const rapidjson::Value& row) {
        return Key { stringOf(row, "table"), stringOf(row, "part"), stringOf(row, "key") };
    };
    rapidjson::StringBuffer buffer;
    Writer writer(buffer);
    bool conflict = false;
    for (const auto* row : conditions) {
        const auto found = rows_.find(keyOf(*row));
        const auto version = found == rows_.end() || found->second.deleted ? 0 : found->second.version;
        conflict = conflict || version != static_cast<std::uint64_t>(integerOf(*row, "ver"));
    }
    writer.StartObject();
    if (conflict) {
        writer.Key("rows");
        writer.StartArray();
        for (const auto* row : conditions) {
            const auto key = keyOf(*row);
            const auto found = rows_.find(key);
            if (found == rows_.end() || found->second.deleted)
                continue;
            writer.StartObject();
            writer.Key("table");
            writer.String(key.table.c_str());
            writer.Key("part");
            writer.String(key.part.c_str());
            writer.Key("key");
            writer.String(key.key.c_str());
            writer.Key("value");
            writer.String(found->second.base64.c_str());
            writer.Key("ver");
            writer.Uint64(found->second.version);
            writer.EndObject();
        }
        writer.EndArray();
    } else {
        ++version_;
        for (const auto* row : puts)
            set(keyOf(*row), stringOf(*row, "value"), false);
        for (const auto* row : removals)
            set(keyOf(*row), {}, true);
    }
    writer.Key("ver");
    writer.Uint64(version_);
    writer.Key("now_ms");
    writer.Int64(nowMs());
    writer.EndObject();
    exchange->respond({ .status = conflict ? 412U : 200U, .fields = {}, .body = buffer.GetString() });
    if (!conflict)
        wake();
}

void Store::get(const std::map<std::string, std::string>& query, const Exchange& exchange)
{
    const auto value = [&](const char* name) {
        const auto found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    };
    const auto limit = value("limit").empty() ? std::size_t { 500 } : std::stoul(value("limit"));
    rapidjson::StringBuffer buffer;
    Writer writer(buffer);
    writer.StartObject();
    writer.Key("rows");
    writer.StartArray();
    std::size_t count = 0;
    bool more = false;
    for (const auto& [key, row] : rows_) {
        if (key.table != value("table") || key.part != value("part") || row.deleted || key.key < value("from")
            || (!value("target").empty() && key.key >= value("target")))
            continue;
        if (count == limit || buffer.GetSize() + row.base64.size() > 1'000'000) {
            more = true;
            break;
        }
        ++count;
        writer.StartObject();
        writer.Key("table");
        writer.String(key.table.c_str());
        writer.Key("part");
        writer.String(key.part.c_str());
        writer.Key("key");
        writer.String(key.key.c_str());
        writer.Key("value");
        writer.String(row.base64.c_str());
        writer.Key("ver");
        writer.Uint64(row.version);
        writer.EndObject();
    }
    writer.EndArray();
    writer.Key("has_more");
    writer.Bool(more);
    writer.Key("ver");
    writer.Uint64(version_);
    writer.Key("now_ms");
    writer.Int64(nowMs());
    writer.EndObject();
    exchange->respond({ .status = 200, .fields = {}, .body = buffer.GetString() });
}

std::string Store::changes(const std::string& table, std::uint64_t after) const
{
    std::vector<const std::pair<const Key, Row>*> changed;
    for (const auto& entry : rows_)
        if (entry.first.table == table && entry.second.version > after)
            changed.push_back(&entry);
    std::sort(changed.begin(), changed.end(),
        [](const auto* a, const auto* b) { return a->second.version < b->second.version; });
    rapidjson::StringBuffer buffer;
    Writer writer(buffer);
    writer.StartObject();
    writer.Key("rows");
    writer.StartArray();
    for (const auto* entry : changed) {
        writer.StartObject();
        writer.Key("table");
        writer.String(entry->first.table.c_str());
        writer.Key("part");
        writer.String(entry->first.part.c_str());
        writer.Key("key");
        writer.String(entry->first.key.c_str());
        writer.Key("ver");
        writer.Uint64(entry->second.version);
        if (entry->second.deleted) {
            writer.Key("deleted");
            writer.Bool(true);
        } else {
            writer.Key("value");
            writer.String(entry->second.base64.c_str());
        }
        writer.EndObject();
    }
    writer.EndArray();
    writer.Key("ver");
    writer.Uint64(version_);
    writer.Key("now_ms");
    writer.Int64(nowMs());
    writer.EndObject();
    return buffer.GetString();
}

void Store::feed(const std::map<std::string, std::string>& query, const Exchange& exchange)
{
    const auto table = query.at("table");
    const auto after = std::stoull(query.at("after"));
    const auto wait = query.contains("wait_ms") ? std::stoll(query.at("wait_ms")) : 0;
    const bool changed = std::any_of(rows_.begin(), rows_.end(),
        [&](const auto& entry) { return entry.first.table == table && entry.second.version > after; });
    if (changed || wait == 0) {
        exchange->respond({ .status = 200, .fields = {}, .body = changes(table, after) });
        return;
    }
    const auto number = ++lastWaiter_;
    waiters_.push_back({ table, after, exchange, number });
    loop_.after(wait, [this, exchange, table, after, number] {
        const auto found
            = std::find_if(waiters_.begin(), waiters_.end(), [&](const Waiter& each) { return each.number == number; });
        if (found == waiters_.end())
            return;
        waiters_.erase(found);
        exchange->respond({ .status = 200, .fields = {}, .body = changes(table, after) });
    });
}

void Store::wake()
{
    std::vector<Waiter> kept;
    for (auto& waiter : waiters_) {
        const bool changed = std::any_of(rows_.begin(), rows_.end(), [&](const auto& entry) {
            return entry.first.table == waiter.table && entry.second.version > waiter.after;
        });
        if (changed)
            waiter.exchange->respond({ .status = 200, .fields = {}, .body = changes(waiter.table, waiter.after) });
        else
            kept.push_back(waiter);
    }
    waiters_ = std::move(kept);
}

Worker::Worker(Loop& loop, Store& store, Record& record, Tasks& tasks, const Options& options)
    : loop_(loop)
    , store_(store)
    , record_(record)
    , tasks_(tasks)
    , options_(options)
    , leaseTimer_(loop.context())
{
    loop_.run([this] {
        server_ = std::make_unique<HttpServer>(loop_.context(), NetworkAddress("127.0.0.1:0"),
            [this](const HttpRequest& request, const Exchange& exchange) { handle(request, exchange); });
        server_->setLimits({ .maxBodyBytes = 1024 * 1024, .idleTimeout = std::chrono::seconds(300) });
        address_ = server_->localAddress().value;
        beat();
    });
}

Worker::~Worker()
{
    loop_.run([this] {
        alive_.reset();
        leaseTimer_.cancel();
        for (auto& [task, run] : runs_)
            run.timer->cancel();
        waiters_.clear();
        server_.reset();
    });
}

void Worker::beat()
{
    if (!server_)
        return;
    store_.put("servers", options_.id,
        R"({"service":"tanim","address":")" + address_ + R"(","zone":")" + options_.zone
            + R"(","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,"capacity":{"cpu":)"
            + std::to_string(options_.cpu) + R"(,"memory_limit_mb":131072,"gpu":0},"labels":["a",")" + options_.rack
            + R"("],"clock_ms":)" + std::to_string(clockMs()) + R"(,"born":)" + std::to_string(bornUnixMs_)
            + R"(,"sequence":)" + std::to_string(++sequence_) + "}");
    loop_.after(heartbeatMs, [this, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired())
            beat();
    });
}

int Worker::usedCpu() const
{
    int used = 0;
    for (const auto& [task, run] : runs_)
        used += run.kind.cpu;
    return used;
}

bool Worker::runsJob(const std::string& job) const
{
    return std::any_of(runs_.begin(), runs_.end(), [&](const auto& entry) { return jobOf(entry.first) == job; });
}

void Worker::answer(const Exchange& exchange, unsigned status, const std::string& reason) const
{
    auto body = "{\"clock_ms\":" + std::to_string(clockMs()) + ",\"born\":" + std::to_string(bornUnixMs_);
    if (!reason.empty())
        body += ",\"reason\":\"" + reason + "\"";
    exchange->respond({ .status = status, .fields = {}, .body = body + "}" });
}

void Worker::handle(const HttpRequest& request, const Exchange& exchange)
{
    const auto expected = request.field("X-Balsammill-Expected-Instance");
    if (!expected.empty() && expected != options_.id) {
        answer(exchange, 421, "");
        return;
    }
    rapidjson::Document json;
    json.Parse(request.body.data(), request.body.size());
    if (json.HasParseError() || !json.IsObject()) {
        answer(exchange, 400, "");
        return;
    }
    if (request.target == "/balsammill/run-start") {
        const auto reason = start(request.body);
        if (reason.empty() && answersToLose_ > 0) {
            --answersToLose_;
            record_.line("the answer to a start on " + options_.id + " is lost");
            // The connection stays open and delivers nothing further.
            lost_.push_back(exchange);
            return;
        }
        answer(exchange, reason.empty() ? 200 : 409, reason);
        return;
    }
    const auto fence = static_cast<std::uint64_t>(integerOf(json, "fencing_token"));
    if (fence < fence_) {
        answer(exchange, 409, "fence");
        return;
    }
    fence_ = fence;
    if (request.target == "/balsammill/run-stop") {
        const auto task = stringOf(json, "task");
        const auto number = static_cast<std::uint64_t>(integerOf(json, "run"));
        highestEnded_[task] = std::max(highestEnded_[task], number);
        if (const auto found = runs_.find(task); found != runs_.end() && found->second.number <= number)
            end(task, "stopped");
        answer(exchange, 200, "");
    } else if (request.target == "/balsammill/hold") {
        if (json.HasMember("deadline_ms"))
            extendLease(integerOf(json, "deadline_ms"));
        hold(static_cast<std::uint64_t>(integerOf(json, "last_seen")), integerOf(json, "wait_ms"), exchange);
    } else {
        answer(exchange, 400, "");
    }
}

void Worker::extendLease(std::int64_t deadlineMs)
{
    leaseUntil_ = std::max(leaseUntil_, std::min(deadlineMs, clockMs() + maxHoldMs));
    leaseTimer_.expires_after(std::chrono::milliseconds(std::max<std::int64_t>(leaseUntil_ - clockMs(), 0)));
    leaseTimer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](const boost::system::error_code& error) {
        if (error || alive.expired() || clockMs() < leaseUntil_)
            return;
        for (auto& each : ends_)
            each.lapsed = true;
        const auto lapsed = runs_;
        for (const auto& [task, run] : lapsed)
            end(task, "lapsed");
    });
}

std::string Worker::start(const std::string& body)
{
    rapidjson::Document json;
    json.Parse(body.data(), body.size());
    const auto task = stringOf(json, "task");
    const auto number = static_cast<std::uint64_t>(integerOf(json, "run"));
    const auto fence = static_cast<std::uint64_t>(integerOf(json, "fencing_token"));
    const auto checkpoint = stringOf(json, "checkpoint");
    if (fence < fence_)
        return "fence";
    fence_ = fence;
    if (const auto found = runs_.find(task); found != runs_.end() && found->second.number == number)
        return {};
    if (const auto found = highestEnded_.find(task); found != highestEnded_.end() && number <= found->second) {
        extendLease(integerOf(json, "deadline_ms"));
        return "old";
    }
    if (integerOf(json, "deadline_ms") < clockMs())
        return "late";
    extendLease(integerOf(json, "deadline_ms"));
    const auto kind = kindOf(stringOf(json, "task_spec"), task);
    if (usedCpu() + kind.cpu > options_.cpu)
        tasks_.violations.push_back("LIMIT " + options_.id + " has no room for " + task);
    if (kind.anti > 0) {
        const auto others = std::count_if(
            runs_.begin(), runs_.end(), [&](const auto& entry) { return stepOf(entry.first) == stepOf(task); });
        if (others >= kind.anti)
            tasks_.violations.push_back("ROUTE " + task + " run " + std::to_string(number) + " starts on " + options_.id
                + " beside " + std::to_string(others) + " tasks of its step; anti_affinity is "
                + std::to_string(kind.anti));
    }
    if (++tasks_.running[task] > 1)
        tasks_.violations.push_back("TWICE " + task + " runs twice at the same time");
    if (tasks_.noted.contains(task))
        tasks_.violations.push_back("TWICE " + task + " is started after an end done that was taken note of");
    ++tasks_.started[task];
    tasks_.away[stepOf(task)].erase(task);
    if (tasks_.logTasks)
        record_.line("run " + task + " " + std::to_string(number) + " starts on " + options_.id
            + (checkpoint.empty() ? std::string() : " checkpoint " + checkpoint));
    Run run { .number = number, .kind = kind };
    if (!checkpoint.empty()) {
        const auto saved = tasks_.savedWork.find(stepOf(task) + "/" + checkpoint);
        if (saved == tasks_.savedWork.end())
            tasks_.violations.push_back("UNASKED " + task + " carries a checkpoint that is not its own");
        else
            run.workedMs = saved->second - restoreMs;
        run.saved = checkpoint;
    }
    run.timer = std::make_shared<boost::asio::steady_timer>(loop_.context());
    runs_[task] = run;
    if (kind.gang == 0) {
        work(task);
        return {};
    }
    const auto name = stepOf(task) + "/" + std::to_string(number);
    auto& gang = tasks_.gangs[name];
    gang.members.push_back({ this, task });
    gang.checkpoints.insert(checkpoint);
    if (gang.checkpoints.size() > 1)
        tasks_.violations.push_back("UNASKED the members of the gang " + name + " carry different checkpoints: " + task
            + " has '" + checkpoint + "'");
    if (static_cast<int>(gang.members.size()) == kind.gang) {
        gang.working = true;
        for (const auto& member : gang.members)
            member.worker->work(member.task);
        return {};
    }
    run.timer->expires_after(std::chrono::milliseconds(gangTimeoutMs));
    run.timer->async_wait([this, task, name](const boost::system::error_code& error) {
        if (!error && !tasks_.gangs[name].working)
            end(task, "alone");
    });
    return {};
}

void Worker::setFailing(std::int64_t afterMs)
{
    failAfterMs_ = afterMs;
    if (afterMs == 0)
        return;
    for (auto& [task, run] : runs_) {
        run.timer->expires_after(std::chrono::milliseconds(afterMs));
        run.timer->async_wait([this, task = task](const boost::system::error_code& error) {
            if (!error)
                end(task, "failed");
        });
    }
}

void Worker::work(const std::string& task)
{
    auto& run = runs_.at(task);
    run.workingSince = nowMs();
    if (failAfterMs_ > 0) {
        run.timer->expires_after(std::chrono::milliseconds(failAfterMs_));
        run.timer->async_wait([this, task](const boost::system::error_code& error) {
            if (!error)
                end(task, "failed");
        });
        return;
    }
    if (run.kind.lasts)
        return;
    const bool fails = run.kind.failMs > 0 && run.number == 1 && task.ends_with(".0");
    run.timer->expires_after(
        std::chrono::milliseconds(fails ? run.kind.failMs : std::max<std::int64_t>(run.kind.ms - run.workedMs, 1)));
    run.timer->async_wait([this, task, fails](const boost::system::error_code& error) {
        if (!error)
            end(task, fails ? "failed" : "done");
    });
}

void Worker::endGangOf(const std::string& task, std::uint64_t run, const std::string& how)
{
    const auto found = tasks_.gangs.find(stepOf(task) + "/" + std::to_string(run));
    if (found == tasks_.gangs.end())
        return;
    const auto members = std::move(found->second.members);
    found->second.members.clear();
    for (const auto& member : members) {
        if (member.task != task)
            member.worker->end(member.task, how);
    }
}

void Worker::end(const std::string& task, const std::string& how)
{
    const auto found = runs_.find(task);
    if (found == runs_.end() || !server_)
        return;
    const auto run = found->second;
    run.timer->cancel();
    runs_.erase(found);
    std::string saved = run.saved;
    if (run.kind.checkpoints && run.workingSince > 0 && how != "done") {
        // A new value with each checkpoint_s of work, and at a stop.
        auto worked = run.workedMs + nowMs() - run.workingSince;
        if (how != "stopped")
            worked -= worked % checkpointMs;
        if (worked > 0 && (how == "stopped" || nowMs() - run.workingSince >= checkpointMs)) {
            char text[17];
            std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(++tasks_.lastCheckpoint));
            saved = text;
            tasks_.savedWork[stepOf(task) + "/" + saved] = worked;
        }
    }
    ends_.push_back({ ++lastEnd_, task, run.number, how, saved });
    highestEnded_[task] = std::max(highestEnded_[task], run.number);
    --tasks_.running[task];
    if (how == "done")
        ++tasks_.done[task];
    if (how == "lapsed") {
        ++tasks_.lapsed;
        auto& away = tasks_.away[stepOf(task)];
        away.erase(task);
        auto& most = tasks_.awayAtLapse[stepOf(task)];
        most = std::max(most, away.size());
        away.insert(task);
    }
    if (tasks_.logTasks)
        record_.line("run " + task + " " + std::to_string(run.number) + " ends " + how + " on " + options_.id
            + (saved.empty() ? std::string() : " saved " + saved));
    if (run.kind.gang > 0)
        endGangOf(task, run.number, how == "done" ? "done" : "broken");
    const auto waiters = std::exchange(waiters_, {});
    for (const auto& [number, each] : waiters)
        each->respond({ .status = 200, .fields = {}, .body = report() });
}

std::string Worker::report() const
{
    rapidjson::StringBuffer buffer;
    Writer writer(buffer);
    writer.StartObject();
    writer.Key("clock_ms");
    writer.Int64(clockMs());
    writer.Key("born");
    writer.Int64(bornUnixMs_);
    writer.Key("running");
    writer.StartArray();
    for (const auto& [task, run] : runs_) {
        writer.StartArray();
        writer.String(task.c_str());
        writer.Uint64(run.number);
        writer.String(run.saved.c_str());
        const auto percent = run.kind.lasts
            ? 100
            : std::min<std::int64_t>(
                99, run.workingSince == 0 ? 0 : (run.workedMs + nowMs() - run.workingSince) * 100 / run.kind.ms);
        writer.Int64(std::max<std::int64_t>(percent, 0));
        writer.Int(run.kind.cpu);
        writer.EndArray();
    }
    writer.EndArray();
    writer.Key("ended");
    writer.StartArray();
    for (std::size_t i = 0; i < std::min(ends_.size(), maxEndsListed); ++i) {
        writer.StartArray();
        writer.Uint64(ends_[i].number);
        writer.String(ends_[i].task.c_str());
        writer.Uint64(ends_[i].run);
        writer.String(ends_[i].how.c_str());
        writer.String(ends_[i].saved.c_str());
        writer.EndArray();
    }
    writer.EndArray();
    writer.EndObject();
    return buffer.GetString();
}

void Worker::hold(std::uint64_t lastSeen, std::int64_t waitMs, const Exchange& exchange)
{
    for (const auto& each : ends_) {
        if (each.number <= lastSeen && each.how == "done" && !each.lapsed)
            tasks_.noted.insert(each.task);
    }
    std::erase_if(ends_, [&](const End& each) { return each.number <= lastSeen; });
    if (!ends_.empty() || waitMs == 0) {
        exchange->respond({ .status = 200, .fields = {}, .body = report() });
        return;
    }
    const auto number = ++lastWaiter_;
    waiters_[number] = exchange;
    loop_.after(waitMs, [this, exchange, number, alive = std::weak_ptr<bool>(alive_)] {
        if (alive.expired() || waiters_.erase(number) == 0)
            return;
        exchange->respond({ .status = 200, .fields = {}, .body = report() });
    });
}

namespace {

// Free ports that follow each other, below the ports that the system gives to outgoing connections. Scripts that run at
// the same time begin at different ports.
int freePorts(int count)
{
    constexpr int lowest = 12'000;
    constexpr int blocks = 19'000;
    static int next = (static_cast<int>(::getpid()) * 331) % blocks;
    for (int attempt = 0; attempt < blocks; ++attempt) {
        const int first = lowest + next;
        next = (next + count) % blocks;
        bool good = true;
        for (int i = 0; i < count && good; ++i) {
            const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            sockaddr_in address {};
            address.sin_family = AF_INET;
            address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            address.sin_port = htons(static_cast<std::uint16_t>(first + i));
            good = ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
            ::close(fd);
        }
        if (good)
            return first;
    }
    throw std::runtime_error("no free ports");
}

} // namespace

Entry::Entry(const std::string& folder, const std::string& name, const std::string& zone,
    const std::vector<std::string>& zones, const std::string& storeAddress, const std::string& limits)
    : folder_(folder)
    , name_(name)
    , settings_(folder + "/" + name + ".toml")
{
    front_ = freePorts(1);
    ready_ = freePorts(1);
    const auto internal = freePorts(16);
    std::ofstream text(settings_);
    text << "node_name = \"" << name << "\"\nrole = \"entry\"\nmachine_class = \"front\"\nserves = [\"front\"]\n"
         << "ip = \"127.0.0.1\"\nzone = \"" << zone << "\"\nregion = \"mindanao-north\"\ninternal_port_range = ["
         << internal << "," << internal + 15
         << "]\nseeds = []\nbootstrap = true\nin_tolerance = true\ndiscovery = \"platform\"\n"
         << "entry = \"virtual_ip\"\nheartbeat_ms = 1500\n"
         << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"platform\",\"advice\","
            "\"upkeep\",\"sharing\"]\norders = \"call\"\n[zones]\n";
    for (const auto& each : zones)
        text << each << " = \"mindanao-north\"\n";
    text << "[listen]\nfront = \"127.0.0.1:" << front_ << "\"\nready = \"127.0.0.1:" << ready_ << "\"\n"
         << "[limits]\n"
         << (limits.empty() ? "cpu_share = 0.25\ncores = 1\nmemory_mb = 260\nfile_descriptors = 4100\n"
                              "link_mbps = 1000.0\ndisk_mb = 0\n"
                            : limits)
         << "[fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n"
         << "[bounds]\nseed_lag_s = 3\nreuse_delay_s = 2\ncontact_ms = 3000\nack_timeout_ms = 4000\ncatch_up_s = 4\n"
            "drain_ms = 2000\ngrace_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = 2000\nrollback_slack_ms = 250\n"
            "max_stretch_ms = 5000\nrecovery_s = 12\nmax_hold_ms = 1000\nstop_grace_ms = 50\ngang_timeout_ms = 3000\n"
            "cancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nremote_penalty = 2\n"
            "checkpoint_s = 0.5\nrestore_ms = 100\nnotice_ms = 4500\nmove_s = 1.5\nmaintenance_s = 2\n"
            "fencing_required = true\nlease_ms = 3000\nthaw_slack_ms = 300\npace_ms = 100\nharm_ms = 4000\n"
            "resend_ms = 1300\n"
         << "[platform]\naddress = \"" << storeAddress
         << "\"\nform = \"table\"\nwrites_per_s = 800\n"
            "reads_per_s = 2000\ntx_ms = 6.0\npartition_writes_s = 200\nrow_bytes = 65536\nacross = false\n"
            "history_s = 20\n[cloud]\naddress = \"127.0.0.1:9\"\nrate_per_s = 60.0\nduties = []\nduties_per_s = 60.0\n";
    text.close();
    start();
}

void Entry::start()
{
    const char* program = std::getenv("BALSAMMILL");
    const std::string path = program == nullptr ? "target/apps/balsammill/balsammill" : program;
    const auto log = folder_ + "/" + name_ + ".log";
    const auto variable = "BALSAMMILL_SETTINGS=" + settings_;
    process_ = ::fork();
    if (process_ != 0)
        return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
    ::dup2(fd, 1);
    ::dup2(fd, 2);
    for (int each = 3; each < 1024; ++each)
        ::close(each);
    std::vector<char*> environment { const_cast<char*>(variable.c_str()), nullptr };
    std::vector<char*> arguments { const_cast<char*>(path.c_str()), const_cast<char*>("node"), nullptr };
    ::execve(path.c_str(), arguments.data(), environment.data());
    ::_exit(127);
}

void Entry::signal(int number) const
{
    if (process_ > 0)
        ::kill(process_, number);
}

void Entry::wait()
{
    if (process_ > 0)
        ::waitpid(process_, nullptr, 0);
    process_ = 0;
}

Entry::~Entry()
{
    signal(SIGCONT);
    signal(SIGKILL);
    wait();
}

Answer call(int port, const std::string& method, const std::string& path, const std::string& body, int timeoutMs)
{
    Answer answer;
    const auto deadline = nowMs() + timeoutMs;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    const auto waitFor = [&](short what) {
        pollfd each { .fd = fd, .events = what, .revents = 0 };
        const auto left = deadline - nowMs();
        return left > 0 && ::poll(&each, 1, static_cast<int>(left)) == 1;
    };
    const bool connected = ::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0
        || (errno == EINPROGRESS && waitFor(POLLOUT));
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Balsammill-Deadline-Ms: "
        + std::to_string(timeoutMs) + "\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
    std::size_t sent = 0;
    while (connected && sent < text.size()) {
        const auto count = ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count > 0)
            sent += static_cast<std::size_t>(count);
        else if (errno != EAGAIN || !waitFor(POLLOUT))
            break;
    }
    std::string received;
    bool ended = false;
    while (connected && sent == text.size() && !ended && waitFor(POLLIN)) {
        char block[4096];
        const auto count = ::recv(fd, block, sizeof block, 0);
        if (count > 0)
            received.append(block, static_cast<std::size_t>(count));
        ended = count == 0 || (count < 0 && errno != EAGAIN);
    }
    ::close(fd);
    const auto head = received.find("\r\n\r\n");
    if (ended && head != std::string::npos && received.starts_with("HTTP/1.1 ")) {
        answer.status = std::atoi(received.c_str() + 9);
        answer.body = received.substr(head + 4);
    }
    return answer;
}

World::World(const std::string& recordPath, const WorldOptions& options)
    : record(recordPath)
{
    char name[] = "/tmp/review-XXXXXX";
    folder_ = ::mkdtemp(name);
    zones_ = options.zones;
    store = std::make_unique<Store>(loop, record);
    loop.run([&] {
        store->put("op", "config",
            R"({"version":7,"routes":[{"name":"r-1","host":")" + std::string(host)
                + R"(","path_prefix":"/lohu930/","kind":"non_idempotent","timeout_ms":1500,"target_duration_ms":)"
                + std::to_string(options.targetMs) + R"(,"priority":0,"service":"tanim","max_attempts":)"
                + std::to_string(options.maxAttempts)
                + R"(,"stretch":1.6}],"services":[{"name":"tanim","health_path":"/health","max_connections":64,)"
                  R"("protocol":"h1","tls":false,"rejects_overload":false,"spare":false}],"limits":{"max_header_bytes":)"
                  R"(16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}})");
    });
    for (std::size_t z = 0; z < options.zones.size(); ++z) {
        for (int i = 0; i < options.workers[z]; ++i)
            workers.push_back(std::make_unique<Worker>(loop, *store, record, tasks,
                Worker::Options { .id = "i-" + options.zones[z] + "-" + std::to_string(i),
                    .zone = options.zones[z],
                    .rack = "r" + std::to_string(z) + "-" + std::to_string(i / 4),
                    .cpu = options.cpu }));
    }
    for (const auto& zone : options.zones) {
        for (int i = 0; i < options.entries; ++i)
            entries.push_back(std::make_unique<Entry>(
                folder_, "front-" + zone + "-" + std::to_string(i + 1), zone, options.zones, store->address()));
    }
}

void World::stop()
{
    entries.clear();
    if (std::getenv("KEEP_LOGS") != nullptr)
        std::fprintf(stderr, "logs in %s\n", folder_.c_str());
    else
        std::filesystem::remove_all(folder_);
}

Entry* World::ownerOf(const std::string& zone)
{
    std::vector<std::string> names;
    for (const auto& each : entries)
        names.push_back(each->name());
    const auto name = loop.run([&] { return store->writerOf(zone, names); });
    for (const auto& each : entries)
        if (each->name() == name)
            return each.get();
    return nullptr;
}

void World::addEntry(const std::string& zone, const std::string& name)
{
    entries.push_back(std::make_unique<Entry>(folder_, name, zone, zones_, store->address()));
}

bool World::waitUntilReady()
{
    const auto until = nowMs() + 20'000;
    while (nowMs() < until) {
        bool all = true;
        for (const auto& each : entries)
            all = all && call(each->readyPort(), "GET", "/balsammill/readiness", "", 500).status == 200;
        if (all) {
            record.line("all entries are ready");
            return true;
        }
        sleepMs(100);
    }
    return false;
}

Answer World::callSomeEntry(const std::string& method, const std::string& path, const std::string& body, int timeoutMs)
{
    while (!entries[nextEntry_ % entries.size()]->isUp())
        ++nextEntry_;
    const auto& entry = *entries[nextEntry_++ % entries.size()];
    const auto answer = call(entry.frontPort(), method, path, body, timeoutMs);
    record.line(method + " " + path + " at " + entry.name() + " -> " + std::to_string(answer.status) + " "
        + answer.body.substr(0, 120));
    return answer;
}

bool World::submit(const std::string& id, const std::string& body, int seconds)
{
    const auto until = nowMs() + seconds * 1000;
    while (nowMs() < until) {
        const auto answer = callSomeEntry("POST", "/lohu930/" + id, body, 1500);
        if (answer.status / 100 == 2)
            return true;
        if (answer.status / 100 == 4 && answer.status != 429)
            return false;
        sleepMs(answer.status == 429 || answer.status == 503 ? 500 : 100);
    }
    return false;
}

Answer World::stateOf(const std::string& id, int timeoutMs)
{
    return callSomeEntry("GET", "/lohu930/" + id, "", timeoutMs);
}

Answer World::cancel(const std::string& id, int timeoutMs)
{
    return callSomeEntry("DELETE", "/lohu930/" + id, "", timeoutMs);
}

std::pair<int, int> World::usage()
{
    return loop.run([this] {
        std::pair<int, int> sum;
        for (const auto& worker : workers) {
            if (!worker->isUp())
                continue;
            sum.first += worker->usedCpu();
            sum.second += worker->options().cpu;
        }
        return sum;
    });
}

bool World::isRunning(const std::string& job)
{
    return loop.run([&] {
        return std::any_of(workers.begin(), workers.end(), [&](const auto& each) { return each->runsJob(job); });
    });
}

int World::startsOf(const std::string& job)
{
    return loop.run([&] {
        int sum = 0;
        for (const auto& [task, count] : tasks.started)
            sum += task.starts_with(job + ".") ? count : 0;
        return sum;
    });
}

std::vector<std::string> World::violations()
{
    return loop.run([this] { return tasks.violations; });
}

} // namespace Review
