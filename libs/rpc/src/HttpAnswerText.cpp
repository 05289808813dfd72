#include "HttpAnswerText.h"

#include <Poco/Net/HTTPResponse.h>

namespace Balsammill::Detail {

namespace {

std::string reasonOf(int status)
{
    if (status == 200)
        return "OK";
    // POCO has no reason for 499, which the Connect protocol uses for canceled calls.
    if (status == 499)
        return "Client Closed Request";
    return Poco::Net::HTTPResponse::getReasonForStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
}

} // namespace

std::string formatAnswerHead(const AnswerHead& answer)
{
    std::string head;
    head.reserve(192);
    head.append("HTTP/1.1 ").append(std::to_string(answer.status)).append(" ").append(reasonOf(answer.status));
    head.append("\r\nContent-Type: ").append(answer.contentType);
    head.append("\r\nContent-Length: ").append(std::to_string(answer.bodyBytes)).append("\r\n");
    if (answer.verdict)
        head.append("Balsammill-Verdict: ").append(nameOf(*answer.verdict)).append("\r\n");
    if (answer.status == 405)
        head.append("Allow: POST\r\n");
    if (answer.close)
        head.append("Connection: close\r\n");
    return head.append("\r\n");
}

} // namespace Balsammill::Detail
