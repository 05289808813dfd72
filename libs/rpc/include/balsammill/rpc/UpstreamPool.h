#pragma once

#include "balsammill/rpc/RpcMessages.h"

#include <memory>

namespace Balsammill {

struct UpstreamRequest {
    NetworkAddress address;
    MethodName method;
    /// Request message in binary protobuf.
    std::string body;
    /// Sent as Balsammill-Task-Id, so that the upstream's start log contains the task id.
    std::string taskId {};
    std::uint32_t attempt { 1 };
    TimePoint deadline;
};

struct UpstreamAnswer {
    /// Response message in binary protobuf.
    std::string body;
};

/// A failed exchange. The verdict of the error states whether the upstream may have run the request.
struct UpstreamFailure {
    RpcErrorDetails error;
    /// True if a complete HTTP response was received; false if the connection failed, the exchange timed out or the
    /// response was malformed.
    bool answered { false };
};

using ExchangeResult = std::variant<UpstreamAnswer, UpstreamFailure>;

struct UpstreamPoolOptions {
    std::size_t connectionsPerUpstream { 64 };
    Duration connectTimeout { std::chrono::milliseconds(500) };
    Duration idleTimeout { std::chrono::seconds(30) };
    std::size_t maxResponseBytes { 16 * 1024 * 1024 };
};

/// Pool of keep-alive connections to upstreams. Thread-safe; exchange() blocks the calling thread.
class UpstreamPool {
public:
    explicit UpstreamPool(UpstreamPoolOptions);
    ~UpstreamPool();

    /// Sends one call and waits for its response until the deadline. Never resends a request after any byte of it was
    /// written.
    ExchangeResult exchange(const UpstreamRequest&);

    /// Removes an upstream that left and closes its idle connections. Connections in use are closed after their
    /// exchange.
    void closeIdleConnections(const NetworkAddress&);

private:
    struct Detail;
    std::unique_ptr<Detail> detail_;
};

} // namespace Balsammill
