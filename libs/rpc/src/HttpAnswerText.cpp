#include "HttpAnswerText.h"

#include <Poco/Net/HTTPResponse.h>

namespace Balsammill::Detail {

namespace {

std::string reasonOf(int status)
{
    if (status == 200)
        return "OK";
    // POCO has no reason phrase for 499, which the Connect protocol uses for canceled calls.
    if (status == 499)
        return "Client Closed Request";
    return Poco::Net::HTTPResponse::getReasonForStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
}

} // namespace

std::string formatResponseHead(const ResponseHead& response)
{
    std::string head;
    head.reserve(192);
    head.append("HTTP/1.1 ").append(std::to_string(response.status)).append(" ").append(reasonOf(response.status));
    head.append("\r\nContent-Type: ").append(response.contentType);
    head.append("\r\nContent-Length: ").append(std::to_string(response.bodyBytes)).append("\r\n");
    if (response.verdict)
        head.append("Balsammill-Verdict: ").append(nameOf(*response.verdict)).append("\r\n");
    if (response.status == 405)
        head.append("Allow: POST\r\n");
    if (response.close)
        head.append("Connection: close\r\n");
    return head.append("\r\n");
}

} // namespace Balsammill::Detail
