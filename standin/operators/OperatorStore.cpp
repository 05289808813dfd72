#include "OperatorStore.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/URI.h>
#include <boost/asio/steady_timer.hpp>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <sstream>

namespace Standin {

using Balsammill::HttpExchange;
using Balsammill::HttpRequest;

namespace {

std::string encode(const std::string& bytes)
{
    std::ostringstream text;
    Poco::Base64Encoder encoder(text);
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return text.str();
}

std::string decode(const std::string& text)
{
    std::istringstream input(text);
    Poco::Base64Decoder decoder(input);
    return { std::istreambuf_iterator<char>(decoder), std::istreambuf_iterator<char>() };
}

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

constexpr std::string_view controlPrefix = "/control/";
constexpr std::size_t maxRowsPerPage = 500;
constexpr std::size_t maxTransactionEntries = 100;
constexpr std::size_t maxTransactionBytes = 1'000'000;
// Larger than a transaction may be, so that this class and not its server rejects a transaction.
constexpr std::size_t maxRequestBytes = 4'000'000;

void writeRow(Writer& writer, const std::string& table, const std::string& part, const std::string& key,
    const std::string& value, std::uint64_t version)
{
    writer.Key("table");
    writer.String(table.c_str());
    writer.Key("part");
    writer.String(part.c_str());
    writer.Key("key");
    writer.String(key.c_str());
    writer.Key("value");
    writer.String(encode(value).c_str());
    writer.Key("ver");
    writer.Uint64(version);
}

/// Forwards the response to another exchange after a delay.
class DelayedExchange : public HttpExchange {
public:
    DelayedExchange(std::shared_ptr<HttpExchange> inner, boost::asio::io_context& loop, std::chrono::milliseconds delay)
        : inner_(std::move(inner))
        , timer_(std::make_shared<boost::asio::steady_timer>(loop, delay))
    {
    }

    void respond(const Balsammill::HttpResponse& response) override
    {
        timer_->async_wait([inner = inner_, timer = timer_, response](const boost::system::error_code& error) {
            if (!error)
                inner->respond(response);
        });
    }
    bool hasClientLeft() override { return inner_->hasClientLeft(); }
    void onAbandoned(std::function<void()> callback) override { inner_->onAbandoned(std::move(callback)); }

private:
    std::shared_ptr<HttpExchange> inner_;
    std::shared_ptr<boost::asio::steady_timer> timer_;
};

} // namespace

OperatorStore::OperatorStore(LoopThread& loop)
    : OperatorStore(loop, Options {})
{
}

OperatorStore::OperatorStore(LoopThread& loop, const Options& options)
    : loop_(loop)
    , rowBytes_(options.rowBytes)
    , random_(options.seed)
{
    loop_.run([this, &options] {
        const Balsammill::NetworkAddress address("127.0.0.1:" + std::to_string(options.port));
        server_ = std::make_unique<Balsammill::HttpServer>(loop_.context(), address,
            [this](const HttpRequest& request, const std::shared_ptr<HttpExchange>& exchange) {
                handle(request, exchange);
            });
        server_->setLimits({ .maxBodyBytes = maxRequestBytes });
        address_ = server_->localAddress().value;
    });
}

OperatorStore::~OperatorStore()
{
    loop_.run([this] {
        feedWaiters_.clear();
        server_.reset();
    });
}

void OperatorStore::put(const std::string& table, const std::string& key, const std::string& value)
{
    loop_.run([&] { setRow(table, key, value, false); });
}

void OperatorStore::remove(const std::string& table, const std::string& key)
{
    loop_.run([&] { setRow(table, key, {}, true); });
}

void OperatorStore::setRow(const std::string& table, const std::string& key, const std::string& value, bool deleted)
{
    ++version_;
    rows_[{ table, {}, key }] = { .value = value, .version = version_, .deleted = deleted };
    answerFeedWaiters();
}

std::string OperatorStore::valueOf(const std::string& table, const std::string& key)
{
    return loop_.run([&] {
        const auto found = rows_.find({ table, {}, key });
        return found == rows_.end() || found->second.deleted ? std::string() : found->second.value;
    });
}

void OperatorStore::setFaults(const StoreFaults& faults)
{
    loop_.run([&] { faults_ = faults; });
}

void OperatorStore::dropNextAnswers(int writes)
{
    loop_.run([&] { answersToDrop_ = writes; });
}

void OperatorStore::discardHistory()
{
    loop_.run([&] { oldestFeedVersion_ = version_; });
}

std::uint64_t OperatorStore::writes()
{
    return loop_.run([&] { return writes_; });
}

std::uint64_t OperatorStore::rejectedWrites()
{
    return loop_.run([&] { return rejectedWrites_; });
}

std::size_t OperatorStore::largestValue(const std::string& keyPart)
{
    return loop_.run([&] {
        std::size_t largest = 0;
        for (const auto& [key, bytes] : largestValues_) {
            if (key.find(keyPart) != std::string::npos)
                largest = std::max(largest, bytes);
        }
        return largest;
    });
}

void OperatorStore::runAfter(std::chrono::milliseconds delay, std::function<void()> action)
{
    if (delay.count() == 0) {
        action();
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(loop_.context());
    timer->expires_after(delay);
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code& error) {
        if (!error)
            action();
    });
}

