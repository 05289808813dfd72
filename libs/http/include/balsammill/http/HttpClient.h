#pragma once

#include "balsammill/base/StrongId.h"
#include "balsammill/base/Units.h"
#include "balsammill/http/HttpMessages.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace Balsammill {

struct HttpSendOptions {
    /// The result of HttpClient::nextConnection(); the request is then sent on no other connection. If it has been
    /// closed since, the request has no answer.
    HttpConnectionId on {};
    /// A response that is being received when the deadline passes is received completely, unless there is a gap of
    /// HttpClient::maxReceiveGap in it.
    bool extendsWhileReceiving { false };
};

/// Sends requests to one address over a pool of keep-alive connections. A request is written at most once; there are no
/// automatic retries. Not thread-safe: all calls and callbacks run on the event loop's thread.
class HttpClient {
public:
    static constexpr Duration maxReceiveGap = std::chrono::milliseconds(1000);

    /// maxIdle: maximum number of idle connections that are kept open.
    HttpClient(boost::asio::io_context&, NetworkAddress, std::size_t maxIdle);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Sends a request. The callback runs exactly once, at the deadline at the latest (see HttpSendOptions), and never
    /// from within this call. If the client is destroyed first, the callback is not run.
    void send(const HttpRequest&, TimePoint deadline, HttpCallback, const HttpSendOptions& = {});
    /// The idle connection that the next request will use; 0 if it will open a new one. All requests on one connection
    /// are answered by the same server process.
    HttpConnectionId nextConnection();
    /// Closes the idle connections, so that the next request opens a new one.
    void closeIdle();

    const NetworkAddress& address() const { return address_; }

private:
    class Connection;
    void release(const std::shared_ptr<Connection>&);

    boost::asio::io_context& context_;
    NetworkAddress address_;
    std::size_t maxIdle_;
    std::vector<std::shared_ptr<Connection>> idle_;
    std::vector<std::weak_ptr<Connection>> busy_;
    std::uint64_t lastConnection_ { 0 };
    /// Expires when the client is destroyed; connections hold weak references to it.
    std::shared_ptr<HttpClient*> self_;
};

} // namespace Balsammill
