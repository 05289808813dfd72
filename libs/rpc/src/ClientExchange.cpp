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

constexpr std::size_t maxAnswerHeaderBytes = 16 * 1024;
constexpr int maxInformationalAnswers = 8;

[[noreturn]] void refuse(ErrorCode code, std::string message)
{
    throw RpcError({ .code = code, .message = std::move(message), .verdict = Verdict::NotRun });
}

void readResponse(HttpStream& stream, Poco::Net::HTTPResponse& response, TimePoint deadline)
{
    for (int i = 0; i < maxInformationalAnswers; ++i) {
        const auto header = stream.readHeader(maxAnswerHeaderBytes, deadline);
        checkHeaderLines(header);
        try {
            Poco::MemoryInputStream input(header.data(), static_cast<std::streamsize>(header.size()));
            response.clear();
            response.read(input);
        } catch (const Poco::Exception& error) {
            throw StreamFault(StreamFaultKind::Malformed, "not an HTTP answer: " + error.displayText());
        }
        if (response.getStatus() >= 200)
            return;
    }
    throw StreamFault(StreamFaultKind::Malformed, "too many informational answers");
}

void readBody(HttpStream& stream, const Poco::Net::HTTPResponse& response, std::size_t maxBytes, TimePoint deadline,
    std::string& body)
{
    const auto framing = framingOf(response);
    if (framing.chunked)
        return stream.readChunkedBody(maxBytes, deadline, body);
    // Without a length, a truncated body could not be told from a whole one.
    if (!framing.length)
        throw StreamFault(StreamFaultKind::Malformed, "the answer has no length");
    if (*framing.length > maxBytes)
        throw StreamFault(StreamFaultKind::TooLarge,
            "the answer has " + std::to_string(*framing.length) + " bytes, at most " + std::to_string(maxBytes)
                + " are allowed");
    stream.readFixedBody(*framing.length, deadline, body);
}

HttpAnswer receiveAnswer(HttpStream& stream, std::size_t maxBytes, TimePoint deadline)
{
    Poco::Net::HTTPResponse response;
    readResponse(stream, response, deadline);
    HttpAnswer answer { .status = response.getStatus(),
        .contentType = response.get("Content-Type", ""),
        .verdict = parseVerdict(response.get("Balsammill-Verdict", "")),
        .body = {},
        .keepAlive = response.getKeepAlive() };
    readBody(stream, response, maxBytes, deadline, answer.body);
    return answer;
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
    if (!isFieldText(value))
        refuse(ErrorCode::InvalidArgument, "the value of " + std::string(name) + " contains a control character");
    std::string line;
    line.reserve(name.size() + value.size() + 4);
    line.append(name).append(": ").append(value).append("\r\n");
    return line;
}

std::string formatCallHead(const CallHead& call)
{
    const auto& method = call.method.value;
    if (!isFieldText(method) || method.find(' ') != std::string::npos)
        refuse(ErrorCode::InvalidArgument, "the method name contains a blank or control character");
    const auto remaining = std::chrono::floor<std::chrono::milliseconds>(call.deadline - monotonicNow()).count();
    // The protocol allows at most 10 digits.
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
        refuse(ErrorCode::DeadlineExceeded, "the deadline passed before a connection was opened");
    try {
        Poco::Net::StreamSocket socket(address.family());
        socket.connect(address, Poco::Timespan(std::min(remaining, connectTimeout).count()));
        return std::make_unique<HttpStream>(socket);
    } catch (const Poco::Exception& error) {
        refuse(ErrorCode::Unavailable, "cannot connect to " + address.toString() + ": " + error.displayText());
    }
}

HttpAnswer sendAndReceive(HttpStream& stream, std::string_view head, std::string_view body, std::size_t maxAnswerBytes,
    TimePoint deadline, std::size_t& written)
{
    try {
        stream.writeMessage(head, body, deadline, written);
    } catch (const StreamFault& fault) {
        // A peer that refuses a large request early answers before it closes.
        if (written == 0 || fault.kind() != StreamFaultKind::Closed)
            throw;
    }
    auto answer = receiveAnswer(stream, maxAnswerBytes, deadline);
    if (written < head.size() + body.size())
        answer.keepAlive = false;
    return answer;
}

RpcErrorDetails describeFault(const StreamFault& fault, std::size_t written, const NetworkAddress& address)
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

std::optional<RpcErrorDetails> errorOf(const HttpAnswer& answer, Encoding expected, const NetworkAddress& address)
{
    const auto verdict = answer.verdict.value_or(Verdict::MayHaveRun);
    if (answer.status == 200) {
        if (isContentType(answer.contentType, contentTypeOf(expected)))
            return std::nullopt;
        return RpcErrorDetails { .code = ErrorCode::Internal,
            .message = address.value + " answered with content type '" + answer.contentType + "', expected '"
                + std::string(contentTypeOf(expected)) + "'",
            .verdict = verdict };
    }
    if (isContentType(answer.contentType, "application/json")) {
        if (auto details = parseErrorBody(answer.body, verdict))
            return details;
    }
    return RpcErrorDetails { .code = codeOfHttpStatus(answer.status),
        .message = address.value + " answered with HTTP status " + std::to_string(answer.status),
        .verdict = verdict };
}

} // namespace Balsammill::Detail
