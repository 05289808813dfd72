#pragma once

#include "balsammill/rpc/RpcMessages.h"

#include <memory>

namespace Balsammill {

struct UpstreamRequest {
    NetworkAddress address;
    MethodName method;
    /// Binary protobuf.
    std::string body;
    /// Sent as Balsammill-Task-Id, so that an upstream's start log names the task.
    std::string taskId {};
    std::uint32_t attempt { 1 };
    TimePoint deadline;
};

struct UpstreamAnswer {
    /// Binary protobuf.
    std::string body;
};

/// A failed exchange; the verdict says whether the request may have reached the upstream's code.
struct UpstreamFailure {
    RpcErrorDetails error;
    /// True if the upstream itself answered with an error; false if the connection failed or timed out.
    bool answered { false };
};

using ExchangeResult = std::variant<UpstreamAnswer, UpstreamFailure>;

struct UpstreamPoolOptions {
    std::size_t connectionsPerUpstream { 64 };
    Duration connectTimeout { std::chrono::milliseconds(500) };
    Duration idleTimeout { std::chrono::seconds(30) };
    std::size_t maxAnswerBytes { 16 * 1024 * 1024 };
};

/// Keep-alive connections to upstreams. Thread-safe; exchange() blocks its thread.
class UpstreamPool {
public:
    explicit UpstreamPool(UpstreamPoolOptions);
    ~UpstreamPool();

    /// Sends one call and waits for its answer until the deadline. Never sends a request twice once a byte of it was
    /// written.
    ExchangeResult exchange(const UpstreamRequest&);

    /// Closes idle connections to an upstream that left.
    void forget(const NetworkAddress&);

private:
    struct Detail;
    std::unique_ptr<Detail> detail_;
};

} // namespace Balsammill
