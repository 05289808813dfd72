#include "PlatformService.h"

#include <Poco/Base64Encoder.h>
#include <Poco/JSON/Array.h>

#include <sstream>
#include <stdexcept>
#include <thread>

namespace Balsammill::Standin {

namespace {

constexpr std::string_view tablePrefix = "/v1/table/";
constexpr std::string_view objectPrefix = "/v1/objects/";

std::string encodeBase64(const std::string& value)
{
    std::ostringstream text;
    Poco::Base64Encoder encoder(text);
    encoder.rdbuf()->setLineLength(0);
    encoder << value;
    encoder.close();
    return text.str();
}

Duration milliseconds(const Poco::JSON::Object& object, const std::string& member, Duration present)
{
    if (!object.has(member))
        return present;
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(object.getValue<double>(member)));
}

template <typename T> T optional(const Poco::JSON::Object& object, const std::string& member, T present)
{
    return object.has(member) ? object.getValue<T>(member) : present;
}

void sendStatus(HttpResponse& response, int status, std::string_view text = {})
{
    sendAnswer(response, status, "text/plain", text);
}

WriteCondition conditionOf(const HttpRequest& request)
{
    WriteCondition condition;
    if (request.has("If-Match"))
        condition.ifMatch = request.get("If-Match");
    condition.mustBeAbsent = request.get("If-None-Match", "") == "*";
    return condition;
}

} // namespace

PlatformService::PlatformService(std::uint64_t seed)
    : random_(seed)
{
}

void PlatformService::handle(HttpRequest& request, HttpResponse& response)
{
    const auto target = parseTarget(request.getURI());
    if (target.path.starts_with("/control/"))
        handleControl(request, response, target);
    else if (refusedByOutage(response))
        return;
    else if (request.getMethod() == "GET")
        handleRead(response, target);
    else if (request.getMethod() == "PUT")
        handleWrite(request, response, target);
    else
        sendStatus(response, 405);
}

bool PlatformService::refusedByOutage(HttpResponse& response)
{
    {
        std::lock_guard lock(mutex_);
        if (!faults_.outage)
            return false;
        ++counters_.refusedByOutage;
    }
    response.setKeepAlive(false);
    sendStatus(response, 503, "outage\n");
    return true;
}

PlatformTable* PlatformService::storeOf(const std::string& path, std::string& key)
{
    for (const auto& [prefix, store] : { std::pair(tablePrefix, &table_), std::pair(objectPrefix, &objects_) }) {
        if (path.starts_with(prefix) && path.size() > prefix.size()) {
            key = path.substr(prefix.size());
            return store;
        }
    }
    return nullptr;
}

void PlatformService::handleRead(HttpResponse& response, const Target& target)
{
    Duration delay;
    {
        std::lock_guard lock(mutex_);
        delay = faults_.readDelay;
    }
    std::this_thread::sleep_for(delay);
    std::unique_lock lock(mutex_);
    std::string key;
    if (target.path == "/v1/vms") {
        ++counters_.vmListReads;
        const auto document = vms_.visible(monotonicNow(), faults_.listLag);
        lock.unlock();
        sendAnswer(response, 200, "application/json", document);
    } else if (target.path == "/v1/table") {
        ++counters_.reads;
        lock.unlock();
        sendTable(response, queryValue(target, "prefix"));
    } else if (const auto* store = storeOf(target.path, key)) {
        ++counters_.reads;
        lock.unlock();
        sendValue(response, *store, key);
    } else {
        lock.unlock();
        sendStatus(response, 404);
    }
}

void PlatformService::sendTable(HttpResponse& response, const std::string& prefix) const
{
    Poco::JSON::Array::Ptr rows(new Poco::JSON::Array);
    {
        std::lock_guard lock(mutex_);
        for (const auto& [key, stored] : table_.list(prefix)) {
            Poco::JSON::Object row;
            row.set("key", key);
            row.set("value_base64", encodeBase64(stored.value));
            row.set("etag", stored.etag);
            rows->add(row);
        }
    }
    Poco::JSON::Object document;
    document.set("values", rows);
    sendJson(response, document);
}

