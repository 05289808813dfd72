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

/// One request on a new connection to the loopback address. Throws Poco exceptions if the connection fails.
HttpReply httpRequest(const std::string& verb, std::uint16_t port, const std::string& path,
    const std::string& body = {}, const std::string& contentType = "application/json",
    const std::string& bearerToken = {});

/// One line of an upstream's start log.
struct StartedTask {
    std::string taskId;
    std::string method;
    std::int64_t startUs { 0 };
};

std::vector<StartedTask> readStarts(std::uint16_t upstreamPort);

} // namespace IntegrationTest
