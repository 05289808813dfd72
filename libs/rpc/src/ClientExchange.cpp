#include "ClientExchange.h"

#include "ErrorBody.h"
#include "HttpHeader.h"

#include <Poco/Exception.h>
#include <Poco/MemoryStream.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/String.h>

#include <algorithm>

namespace Balsammill::Detail {

namespace {

constexpr std::size_t maxResponseHeaderBytes = 16 * 1024;
constexpr int maxInformationalResponses = 8;

[[noreturn]] void throwNotRun(ErrorCode code, std::string message)
{
    throw RpcError({ .code = code, .message = std::move(message), .verdict = Verdict::NotRun });
}

void readResponse(HttpStream& stream, Poco::Net::HTTPResponse& pocoResponse, TimePoint deadline)
{
    for (int i = 0; i < maxInformationalResponses; ++i) {
        const auto header = stream.readHeader(maxResponseHeaderBytes, deadline);
        checkHeaderLines(header);
        try {
            Poco::MemoryInputStream input(header.data(), static_cast<std::streamsize>(header.size()));
            pocoResponse.clear();
            pocoResponse.read(input);
        } catch (const Poco::Exception& error) {
            throw StreamFault(StreamFaultKind::Malformed, "not an HTTP answer: " + error.displayText());
        }
        if (pocoResponse.getStatus() >= 200)
            return;
    }
    throw StreamFault(StreamFaultKind::Malformed, "too many informational answers");
}

void readBody(HttpStream& stream, const Poco::Net::HTTPResponse& pocoResponse, std::size_t maxBytes, TimePoint deadline,
    std::string& body)
{
    const auto framing = framingOf(pocoResponse);
    if (framing.chunked)
        return stream.readChunkedBody(maxBytes, deadline, body);
    // Without a length, a truncated body could not be distinguished from a complete one.
    if (!framing.length)
        throw StreamFault(StreamFaultKind::Malformed, "the answer has no length");
    if (*framing.length > maxBytes)
        throw StreamFault(StreamFaultKind::TooLarge,
            "the answer has " + std::to_string(*framing.length) + " bytes, at most " + std::to_string(maxBytes)
                + " are allowed");
    stream.readFixedBody(*framing.length, deadline, body);
}

HttpResponse receiveResponse(HttpStream& stream, std::size_t maxBytes, TimePoint deadline)
{
    Poco::Net::HTTPResponse pocoResponse;
    readResponse(stream, pocoResponse, deadline);
    HttpResponse response { .status = pocoResponse.getStatus(),
        .contentType = pocoResponse.get("Content-Type", ""),
        .verdict = parseVerdict(pocoResponse.get("Balsammill-Verdict", "")),
        .body = {},
        .keepAlive = pocoResponse.getKeepAlive() };
    readBody(stream, pocoResponse, maxBytes, deadline, response.body);
    return response;
}

bool isContentType(const std::string& actual, std::string_view expected)
{
    const auto type = Poco::trim(actual.substr(0, actual.find(';')));
    return Poco::icompare(type, std::string(expected)) == 0;
}

} // namespace

std::string_view contentTypeOf(Encoding encoding)
{
    return encoding == Encoding::Json ? "application/json" : "application/proto";
}

std::string formatHeaderLine(std::string_view name, std::string_view value)
{
    if (value.empty())
        return {};
    if (!isSafeHeaderText(value))
        throwNotRun(ErrorCode::InvalidArgument, "the value of " + std::string(name) + " contains a control character");
    std::string line;
    line.reserve(name.size() + value.size() + 4);
    line.append(name).append(": ").append(value).append("\r\n");
    return line;
}

std::string formatCallHead(const CallHead& call)
{
    const auto& method = call.method.value;
    if (!isSafeHeaderText(method) || method.find(' ') != std::string::npos)
        throwNotRun(ErrorCode::InvalidArgument, "the method name contains a blank or control character");
    const auto remaining = std::chrono::floor<std::chrono::milliseconds>(call.deadline - monotonicNow()).count();
    // The Connect protocol allows at most 10 digits.
    const auto timeoutMs = std::clamp<std::int64_t>(remaining, 1, 9'999'999'999);
    std::string head;
    head.reserve(256 + method.size() + call.extraLines.size());
    head.append("POST /").append(method).append(" HTTP/1.1\r\nHost: ").append(call.address.value);
    head.append("\r\nContent-Type: ").append(contentTypeOf(call.encoding));
    head.append("\r\nContent-Length: ").append(std::to_string(call.bodyBytes));
    head.append("\r\nConnect-Protocol-Version: 1\r\nConnect-Timeout-Ms: ").append(std::to_string(timeoutMs));
    head.append("\r\n").append(call.extraLines).append("\r\n");
    return head;
}

std::unique_ptr<HttpStream> openStream(
    const Poco::Net::SocketAddress& address, Duration connectTimeout, TimePoint deadline)
{
    const auto remaining = deadline - monotonicNow();
    if (remaining <= Duration::zero())
        throwNotRun(ErrorCode::DeadlineExceeded, "the deadline passed before a connection was opened");
    try {
        Poco::Net::StreamSocket socket(address.family());
        socket.connect(address, Poco::Timespan(std::min(remaining, connectTimeout).count()));
        return std::make_unique<HttpStream>(socket);
    } catch (const Poco::Exception& error) {
        throwNotRun(ErrorCode::Unavailable, "cannot connect to " + address.toString() + ": " + error.displayText());
    }
}

HttpResponse sendAndReceive(HttpStream& stream, std::string_view head, std::string_view body,
    std::size_t maxResponseBytes, TimePoint deadline, std::size_t& written)
{
    try {
        stream.writeMessage(head, body, deadline, written);
    } catch (const StreamFault& fault) {
        // A peer that refuses a large request early sends its response before it closes the connection.
        if (written == 0 || fault.kind() != StreamFaultKind::Closed)
            throw;
    }
    auto response = receiveResponse(stream, maxResponseBytes, deadline);
    if (written < head.size() + body.size())
        response.keepAlive = false;
    return response;
}

RpcErrorDetails errorFromFault(const StreamFault& fault, std::size_t written, const NetworkAddress& address)
{
    RpcErrorDetails details { .code = ErrorCode::Internal,
        .message = address.value + ": " + fault.what(),
        .verdict = written == 0 ? Verdict::NotRun : Verdict::MayHaveRun };
    if (fault.kind() == StreamFaultKind::Closed)
        details.code = ErrorCode::Unavailable;
    else if (fault.kind() == StreamFaultKind::TimedOut)
        details.code = ErrorCode::DeadlineExceeded;
    return details;
}

std::optional<RpcErrorDetails> errorOf(const HttpResponse& response, Encoding expected, const NetworkAddress& address)
{
    const auto verdict = response.verdict.value_or(Verdict::MayHaveRun);
    if (response.status == 200) {
        if (isContentType(response.contentType, contentTypeOf(expected)))
            return std::nullopt;
        return RpcErrorDetails { .code = ErrorCode::Internal,
            .message = address.value + " answered with content type '" + response.contentType + "', expected '"
                + std::string(contentTypeOf(expected)) + "'",
            .verdict = verdict };
    }
    if (isContentType(response.contentType, "application/json")) {
        if (auto details = parseErrorBody(response.body, verdict))
            return details;
    }
    return RpcErrorDetails { .code = codeOfHttpStatus(response.status),
        .message = address.value + " answered with HTTP status " + std::to_string(response.status),
        .verdict = verdict };
}

} // namespace Balsammill::Detail
