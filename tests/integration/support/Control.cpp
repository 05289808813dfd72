#include "support/Control.h"

#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include <sstream>

namespace IntegrationTest {

HttpReply httpRequest(const std::string& httpMethod, std::uint16_t port, const std::string& path,
    const std::string& body, const std::string& contentType, const std::string& bearerToken)
{
    Poco::Net::HTTPClientSession session("127.0.0.1", port);
    session.setTimeout(Poco::Timespan(30, 0));
    Poco::Net::HTTPRequest request(httpMethod, path, Poco::Net::HTTPMessage::HTTP_1_1);
    if (!bearerToken.empty())
        request.set("Authorization", "Bearer " + bearerToken);
    if (httpMethod != "GET") {
        request.setContentType(contentType);
        request.setContentLength(static_cast<std::streamsize>(body.size()));
    }
    session.sendRequest(request) << body;
    Poco::Net::HTTPResponse response;
    HttpReply reply;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), reply.body);
    reply.status = response.getStatus();
    reply.verdict = response.get("Balsammill-Verdict", "");
    return reply;
}

std::vector<StartedTask> readStarts(std::uint16_t upstreamPort)
{
    std::istringstream lines(httpRequest("GET", upstreamPort, "/control/starts").body);
    std::vector<StartedTask> starts;
    for (std::string line; std::getline(lines, line);) {
        const auto row = Poco::JSON::Parser().parse(line).extract<Poco::JSON::Object::Ptr>();
        starts.push_back({
            .taskId = row->getValue<std::string>("task"),
            .method = row->getValue<std::string>("method"),
            .startUs = row->optValue<std::int64_t>("start_us", 0),
        });
    }
    return starts;
}

} // namespace IntegrationTest
