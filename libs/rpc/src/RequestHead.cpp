#include "RequestHead.h"

#include "HttpStream.h"

#include <Poco/Exception.h>
#include <Poco/MemoryStream.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/String.h>

#include <algorithm>
#include <charconv>

namespace Balsammill::Detail {

namespace {

using Poco::Net::HTTPRequest;

constexpr std::size_t maxTimeoutDigits = 10;
constexpr std::size_t maxClientAccountBytes = 128;
constexpr std::string_view bearerPrefix = "bearer ";

bool isNameCharacter(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_' || c == '.';
}

void parseHeader(const std::string& header, HTTPRequest& request)
{
    try {
        Poco::MemoryInputStream input(header.data(), static_cast<std::streamsize>(header.size()));
        request.read(input);
    } catch (const Poco::Exception& error) {
        throw RequestRefused(400, ErrorCode::InvalidArgument, "not an HTTP request: " + error.displayText());
    }
    if (request.getVersion() != "HTTP/1.1" && request.getVersion() != "HTTP/1.0")
        throw RequestRefused(
            505, ErrorCode::Unimplemented, "HTTP version '" + request.getVersion() + "', expected HTTP/1.1");
}

std::string methodNameOf(const std::string& path)
{
    const auto name = std::string_view(path).substr(path.starts_with('/') ? 1 : 0);
    const auto slash = name.find('/');
    const auto isValid = slash != std::string_view::npos && slash > 0 && slash + 1 < name.size()
        && std::count(name.begin(), name.end(), '/') == 1
        && std::all_of(name.begin(), name.end(), [](char c) { return c == '/' || isNameCharacter(c); });
    if (!path.starts_with('/') || !isValid)
        throw RequestRefused(404, ErrorCode::Unimplemented, "path '" + path + "', expected /package.Service/Method");
    return std::string(name);
}

Encoding encodingOf(const HTTPRequest& request)
{
    const auto& value = request.getContentType();
    const auto type = Poco::toLower(Poco::trim(value.substr(0, value.find(';'))));
    if (type == "application/json")
        return Encoding::Json;
    if (type == "application/proto")
        return Encoding::Binary;
    throw RequestRefused(415, ErrorCode::InvalidArgument,
        "content type '" + value + "', expected application/json or application/proto");
}

void checkProtocolHeaders(const HTTPRequest& request)
{
    const auto version = request.get("Connect-Protocol-Version", "1");
    if (version != "1")
        throw RequestRefused(400, ErrorCode::InvalidArgument, "Connect-Protocol-Version '" + version + "', expected 1");
    const auto coding = request.get("Content-Encoding", "identity");
    if (Poco::icompare(coding, "identity") != 0)
        throw RequestRefused(
            501, ErrorCode::Unimplemented, "Content-Encoding '" + coding + "' is not supported, expected identity");
}

std::optional<TimePoint> deadlineOf(const HTTPRequest& request, TimePoint receivedAt)
{
    if (!request.has("Connect-Timeout-Ms"))
        return std::nullopt;
    const auto& text = request.get("Connect-Timeout-Ms");
    std::uint64_t milliseconds = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    if (text.empty() || text.size() > maxTimeoutDigits || parsed.ec != std::errc()
        || parsed.ptr != text.data() + text.size())
        throw RequestRefused(400, ErrorCode::InvalidArgument,
            "Connect-Timeout-Ms '" + text + "', expected a number of at most 10 digits");
    return receivedAt + std::chrono::milliseconds(milliseconds);
}

ClientAccountName clientAccountOf(const HTTPRequest& request)
{
    auto clientAccount = request.get("Balsammill-Team", "default");
    if (clientAccount.empty())
        clientAccount = "default";
    if (clientAccount.size() > maxClientAccountBytes)
        throw RequestRefused(400, ErrorCode::InvalidArgument,
            "Balsammill-Team has " + std::to_string(clientAccount.size()) + " bytes, at most "
                + std::to_string(maxClientAccountBytes) + " are allowed");
    return ClientAccountName(std::move(clientAccount));
}

std::string bearerTokenOf(const HTTPRequest& request)
{
    const auto value = request.get("Authorization", "");
    if (Poco::icompare(value, 0, bearerPrefix.size(), std::string(bearerPrefix)) != 0)
        return {};
    return Poco::trim(value.substr(bearerPrefix.size()));
}

void parseCall(const HTTPRequest& source, RequestHead& head)
{
    auto& request = head.request;
    if (source.getMethod() != "POST")
        throw RequestRefused(
            405, ErrorCode::Unimplemented, "HTTP method " + source.getMethod() + ", calls expect POST");
    request.method = MethodName(methodNameOf(source.getURI()));
    request.encoding = encodingOf(source);
    checkProtocolHeaders(source);
    request.deadline = deadlineOf(source, request.receivedAt);
    request.clientAccount = clientAccountOf(source);
    request.bearerToken = bearerTokenOf(source);
    request.taskId = source.get("Balsammill-Task-Id", "");
    if (!head.framing.chunked && !head.framing.length)
        throw RequestRefused(411, ErrorCode::InvalidArgument, "the request has neither a length nor chunks");
}

} // namespace

RequestHead parseRequestHead(const std::string& header, TimePoint receivedAt)
{
    checkHeaderLines(header);
    HTTPRequest request;
    parseHeader(header, request);
    RequestHead head;
    head.request.receivedAt = receivedAt;
    head.framing = framingOf(request);
    head.keepAlive = request.getKeepAlive();
    head.expectsContinue = Poco::icompare(request.get("Expect", ""), "100-continue") == 0;
    head.isPage = request.getMethod() == "GET";
    if (head.isPage)
        head.request.method = MethodName(request.getURI());
    else
        parseCall(request, head);
    return head;
}

} // namespace Balsammill::Detail