void OperatorStore::handle(const HttpRequest& request, const std::shared_ptr<HttpExchange>& exchange)
{
    const auto path = Poco::URI(request.target).getPath();
    if (path.starts_with(controlPrefix)) {
        handleControl(request, path, *exchange);
        return;
    }
    const bool writes = path == "/balsammill/rows-tx";
    if (faults_.outage || (writes && exceedsWriteRate())) {
        exchange->respond({ .status = faults_.outage ? 503U : 429U, .fields = {}, .body = {} });
        return;
    }
    auto target = exchange;
    if (faults_.answerJitter.count() > 0) {
        std::uniform_int_distribution<std::int64_t> jitter(0, faults_.answerJitter.count());
        target
            = std::make_shared<DelayedExchange>(exchange, loop_.context(), std::chrono::milliseconds(jitter(random_)));
    }
    runAfter(writes ? faults_.writeDelay : faults_.readDelay,
        [this, request, path, target] { handleCall(request, path, target); });
}

bool OperatorStore::exceedsWriteRate()
{
    if (faults_.writesPerSecond <= 0)
        return false;
    // Permits bursts of as many writes as the rate allows in 1 s.
    const auto now = std::chrono::steady_clock::now();
    const auto spacing = std::chrono::duration_cast<std::chrono::steady_clock::duration>(
        std::chrono::duration<double>(1 / faults_.writesPerSecond));
    if (nextWriteAt_ > now + std::chrono::seconds(1))
        return true;
    nextWriteAt_ = std::max(nextWriteAt_, now) + spacing;
    return false;
}

void OperatorStore::handleControl(const HttpRequest& request, const std::string& path, HttpExchange& exchange)
{
    constexpr std::string_view rowsPrefix = "/control/rows/";
    if (path.starts_with(rowsPrefix)) {
        const auto name = path.substr(rowsPrefix.size());
        const auto slash = name.find('/');
        if (slash == std::string::npos || (request.method != "PUT" && request.method != "DELETE")) {
            exchange.respond({ .status = 400, .fields = {}, .body = {} });
            return;
        }
        setRow(name.substr(0, slash), name.substr(slash + 1), request.body, request.method == "DELETE");
        exchange.respond({ .status = 200, .fields = {}, .body = {} });
        return;
    }
    rapidjson::Document body;
    body.Parse(request.body.data(), request.body.size());
    if (path != "/control/faults" || request.method != "PUT" || !body.IsObject()) {
        exchange.respond({ .status = 404, .fields = {}, .body = {} });
        return;
    }
    auto next = faults_;
    const auto numberOr = [&](const char* name, double current) {
        return body.HasMember(name) && body[name].IsNumber() ? body[name].GetDouble() : current;
    };
    if (body.HasMember("outage") && body["outage"].IsBool())
        next.outage = body["outage"].GetBool();
    next.loseAnswers = numberOr("lose_answers", next.loseAnswers);
    next.writesPerSecond = numberOr("writes_per_second", next.writesPerSecond);
    next.writeDelay = std::chrono::milliseconds(
        static_cast<int>(numberOr("write_delay_ms", static_cast<double>(next.writeDelay.count()))));
    next.readDelay = std::chrono::milliseconds(
        static_cast<int>(numberOr("read_delay_ms", static_cast<double>(next.readDelay.count()))));
    if (next.loseAnswers < 0 || next.loseAnswers > 1) {
        exchange.respond({ .status = 400, .fields = {}, .body = {} });
        return;
    }
    faults_ = next;
    exchange.respond({ .status = 200, .fields = {}, .body = {} });
}

