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

} // namespace

OperatorStore::OperatorStore(LoopThread& loop)
    : loop_(loop)
{
    loop_.run([this] {
        server_ = std::make_unique<Balsammill::HttpServer>(loop_.context(), Balsammill::NetworkAddress("127.0.0.1:0"),
            [this](const HttpRequest& request, const std::shared_ptr<HttpExchange>& exchange) {
                handle(request, exchange);
            });
        address_ = server_->localAddress().value;
    });
}

OperatorStore::~OperatorStore()
{
    loop_.run([this] {
        waiters_.clear();
        server_.reset();
    });
}

void OperatorStore::put(const std::string& table, const std::string& key, const std::string& value)
{
    loop_.run([&] {
        ++version_;
        rows_[{ table, {}, key }] = { .value = value, .version = version_, .deleted = false };
        wakeWaiters();
    });
}

void OperatorStore::remove(const std::string& table, const std::string& key)
{
    loop_.run([&] {
        ++version_;
        rows_[{ table, {}, key }] = { .value = {}, .version = version_, .deleted = true };
        wakeWaiters();
    });
}

std::string OperatorStore::valueOf(const std::string& table, const std::string& key)
{
    return loop_.run([&] {
        const auto found = rows_.find({ table, {}, key });
        return found == rows_.end() || found->second.deleted ? std::string() : found->second.value;
    });
}

void OperatorStore::setDown(bool down)
{
    loop_.run([&] { down_ = down; });
}

void OperatorStore::loseAnswers(int writes)
{
    loop_.run([&] { lostAnswers_ = writes; });
}

void OperatorStore::forgetHistory()
{
    loop_.run([&] { oldestKnown_ = version_; });
}

std::uint64_t OperatorStore::writes()
{
    return loop_.run([&] { return writes_; });
}

void OperatorStore::handle(const HttpRequest& request, const std::shared_ptr<HttpExchange>& exchange)
{
    if (down_) {
        exchange->respond({ .status = 503, .fields = {}, .body = {} });
        return;
    }
    const Poco::URI uri(request.target);
    std::map<std::string, std::string> query;
    for (const auto& [key, value] : uri.getQueryParameters())
        query[key] = value;
    if (uri.getPath() == "/balsammill/rows-tx")
        handleWrite(request, exchange);
    else if (uri.getPath() == "/balsammill/rows-get")
        handleRead(query, *exchange);
    else if (uri.getPath() == "/balsammill/rows-feed")
        handleFeed(query, exchange);
    else
        exchange->respond({ .status = 404, .fields = {}, .body = {} });
}

void OperatorStore::handleWrite(const HttpRequest& request, const std::shared_ptr<HttpExchange>& exchange)
{
    ++writes_;
    rapidjson::Document body;
    body.Parse(request.body.data(), request.body.size());
    const auto keyOf = [](const rapidjson::Value& row) {
        return Key { row["table"].GetString(), row["part"].GetString(), row["key"].GetString() };
    };
    rapidjson::StringBuffer buffer;
    Writer writer(buffer);
    bool holds = true;
    writer.StartObject();
    writer.Key("rows");
    writer.StartArray();
    for (const auto& condition : body["precondition"].GetArray()) {
        const auto key = keyOf(condition);
        const auto found = rows_.find(key);
        const bool exists = found != rows_.end() && !found->second.deleted;
        const auto version = exists ? found->second.version : 0;
        holds = holds && version == condition["ver"].GetUint64();
        writer.StartObject();
        writeRow(writer, key.table, key.part, key.key, exists ? found->second.value : std::string(), version);
        writer.EndObject();
    }
    writer.EndArray();
    if (holds) {
        ++version_;
        for (const auto& put : body["puts"].GetArray())
            rows_[keyOf(put)] = { .value = decode(put["value"].GetString()), .version = version_, .deleted = false };
        for (const auto& removal : body["remove"].GetArray())
            rows_[keyOf(removal)] = { .value = {}, .version = version_, .deleted = true };
    }
    writer.Key("ver");
    writer.Uint64(version_);
    writer.EndObject();
    if (lostAnswers_ > 0)
        --lostAnswers_;
    else
        exchange->respond({ .status = holds ? 200U : 412U, .fields = {}, .body = buffer.GetString() });
    wakeWaiters();
}

void OperatorStore::handleRead(const std::map<std::string, std::string>& query, HttpExchange& exchange)
{
    const auto part = query.find("part");
    exchange.respond({ .status = 200,
        .fields = {},
        .body = changesAfter(query.at("table"), 0, part == query.end() ? std::string() : part->second) });
}

void OperatorStore::handleFeed(
    const std::map<std::string, std::string>& query, const std::shared_ptr<HttpExchange>& exchange)
{
    const auto after = std::stoull(query.at("after"));
    if (after < oldestKnown_) {
        exchange->respond({ .status = 410, .fields = {}, .body = {} });
        return;
    }
    waiters_.push_back({ .table = query.at("table"), .after = after, .exchange = exchange });
    auto timer = std::make_shared<boost::asio::steady_timer>(loop_.context());
    timer->expires_after(std::chrono::milliseconds(std::stoi(query.at("wait_ms"))));
    timer->async_wait([this, timer, exchange](const boost::system::error_code& error) {
        if (error)
            return;
        const auto found = std::find_if(
            waiters_.begin(), waiters_.end(), [&](const Waiter& waiter) { return waiter.exchange == exchange; });
        if (found == waiters_.end())
            return;
        const auto body = changesAfter(found->table, found->after, std::nullopt);
        waiters_.erase(found);
        exchange->respond({ .status = 200, .fields = {}, .body = body });
    });
    wakeWaiters();
}

std::string OperatorStore::changesAfter(
    const std::string& table, std::uint64_t after, const std::optional<std::string>& part) const
{
    rapidjson::StringBuffer buffer;
    Writer writer(buffer);
    writer.StartObject();
    writer.Key("rows");
    writer.StartArray();
    for (const auto& [key, row] : rows_) {
        if (key.table != table || (part && key.part != *part) || row.version <= after || (after == 0 && row.deleted))
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
    writer.Key("has_more");
    writer.Bool(false);
    writer.Key("ver");
    writer.Uint64(version_);
    writer.EndObject();
    return buffer.GetString();
}

void OperatorStore::wakeWaiters()
{
    std::vector<Waiter> ready;
    for (auto it = waiters_.begin(); it != waiters_.end();) {
        const bool changed = std::any_of(rows_.begin(), rows_.end(),
            [&](const auto& entry) { return entry.first.table == it->table && entry.second.version > it->after; });
        if (changed) {
            ready.push_back(*it);
            it = waiters_.erase(it);
        } else {
            ++it;
        }
    }
    for (const auto& waiter : ready)
        waiter.exchange->respond(
            { .status = 200, .fields = {}, .body = changesAfter(waiter.table, waiter.after, std::nullopt) });
}

} // namespace Standin
