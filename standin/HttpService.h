#pragma once

#include "balsammill/base/Units.h"

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Balsammill::Standin {

using HttpRequest = Poco::Net::HTTPServerRequest;
using HttpResponse = Poco::Net::HTTPServerResponse;

struct HttpServiceOptions {
    /// 0 lets the system choose a port.
    std::uint16_t port { 0 };
    int maxConnections { 256 };
    /// Answers a request or closes its connection. An exception is answered with status 400 and its text; if a response
    /// has been sent already, the connection is closed.
    std::function<void(HttpRequest&, HttpResponse&)> handler;
};

/// HTTP server on 127.0.0.1 with a thread per connection. Connections above the limit are closed immediately.
class HttpService {
public:
    explicit HttpService(const HttpServiceOptions&);
    ~HttpService();

    std::uint16_t port() const;
    int currentConnections() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

std::string readBody(HttpRequest&);
/// Throws Poco::Exception if the body is not a JSON object.
Poco::JSON::Object::Ptr readJson(HttpRequest&);
void sendAnswer(HttpResponse&, int status, std::string_view contentType, std::string_view body);
void sendJson(HttpResponse&, const Poco::JSON::Object&);
/// Closes the connection without an answer.
void closeWithoutAnswer(HttpResponse&);
/// Closes the connection without an answer and with a TCP reset, which is sent after the handler returns.
void resetConnection(HttpRequest&, HttpResponse&);

/// A request target, split into the decoded path and the encoded query.
struct Target {
    std::string path;
    std::string query;
};
Target parseTarget(const std::string& uri);
/// Decoded value of a query parameter; empty if absent.
std::string queryValue(const Target&, const std::string& name);

} // namespace Balsammill::Standin
