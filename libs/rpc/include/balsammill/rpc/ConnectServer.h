#pragma once

#include "balsammill/rpc/RpcMessages.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace Balsammill {

struct ConnectServerOptions {
    /// Numeric host and port. With port 0, the operating system chooses a free port.
    NetworkAddress listenAddress {};
    std::size_t maxBodyBytes { 4 * 1024 * 1024 };
    std::size_t maxHeaderBytes { 16 * 1024 };
    std::size_t maxConnections { 1024 };
    /// Time limit for receiving a header, for receiving a body and for sending a response. Connections that exceed it
    /// are closed.
    Duration receiveTimeout { std::chrono::seconds(10) };
    Duration keepAliveTimeout { std::chrono::seconds(60) };
    /// Returns the verdict for a call that is refused because the server is draining; not-run if empty.
    std::function<Verdict(const MethodName&)> drainVerdict {};
    RpcHandler handler {};
    /// Handlers of GET pages, by path.
    std::map<std::string, PageHandler> pages {};
};

/// Serves unary calls of the Connect protocol over HTTP/1.1, with one thread per connection.
class ConnectServer {
public:
    explicit ConnectServer(ConnectServerOptions);
    ~ConnectServer();

    /// Binds the address and starts serving. If this fails, throws std::runtime_error with the address in its message.
    void start();
    std::uint16_t port() const;

    /// Makes the server refuse new calls with the code unavailable, the verdict of drainVerdict (not-run by default)
    /// and "Connection: close". GET pages are still served.
    void beginDrain();
    /// Number of requests in flight, including those whose response is still being written.
    std::size_t requestsInFlight() const;
    /// Waits until no request is in flight. Returns false if the deadline passed first.
    bool waitUntilIdle(TimePoint deadline) const;
    /// Stops accepting requests, waits for the requests in flight and closes all connections.
    void stop();

private:
    struct Detail;
    std::unique_ptr<Detail> detail_;
};

} // namespace Balsammill
