#include "balsammill/platform/PlatformClient.h"

#include "HttpExchange.h"
#include "PlatformDocuments.h"

#include "balsammill/base/Log.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>

#include <utility>

namespace Balsammill {

namespace {

using Detail::HttpAnswer;
using Detail::HttpFailure;
using Detail::HttpRequest;

std::string encodeKey(const std::string& key)
{
    std::string encoded;
    Poco::URI::encode(key, ":/?#[]@!$&'()*+,;=%", encoded);
    return encoded;
}

std::string tablePath(const std::string& key) { return "/v1/table/" + encodeKey(key); }

std::string unexpectedStatus(const HttpAnswer& answer) { return "status " + std::to_string(answer.status); }

bool isSuccess(const HttpAnswer& answer) { return answer.status >= 200 && answer.status < 300; }

WriteResult judgeWrite(const HttpAnswer& answer)
{
    if (answer.status == 412)
        return WriteConflict {};
    if (!isSuccess(answer))
        return WriteInDoubt { unexpectedStatus(answer) };
    if (answer.etag.empty())
        return WriteInDoubt { "answer without ETag" };
    return Written { ETag(answer.etag) };
}

/// Hands a complete answer to the parser; everything else, and what the parser throws, is unavailability.
template <typename Result, typename Parse> Result readAnswer(const Detail::HttpResult& result, Parse parse)
{
    if (const auto* failure = std::get_if<HttpFailure>(&result))
        return PlatformUnavailable { failure->cause };
    const auto& answer = std::get<HttpAnswer>(result);
    try {
        return parse(answer);
    } catch (const Poco::Exception& error) {
        return PlatformUnavailable { "malformed answer: " + error.displayText() };
    } catch (const std::exception& error) {
        return PlatformUnavailable { std::string("malformed answer: ") + error.what() };
    }
}

} // namespace

PlatformClient::PlatformClient(PlatformOptions options)
    : options_(std::move(options))
{
}

ReadResult PlatformClient::read(const std::string& key) const
{
    const auto result = Detail::exchange(
        options_.address, { .method = "GET", .path = tablePath(key) }, monotonicNow() + options_.timeout);
    return readAnswer<ReadResult>(result, [&key](const HttpAnswer& answer) -> ReadResult {
        if (answer.status == 404)
            return KeyAbsent {};
        if (answer.status != 200)
            return PlatformUnavailable { unexpectedStatus(answer) };
        if (answer.etag.empty())
            return PlatformUnavailable { "answer without ETag" };
        return TableValue { .key = key, .value = answer.body, .etag = ETag(answer.etag) };
    });
}

ListResult PlatformClient::list(const std::string& prefix) const
{
    const auto result = Detail::exchange(options_.address,
        { .method = "GET", .path = "/v1/table?prefix=" + encodeKey(prefix) }, monotonicNow() + options_.timeout);
    return readAnswer<ListResult>(result, [](const HttpAnswer& answer) -> ListResult {
        if (answer.status != 200)
            return PlatformUnavailable { unexpectedStatus(answer) };
        return Detail::parseTableList(answer.body);
    });
}

WriteResult PlatformClient::conditionalWrite(
    const std::string& key, const std::string& value, const std::optional<ETag>& expected) const
{
    HttpRequest request { .method = "PUT", .path = tablePath(key), .body = value };
    if (expected)
        request.headers.emplace_back("If-Match", expected->value);
    else
        request.headers.emplace_back("If-None-Match", "*");
    const auto result = Detail::exchange(options_.address, request, monotonicNow() + options_.timeout);
    if (const auto* failure = std::get_if<HttpFailure>(&result)) {
        if (failure->anyByteSent)
            return WriteInDoubt { failure->cause };
        return WriteNotSent { failure->cause };
    }
    return judgeWrite(std::get<HttpAnswer>(result));
}

VmListResult PlatformClient::listVms() const
{
    const auto result
        = Detail::exchange(options_.address, { .method = "GET", .path = "/v1/vms" }, monotonicNow() + options_.timeout);
    return readAnswer<VmListResult>(result, [](const HttpAnswer& answer) -> VmListResult {
        if (answer.status != 200)
            return PlatformUnavailable { unexpectedStatus(answer) };
        auto parsed = Detail::parseVmList(answer.body);
        if (parsed.malformedRows > 0) {
            logWarning(LogPart::Platform,
                "The VM list has " + std::to_string(parsed.malformedRows) + " malformed rows, which were skipped.");
        }
        return std::move(parsed.vms);
    });
}

} // namespace Balsammill
