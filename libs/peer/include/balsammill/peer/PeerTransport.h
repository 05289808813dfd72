#pragma once

#include "balsammill/base/ProcessId.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace balsammill::internal { // NOLINT(readability-identifier-naming): package of the generated code
class PeerMessage;
}

namespace Balsammill {

/// Called on a receiver thread for each authentic message.
using PeerHandler = std::function<void(const ProcessId& sender, const balsammill::internal::PeerMessage&)>;

struct PeerTransportOptions {
    ProcessId self;
    std::string deployment;
    /// Shared secret of the deployment; the HMAC key of every envelope.
    std::string secret;
    NetworkAddress listenAddress;
    std::size_t maxMessageBytes { 32 * 1024 * 1024 };
    int receiverThreads { 2 };
    PeerHandler handler;
};

struct PeerCounters {
    std::uint64_t sent { 0 };
    std::uint64_t sentBytes { 0 };
    std::uint64_t received { 0 };
    std::uint64_t receivedBytes { 0 };
    /// Handed over while the peer was not connected or its queue was full; nothing was sent.
    std::uint64_t notSent { 0 };
    std::uint64_t droppedMalformed { 0 };
    std::uint64_t droppedDigest { 0 };
    std::uint64_t droppedDeployment { 0 };
    std::uint64_t droppedVersion { 0 };
    std::uint64_t droppedReplay { 0 };
    std::uint64_t droppedOldIncarnation { 0 };
    /// Up to 64 KiB over the limit; nng closes the connection of a larger message, which is not counted.
    std::uint64_t droppedOversized { 0 };
    std::uint64_t droppedReceiver { 0 };
};

/// One-way messages between entry processes over nng PUSH/PULL sockets. Thread-safe, except for start() and stop().
///
/// Messages may be lost and, with more than one receiver thread, handled out of order.
class PeerTransport {
public:
    explicit PeerTransport(PeerTransportOptions);
    ~PeerTransport();

    /// Throws std::runtime_error if it cannot listen.
    void start();
    /// Port that the transport listens on; chosen by the system if the address names port 0.
    std::uint16_t port() const;

    /// Replaces the set of peers; connections to unchanged addresses stay.
    void setPeers(const std::map<VmName, NetworkAddress>&);

    /// Hands a message to the peer's queue. False means that it certainly was not sent; true promises nothing.
    bool send(const VmName& receiver, const balsammill::internal::PeerMessage&);

    PeerCounters counters() const;
    void stop();

private:
    struct Detail;
    std::unique_ptr<Detail> detail_;
};

} // namespace Balsammill
