#pragma once

#include "balsammill/base/StrongId.h"
#include "balsammill/base/Units.h"
#include "balsammill/http/HttpMessages.h"
#include "balsammill/http/Timer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_set>

namespace Balsammill {

/// Size limits and timeouts for client connections.
struct HttpServerLimits {
    /// Request line and header fields together.
    std::size_t maxHeaderBytes { 16 * 1024 };
    std::size_t maxBodyBytes { 256 * 1024 };
    /// Maximum time from the first byte of a request until it is complete.
    Duration requestTimeout { std::chrono::seconds(3) };
    /// Maximum time without a received byte between two requests.
    Duration idleTimeout { std::chrono::seconds(15) };
};

/// Limits on all connections of a server together.
struct HttpServerBudget {
    std::size_t maxConnections { 2'000 };
    /// Received bytes that are not processed yet, requests in progress, and responses that are not sent yet.
    std::size_t maxBufferedBytes { 32 * 1024 * 1024 };
};

/// Why a server has closed a connection to keep its budget. No request of the connection was in progress.
enum class HttpBudgetLimit {
    Connections,
    BufferedBytes,
};

/// Response side of one request. Exactly one response may be sent.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;
    /// Sends the response; has no effect if the client has closed the connection.
    virtual void respond(const HttpResponse&) = 0;
    /// Sets a callback that runs once if the client disconnects before respond() is called.
    virtual void onAbandoned(std::function<void()>) = 0;
    /// True if the end of the connection has already arrived, although it may not have been processed yet.
    virtual bool hasClientLeft() = 0;
};

using HttpHandler = std::function<void(HttpRequest, std::shared_ptr<HttpExchange>)>;

/// HTTP/1.1 server on one address. Each connection processes one request at a time. All calls and callbacks run on the
/// event loop's thread.
class HttpServer {
public:
    /// Throws boost::system::system_error if the address cannot be bound.
    HttpServer(boost::asio::io_context&, const NetworkAddress&, HttpHandler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    void setLimits(const HttpServerLimits&);
    /// When a limit is reached, the oldest connection with an incomplete request is closed, or else the oldest idle
    /// one, or else the one whose client has not read its response for the longest time; first those of a client
    /// address that holds more than half of all connections.
    void setBudget(const HttpServerBudget&, std::function<void(HttpBudgetLimit)> exceeded = {});
    /// Starts graceful shutdown: every further response closes its connection, unless the client has already sent its
    /// next request. New connections are still served until the load balancer stops sending them.
    void drain();
    /// Closes connections that have been idle since this time or longer. One with unread bytes stays: its request is
    /// answered first.
    void closeIdle(TimePoint idleBefore);
    /// Accepts the connections that are already established, and none after them.
    void stopAccepting();
    /// True if no connection is left on which a request can be received, is in progress or has a response that is not
    /// written completely.
    bool isQuiet() const;
    /// Number of requests received but not yet responded to.
    std::size_t openRequests() const;
    std::size_t openConnections() const;
    std::size_t bufferedBytes() const;
    NetworkAddress localAddress() const;

private:
    class Session;
    struct Shared;
    void accept();
    void open(boost::asio::ip::tcp::socket);

    boost::asio::ip::tcp::acceptor acceptor_;
    std::unique_ptr<Timer> acceptTimer_;
    std::shared_ptr<Shared> shared_;
};

/// Parses "host:port" with a numeric host. Throws std::invalid_argument.
boost::asio::ip::tcp::endpoint parseEndpoint(const NetworkAddress&);
/// Like parseEndpoint(), but returns std::nullopt if the address cannot be parsed.
std::optional<boost::asio::ip::tcp::endpoint> tryParseEndpoint(const NetworkAddress&);

} // namespace Balsammill
