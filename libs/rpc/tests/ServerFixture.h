#pragma once

#include "balsammill/rpc/ConnectClient.h"
#include "balsammill/rpc/ConnectServer.h"
#include "balsammill/rpc/UpstreamPool.h"

#include <string>

namespace Balsammill {

inline TimePoint secondsFromNow(int seconds) { return monotonicNow() + std::chrono::seconds(seconds); }

inline RpcAnswer echo(const RpcRequest& request) { return { .encoding = request.encoding, .body = request.body }; }

/// Server on a free port of the loopback address that echoes each request unless a handler is given.
class ServerFixture {
public:
    explicit ServerFixture(ConnectServerOptions options = {})
        : server_(prepare(std::move(options)))
    {
        server_.start();
    }

    ConnectServer& server() { return server_; }
    std::uint16_t port() const { return server_.port(); }
    NetworkAddress address() const { return NetworkAddress("127.0.0.1:" + std::to_string(server_.port())); }

    RpcAnswer call(const std::string& body) const
    {
        return callOnce({ .address = address(),
            .method = MethodName("test.Echo/Say"),
            .encoding = Encoding::Json,
            .body = body,
            .deadline = secondsFromNow(10) });
    }

private:
    static ConnectServerOptions prepare(ConnectServerOptions options)
    {
        options.listenAddress = NetworkAddress("127.0.0.1:0");
        if (!options.handler)
            options.handler = echo;
        return options;
    }

    ConnectServer server_;
};

} // namespace Balsammill
