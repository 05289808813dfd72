#pragma once

#include "balsammill/rpc/RpcMessages.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace Balsammill {

struct ConnectServerOptions {
    /// Numeric host and port; port 0 lets the system choose.
    NetworkAddress listenAddress {};
    std::size_t maxBodyBytes { 4 * 1024 * 1024 };
    std::size_t maxHeaderBytes { 16 * 1024 };
    std::size_t maxConnections { 1024 };
    /// A caller that sends its headers or body slower than this is cut off.
    Duration receiveTimeout { std::chrono::seconds(10) };
    Duration keepAliveTimeout { std::chrono::seconds(60) };
    /// Verdict of a call that is refused because the server is draining; not-run if empty.
    std::function<Verdict(const MethodName&)> drainVerdict {};
    RpcHandler handler {};
    /// GET pages by path.
    std::map<std::string, PageHandler> pages {};
};

/// Serves unary calls in the Connect protocol over HTTP/1.1, a thread per connection.
class ConnectServer {
public:
    explicit ConnectServer(ConnectServerOptions);
    ~ConnectServer();

    /// Binds and starts serving. Throws std::runtime_error that names the address if it cannot be bound.
    void start();
    std::uint16_t port() const;

    /// From now on new requests are refused with unavailable, not-run and "Connection: close"; GET pages still answer.
    void beginDrain();
    /// Requests being handled, including their answers that are still being written.
    std::size_t requestsInFlight() const;
    /// Waits until no request is in flight; false if the deadline passed first.
    bool waitUntilIdle(TimePoint deadline) const;
    void stop();

private:
    struct Detail;
    std::unique_ptr<Detail> detail_;
};

} // namespace Balsammill
