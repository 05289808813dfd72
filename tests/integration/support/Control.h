#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace IntegrationTest {

struct HttpReply {
    int status { 0 };
    std::string body;
    std::string verdict;
};

/// Sends one request to a port of the loopback address on a new connection. Throws Poco::Exception if the connection
/// fails or the answer takes longer than 30 s.
HttpReply httpRequest(const std::string& httpMethod, std::uint16_t port, const std::string& path,
    const std::string& body = {}, const std::string& contentType = "application/json",
    const std::string& bearerToken = {});

/// One line of an upstream's start log. The start time is in microseconds since the Unix epoch.
struct StartedTask {
    std::string taskId;
    std::string method;
    std::int64_t startUs { 0 };
};

/// Reads the start log of an upstream through its control interface.
std::vector<StartedTask> readStarts(std::uint16_t upstreamPort);

} // namespace IntegrationTest
