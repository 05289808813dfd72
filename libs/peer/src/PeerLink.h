#pragma once

#include "balsammill/base/StrongId.h"

#include <nng/nng.h>

#include <atomic>
#include <memory>
#include <string_view>

namespace Balsammill::Detail {

/// PUSH socket towards one address; connects and reconnects in the background. Thread-safe.
class PeerLink {
public:
    explicit PeerLink(NetworkAddress);
    ~PeerLink();

    PeerLink(const PeerLink&) = delete;
    PeerLink& operator=(const PeerLink&) = delete;

    const NetworkAddress& address() const { return address_; }

    /// Hands the bytes to the socket's queue without waiting. False if there is no connection or the queue is full.
    bool send(std::string_view bytes);

private:
    NetworkAddress address_;
    /// Id of the connection's nng pipe; zero while there is none.
    std::shared_ptr<std::atomic<int>> pipeId_;
    std::uintptr_t callbackKey_ { 0 };
    nng_socket socket_ NNG_SOCKET_INITIALIZER;
};

} // namespace Balsammill::Detail