void PlatformService::sendValue(HttpResponse& response, const PlatformTable& store, const std::string& key) const
{
    std::unique_lock lock(mutex_);
    const auto stored = store.read(key);
    lock.unlock();
    if (!stored) {
        sendStatus(response, 404);
        return;
    }
    response.set("ETag", stored->etag);
    sendAnswer(response, 200, "application/octet-stream", stored->value);
}

bool PlatformService::waitForTurn(HttpResponse& response)
{
    std::unique_lock lock(mutex_);
    const auto turn = pacer_.reserve(monotonicNow(), faults_.writesPerSecond);
    const auto delay = faults_.writeDelay;
    if (!turn)
        ++counters_.refusedByRate;
    lock.unlock();
    if (!turn) {
        sendStatus(response, 503, "too many writes\n");
        return false;
    }
    std::this_thread::sleep_until(*turn + delay);
    return true;
}

void PlatformService::handleWrite(HttpRequest& request, HttpResponse& response, const Target& target)
{
    std::string key;
    auto* store = storeOf(target.path, key);
    if (store == nullptr) {
        sendStatus(response, 404);
        return;
    }
    auto value = readBody(request);
    // An outage that began while the write waited stops it, too.
    if (!waitForTurn(response) || refusedByOutage(response))
        return;

    std::unique_lock lock(mutex_);
    const auto result = store->write(key, std::move(value), conditionOf(request));
    const auto* stored = std::get_if<Stored>(&result);
    ++(stored != nullptr ? counters_.writes : counters_.conflicts);
    const bool lost = std::bernoulli_distribution(faults_.loseAnswers)(random_);
    counters_.lostAnswers += lost ? 1 : 0;
    lock.unlock();

    if (lost) {
        closeWithoutAnswer(response);
    } else if (stored != nullptr) {
        response.set("ETag", stored->etag);
        sendStatus(response, stored->created ? 201 : 200);
    } else {
        sendStatus(response, 412);
    }
}

void PlatformService::handleControl(HttpRequest& request, HttpResponse& response, const Target& target)
{
    const auto action = request.getMethod() + " " + target.path;
    if (action == "PUT /control/vms") {
        auto document = readBody(request);
        std::lock_guard lock(mutex_);
        vms_.set(std::move(document), monotonicNow());
    } else if (action == "PUT /control/faults") {
        setFaults(*readJson(request));
    } else if (action == "GET /control/counters") {
        sendCounters(response);
        return;
    } else {
        sendStatus(response, 404);
        return;
    }
    sendStatus(response, 200);
}

void PlatformService::setFaults(const Poco::JSON::Object& object)
{
    std::lock_guard lock(mutex_);
    PlatformFaults next {
        .writeDelay = milliseconds(object, "write_delay_ms", faults_.writeDelay),
        .readDelay = milliseconds(object, "read_delay_ms", faults_.readDelay),
        .outage = optional(object, "outage", faults_.outage),
        .loseAnswers = optional(object, "lose_answers", faults_.loseAnswers),
        .listLag = milliseconds(object, "list_lag_ms", faults_.listLag),
        .writesPerSecond = optional(object, "writes_per_second", faults_.writesPerSecond),
    };
    if (next.loseAnswers < 0 || next.loseAnswers > 1)
        throw std::invalid_argument("lose_answers must be from 0 to 1, is " + std::to_string(next.loseAnswers));
    faults_ = next;
}

void PlatformService::sendCounters(HttpResponse& response) const
{
    Poco::JSON::Object object;
    {
        std::lock_guard lock(mutex_);
        object.set("reads", counters_.reads);
        object.set("writes", counters_.writes);
        object.set("conflicts", counters_.conflicts);
        object.set("lost_answers", counters_.lostAnswers);
        object.set("vm_list_reads", counters_.vmListReads);
        object.set("refused_by_outage", counters_.refusedByOutage);
        object.set("refused_by_rate", counters_.refusedByRate);
    }
    sendJson(response, object);
}

} // namespace Balsammill::Standin
