#include "HttpExchange.h"

#include "DeadlineSocket.h"

#include <Poco/AutoPtr.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>

#include <stdexcept>

namespace Balsammill::Detail {

namespace {

using Poco::Net::HTTPMessage;

/// Far above any list that a deployment of the large size needs.
constexpr Poco::Int64 maxAnswerBytes = 64 * 1024 * 1024;

void send(Poco::Net::HTTPClientSession& session, const NetworkAddress& address, const HttpRequest& request)
{
    Poco::Net::HTTPRequest head(request.method, request.path, HTTPMessage::HTTP_1_1);
    head.set("Host", address.value);
    for (const auto& [name, value] : request.headers)
        head.set(name, value);
    if (request.method == "PUT") {
        head.setContentType("application/octet-stream");
        head.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
    }
    session.sendRequest(head).write(request.body.data(), static_cast<std::streamsize>(request.body.size())).flush();
    if (session.networkException() != nullptr)
        session.networkException()->rethrow();
}

HttpAnswer receive(Poco::Net::HTTPClientSession& session)
{
    Poco::Net::HTTPResponse head;
    auto& stream = session.receiveResponse(head);
    HttpAnswer answer { .status = head.getStatus(), .etag = head.get("ETag", ""), .body = {} };
    if (answer.status == Poco::Net::HTTPResponse::HTTP_NO_CONTENT)
        return answer;
    const auto expected = head.getContentLength64();
    if (expected == HTTPMessage::UNKNOWN_CONTENT_LENGTH)
        throw std::runtime_error("answer without Content-Length");
    if (expected > maxAnswerBytes)
        throw std::runtime_error("answer of " + std::to_string(expected) + " bytes is too large");
    Poco::StreamCopier::copyToString64(stream, answer.body);
    if (static_cast<Poco::Int64>(answer.body.size()) != expected) {
        throw std::runtime_error("answer was cut after " + std::to_string(answer.body.size()) + " of "
            + std::to_string(expected) + " bytes");
    }
    return answer;
}

} // namespace

HttpResult exchange(const NetworkAddress& address, const HttpRequest& request, TimePoint deadline)
{
    Poco::AutoPtr<DeadlineSocket> socket(new DeadlineSocket(deadline));
    try {
        socket->connect(Poco::Net::SocketAddress(address.value), Poco::Timespan(remainingUntil(deadline).count()));
        socket->setNoDelay(true);
        Poco::Net::HTTPClientSession session(Poco::Net::StreamSocket(socket.duplicate()));
        session.setKeepAlive(false);
        send(session, address, request);
        return receive(session);
    } catch (const Poco::Exception& error) {
        return HttpFailure { .cause = error.displayText(), .anyByteSent = socket->sentBytes() > 0 };
    } catch (const std::exception& error) {
        return HttpFailure { .cause = error.what(), .anyByteSent = socket->sentBytes() > 0 };
    }
}

} // namespace Balsammill::Detail
