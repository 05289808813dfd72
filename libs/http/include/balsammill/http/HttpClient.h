#pragma once

#include "balsammill/base/StrongId.h"
#include "balsammill/base/Units.h"
#include "balsammill/http/HttpMessages.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <vector>

namespace Balsammill {

/// Sends requests to one address over connections that it keeps. A request is written at most once; there are no
/// automatic retries. All calls and callbacks are on the thread of the event loop.
class HttpClient {
public:
    /// maxIdle: connections that are kept open without a request.
    HttpClient(boost::asio::io_context&, NetworkAddress, std::size_t maxIdle);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Sends a request. The callback is called exactly once, at the latest at the deadline, and never from within this
    /// call; it is dropped if the client is destroyed first.
    void send(const HttpRequest&, TimePoint deadline, HttpCallback);
    /// Closes idle connections; the next request opens a new one.
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
    std::shared_ptr<HttpClient*> self_;
};

} // namespace Balsammill