void OperatorStore::handleCall(
    const HttpRequest& request, const std::string& path, const std::shared_ptr<HttpExchange>& exchange)
{
    const Poco::URI uri(request.target);
    std::map<std::string, std::string> query;
    for (const auto& [key, value] : uri.getQueryParameters())
        query[key] = value;
    // An outage that began while the call was delayed applies to it as well.
    if (faults_.outage)
        exchange->respond({ .status = 503, .fields = {}, .body = {} });
    else if (path == "/balsammill/rows-tx")
        handleWrite(request, exchange);
    else if (path == "/balsammill/rows-get" && faults_.refuseEveryNthRead > 0
        && ++reads_ % faults_.refuseEveryNthRead == 0)
        exchange->respond({ .status = 503, .fields = {}, .body = {} });
    else if (path == "/balsammill/rows-get")
        handleRead(query, *exchange);
    else if (path == "/balsammill/rows-feed")
        handleFeed(query, exchange);
    else
        exchange->respond({ .status = 404, .fields = {}, .body = {} });
}

std::string OperatorStore::rejectionOf(const HttpRequest& request, const rapidjson::Document& body) const
{
    if (!body.IsObject())
        return "not a JSON object";
    const auto entries = body["precondition"].Size() + body["puts"].Size() + body["remove"].Size();
    if (entries > maxTransactionEntries || request.body.size() > maxTransactionBytes)
        return "the transaction has " + std::to_string(entries) + " entries and " + std::to_string(request.body.size())
            + " bytes";
    for (const auto& put : body["puts"].GetArray()) {
        const std::string key = put["key"].GetString();
        if (put["value"].GetStringLength() > rowBytes_)
            return "the row " + key + " has " + std::to_string(put["value"].GetStringLength()) + " bytes";
        if (!faults_.rejectedKey.empty() && key.find(faults_.rejectedKey) != std::string::npos)
            return "the row " + key + " is rejected";
    }
    return {};
}

void OperatorStore::handleWrite(const HttpRequest& request, const std::shared_ptr<HttpExchange>& exchange)
{
    ++writes_;
    rapidjson::Document body;
    body.Parse(request.body.data(), request.body.size());
    if (const auto reason = rejectionOf(request, body); !reason.empty()) {
        ++rejectedWrites_;
        if (answersToDrop_ > 0)
            --answersToDrop_;
        else
            exchange->respond({ .status = 400, .fields = {}, .body = R"({"error":")" + reason + "\"}" });
        return;
    }
    const auto keyOf = [](const rapidjson::Value& row) {
        return Key { row["table"].GetString(), row["part"].GetString(), row["key"].GetString() };
    };
    rapidjson::StringBuffer buffer;
    Writer writer(buffer);
    bool preconditionHolds = true;
    writer.StartObject();
    writer.Key("rows");
    writer.StartArray();
    for (const auto& condition : body["precondition"].GetArray()) {
        const auto key = keyOf(condition);
        const auto found = rows_.find(key);
        const bool exists = found != rows_.end() && !found->second.deleted;
        const auto version = exists ? found->second.version : 0;
        preconditionHolds = preconditionHolds && version == condition["ver"].GetUint64();
        writer.StartObject();
        writeRow(writer, key.table, key.part, key.key, exists ? found->second.value : std::string(), version);
        writer.EndObject();
    }
    writer.EndArray();
    if (preconditionHolds) {
        ++version_;
        for (const auto& put : body["puts"].GetArray()) {
            rows_[keyOf(put)] = { .value = decode(put["value"].GetString()), .version = version_, .deleted = false };
            auto& largest = largestValues_[put["key"].GetString()];
            largest = std::max<std::size_t>(largest, put["value"].GetStringLength());
        }
        for (const auto& removal : body["remove"].GetArray())
            rows_[keyOf(removal)] = { .value = {}, .version = version_, .deleted = true };
    }
    writer.Key("ver");
    writer.Uint64(version_);
    writer.EndObject();
    const bool lost = std::bernoulli_distribution(faults_.loseAnswers)(random_);
    if (answersToDrop_ > 0)
        --answersToDrop_;
    else if (!lost)
        exchange->respond({ .status = preconditionHolds ? 200U : 412U, .fields = {}, .body = buffer.GetString() });
    answerFeedWaiters();
}

