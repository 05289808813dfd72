#include "ServerConnection.h"

#include "ClientExchange.h"
#include "ErrorBody.h"
#include "HttpAnswerText.h"

#include <Poco/Exception.h>

#include <memory>

namespace Balsammill::Detail {

namespace {

// After a refusal, received bytes are discarded for up to this long. If the socket were closed with unread bytes, the
// connection would be reset and the peer could lose the response.
constexpr Duration lingerTimeout = std::chrono::seconds(1);
constexpr auto jsonType = "application/json";

class InFlightGuard {
public:
    explicit InFlightGuard(ServerState& state)
        : state_(state)
    {
        state_.beginRequest();
    }
    InFlightGuard(const InFlightGuard&) = delete;
    InFlightGuard& operator=(const InFlightGuard&) = delete;
    ~InFlightGuard() { state_.endRequest(); }

private:
    ServerState& state_;
};

RpcErrorDetails unavailableError(const std::string& message)
{
    return { .code = ErrorCode::Unavailable, .message = message, .verdict = Verdict::NotRun };
}

RpcErrorDetails handlerError(const char* cause)
{
    return { .code = ErrorCode::Internal,
        .message = std::string("the handler failed: ") + cause,
        .verdict = Verdict::MayHaveRun };
}

} // namespace

ServerConnection::ServerConnection(const Poco::Net::StreamSocket& socket, ServerState& state)
    : state_(state)
    , stream_(socket)
{
}

void ServerConnection::run()
{
    const std::unique_ptr<ServerConnection> self(this);
    try {
        serveRequests();
    } catch (const std::exception& error) {
        logWarning(LogComponent::Rpc, std::string("Connection closed after an error: ") + error.what());
    }
    state_.removeStream(stream_);
}

void ServerConnection::serveRequests()
{
    while (!state_.isStopping()) {
        if (!stream_.waitForData(monotonicNow() + state_.options.keepAliveTimeout))
            return;
        if (!serveRequest(monotonicNow()))
            return;
    }
}

void ServerConnection::refuseOverLimit()
{
    const auto limit = "the limit of " + std::to_string(state_.options.maxConnections) + " connections is reached";
    try {
        sendError(httpStatus(ErrorCode::Unavailable), unavailableError(limit), false);
        stream_.shutdownSendAndDrain(monotonicNow());
    } catch (const StreamFault&) {
        return;
    }
}

bool ServerConnection::serveRequest(TimePoint receivedAt)
{
    std::string header;
    try {
        header = stream_.readHeader(state_.options.maxHeaderBytes, receivedAt + state_.options.receiveTimeout);
    } catch (const StreamFault& fault) {
        return refuseAfterFault(fault);
    }
    const InFlightGuard inFlight(state_);
    try {
        return parseAndServe(header, receivedAt);
    } catch (const StreamFault& fault) {
        return refuseAfterFault(fault);
    } catch (const RequestRefused& refusal) {
        return refuse(refusal.status(), refusal.details());
    }
}

bool ServerConnection::parseAndServe(const std::string& header, TimePoint receivedAt)
{
    auto head = parseRequestHead(header, receivedAt);
    return head.isPage ? servePage(head) : serveCall(std::move(head));
}

bool ServerConnection::serveCall(RequestHead head)
{
    if (state_.draining) {
        auto refusal = unavailableError("this entry is draining");
        if (state_.options.drainVerdict)
            refusal.verdict = state_.options.drainVerdict(head.request.method);
        return refuse(httpStatus(ErrorCode::Unavailable), refusal);
    }
    readBody(head, head.request.body);
    RpcAnswer response;
    try {
        response = handle(head.request);
    } catch (const RpcError& error) {
        return sendError(httpStatus(error.details().code), error.details(), head.keepAlive);
    }
    send(formatResponseHead({ .status = 200,
             .contentType = contentTypeOf(response.encoding),
             .bodyBytes = response.body.size(),
             .verdict = response.verdict,
             .close = !head.keepAlive }),
        response.body);
    return head.keepAlive;
}

RpcAnswer ServerConnection::handle(const RpcRequest& request)
{
    if (request.deadline && *request.deadline <= monotonicNow())
        throw RpcError({ .code = ErrorCode::DeadlineExceeded,
            .message = "the deadline passed before the request was complete",
            .verdict = Verdict::NotRun });
    try {
        return state_.options.handler(request);
    } catch (const RpcError&) {
        throw;
    } catch (const Poco::Exception& error) {
        throw RpcError(handlerError(error.displayText().c_str()));
    } catch (const std::exception& error) {
        throw RpcError(handlerError(error.what()));
    }
}

bool ServerConnection::servePage(const RequestHead& head)
{
    std::string body;
    readBody(head, body);
    const auto& path = head.request.method.value;
    const auto found = state_.options.pages.find(path.substr(0, path.find('?')));
    if (found == state_.options.pages.end())
        return sendError(404,
            { .code = ErrorCode::NotFound, .message = "there is no page '" + path + "'", .verdict = Verdict::NotRun },
            head.keepAlive);
    PageAnswer page;
    try {
        page = found->second();
    } catch (const std::exception& error) {
        return sendError(500, handlerError(error.what()), head.keepAlive);
    }
    send(formatResponseHead({ .status = page.status,
             .contentType = page.contentType,
             .bodyBytes = page.body.size(),
             .close = !head.keepAlive }),
        page.body);
    return head.keepAlive;
}

void ServerConnection::readBody(const RequestHead& head, std::string& body)
{
    const auto limit = state_.options.maxBodyBytes;
    const auto length = head.framing.length.value_or(0);
    if (length > limit)
        throw StreamFault(StreamFaultKind::TooLarge,
            "the body has " + std::to_string(length) + " bytes, at most " + std::to_string(limit) + " are allowed");
    if (head.expectsContinue && !stream_.hasBufferedInput())
        send("HTTP/1.1 100 Continue\r\n\r\n", {});
    const auto deadline = monotonicNow() + state_.options.receiveTimeout;
    if (head.framing.chunked)
        stream_.readChunkedBody(limit, deadline, body);
    else
        stream_.readFixedBody(length, deadline, body);
}

bool ServerConnection::refuseAfterFault(const StreamFault& fault)
{
    if (state_.isStopping())
        return refuse(httpStatus(ErrorCode::Unavailable), unavailableError("this entry is stopping"));
    RpcErrorDetails details { .code = ErrorCode::InvalidArgument, .message = fault.what(), .verdict = Verdict::NotRun };
    switch (fault.kind()) {
    case StreamFaultKind::TooLarge:
        details.code = ErrorCode::ResourceExhausted;
        return refuse(413, details);
    case StreamFaultKind::TimedOut:
        details.code = ErrorCode::DeadlineExceeded;
        details.message = "the request did not arrive in time";
        return refuse(408, details);
    case StreamFaultKind::Closed:
        details.message = "the connection ended before the request was complete";
        return refuse(400, details);
    case StreamFaultKind::Malformed:
        break;
    }
    return refuse(400, details);
}

bool ServerConnection::refuse(int status, const RpcErrorDetails& details)
{
    if (state_.refusalLogLimiter.allow(monotonicNow()))
        logInfo(LogComponent::Rpc,
            "Request refused: " + details.message + " (" + std::to_string(state_.refusalLogLimiter.suppressed())
                + " similar lines suppressed)");
    sendError(status, details, false);
    stream_.shutdownSendAndDrain(monotonicNow() + lingerTimeout);
    return false;
}

bool ServerConnection::sendError(int status, const RpcErrorDetails& details, bool keepAlive)
{
    const auto body = formatErrorBody(details);
    send(formatResponseHead({ .status = status,
             .contentType = jsonType,
             .bodyBytes = body.size(),
             .verdict = details.verdict,
             .close = !keepAlive }),
        body);
    return keepAlive;
}

void ServerConnection::send(std::string_view head, std::string_view body)
{
    std::size_t written = 0;
    stream_.writeMessage(head, body, monotonicNow() + state_.options.receiveTimeout, written);
}

} // namespace Balsammill::Detail
