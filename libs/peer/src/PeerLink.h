#pragma once

#include "balsammill/base/StrongId.h"

#include <nng/nng.h>

#include <atomic>
#include <memory>
#include <string_view>

namespace Balsammill::Detail {

/// nng PUSH socket for one address; connects and reconnects in the background. Thread-safe.
class PeerLink {
public:
    explicit PeerLink(NetworkAddress);
    ~PeerLink();

    PeerLink(const PeerLink&) = delete;
    PeerLink& operator=(const PeerLink&) = delete;

    const NetworkAddress& address() const { return address_; }

    /// Queues the bytes on the socket without blocking. False if there is no connection or the queue is full.
    bool send(std::string_view bytes);

private:
    NetworkAddress address_;
    /// Id of the nng pipe of the current connection; zero while disconnected.
    std::shared_ptr<std::atomic<int>> pipeId_;
    std::uintptr_t callbackKey_ { 0 };
    nng_socket socket_ NNG_SOCKET_INITIALIZER;
};

} // namespace Balsammill::Detail
