#pragma once

#include "balsammill/base/StrongId.h"
#include "balsammill/base/Units.h"
#include "balsammill/http/HttpMessages.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_set>

namespace Balsammill {

/// Limits on what a client may send and how long it may take.
struct HttpServerLimits {
    /// Bytes of the request line and the header fields.
    std::size_t maxHeaderBytes { 16 * 1024 };
    std::size_t maxBodyBytes { 256 * 1024 };
    /// From the first byte of a request until it is complete.
    Duration requestTimeout { std::chrono::seconds(3) };
    /// Without any byte between two requests.
    Duration idleTimeout { std::chrono::seconds(15) };
};

/// The response side of one request. Exactly one response may be sent.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;
    /// Sends the response; ignored if the client has closed the connection.
    virtual void respond(const HttpResponse&) = 0;
    /// Sets what is called, once, if the client closes the connection before the response was sent.
    virtual void onAbandoned(std::function<void()>) = 0;
};

using HttpHandler = std::function<void(HttpRequest, std::shared_ptr<HttpExchange>)>;

/// Accepts connections on one address and serves their requests, one at a time a connection, on the event loop's
/// thread.
class HttpServer {
public:
    /// Throws boost::system::system_error if the address cannot be bound.
    HttpServer(boost::asio::io_context&, const NetworkAddress&, HttpHandler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    void setLimits(const HttpServerLimits&);
    /// From now on each response closes its connection. New connections are served too, until the balancer sends none.
    void drain();
    /// Requests that were received and not yet answered.
    std::size_t openRequests() const;
    std::size_t openConnections() const;
    NetworkAddress localAddress() const;

private:
    class Session;
    struct Shared;
    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;
    std::shared_ptr<Shared> shared_;
};

/// Parses "host:port" with a numeric host. Throws std::invalid_argument.
boost::asio::ip::tcp::endpoint parseEndpoint(const NetworkAddress&);
/// The same without an exception; empty if the address cannot be parsed.
std::optional<boost::asio::ip::tcp::endpoint> findEndpoint(const NetworkAddress&);

} // namespace Balsammill