void OperatorStore::handleRead(const std::map<std::string, std::string>& query, HttpExchange& exchange)
{
    const auto parameter = [&](const char* name) {
        const auto found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    };
    const auto table = parameter("table");
    const auto part = parameter("part");
    const auto endKey = parameter("target");
    const auto limit = parameter("limit").empty() ? maxRowsPerPage : std::stoul(parameter("limit"));
    std::size_t count = 0;
    bool hasMore = false;
    rapidjson::StringBuffer buffer;
    Writer writer(buffer);
    writer.StartObject();
    writer.Key("rows");
    writer.StartArray();
    for (auto it = rows_.lower_bound({ table, part, parameter("from") }); it != rows_.end(); ++it) {
        const auto& [key, row] = *it;
        if (key.table != table || key.part != part || (!endKey.empty() && key.key >= endKey))
            break;
        if (row.deleted)
            continue;
        hasMore = count == limit;
        if (hasMore)
            break;
        ++count;
        writer.StartObject();
        writeRow(writer, key.table, key.part, key.key, row.value, row.version);
        writer.EndObject();
    }
    writer.EndArray();
    writer.Key("has_more");
    writer.Bool(hasMore);
    writer.Key("ver");
    writer.Uint64(version_);
    writer.EndObject();
    exchange.respond({ .status = 200, .fields = {}, .body = buffer.GetString() });
}

void OperatorStore::handleFeed(
    const std::map<std::string, std::string>& query, const std::shared_ptr<HttpExchange>& exchange)
{
    const auto after = std::stoull(query.at("after"));
    if (after < oldestFeedVersion_) {
        exchange->respond({ .status = 410, .fields = {}, .body = {} });
        return;
    }
    feedWaiters_.push_back({ .table = query.at("table"), .after = after, .exchange = exchange });
    runAfter(std::chrono::milliseconds(std::max(std::stoi(query.at("wait_ms")), 1)), [this, exchange] {
        const auto found = std::find_if(feedWaiters_.begin(), feedWaiters_.end(),
            [&](const FeedWaiter& waiter) { return waiter.exchange == exchange; });
        if (found == feedWaiters_.end())
            return;
        const auto body = changesAfter(found->table, found->after);
        feedWaiters_.erase(found);
        exchange->respond({ .status = 200, .fields = {}, .body = body });
    });
    answerFeedWaiters();
}

std::string OperatorStore::changesAfter(const std::string& table, std::uint64_t after) const
{
    rapidjson::StringBuffer buffer;
    Writer writer(buffer);
    writer.StartObject();
    writer.Key("rows");
    writer.StartArray();
    for (const auto& [key, row] : rows_) {
        if (key.table != table || row.version <= after)
            continue;
        writer.StartObject();
        writeRow(writer, key.table, key.part, key.key, row.value, row.version);
        if (row.deleted) {
            writer.Key("deleted");
            writer.Bool(true);
        }
        writer.EndObject();
    }
    writer.EndArray();
    writer.Key("ver");
    writer.Uint64(version_);
    writer.EndObject();
    return buffer.GetString();
}

void OperatorStore::answerFeedWaiters()
{
    std::vector<FeedWaiter> ready;
    for (auto it = feedWaiters_.begin(); it != feedWaiters_.end();) {
        const bool changed = std::any_of(rows_.begin(), rows_.end(),
            [&](const auto& entry) { return entry.first.table == it->table && entry.second.version > it->after; });
        if (changed) {
            ready.push_back(*it);
            it = feedWaiters_.erase(it);
        } else {
            ++it;
        }
    }
    for (const auto& waiter : ready)
        waiter.exchange->respond({ .status = 200, .fields = {}, .body = changesAfter(waiter.table, waiter.after) });
}

} // namespace Standin
