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

/// Runs on a receiver thread for each message that is authenticated, not replayed and not from a
/// stale incarnation.
using PeerHandler = std::function<void(const ProcessId& sender, const balsammill::internal::PeerMessage&)>;

struct PeerTransportOptions {
    ProcessId self;
    std::string deployment;
    /// Secret shared by the deployment's processes; HMAC key of every envelope.
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
    /// Messages rejected by send(), for example because the peer was not connected or its queue was full. None of them
    /// was transmitted.
    std::uint64_t notSent { 0 };
    std::uint64_t droppedMalformed { 0 };
    std::uint64_t droppedDigest { 0 };
    std::uint64_t droppedDeployment { 0 };
    std::uint64_t droppedVersion { 0 };
    std::uint64_t droppedReplay { 0 };
    std::uint64_t droppedOldIncarnation { 0 };
    /// Messages up to 64 KiB over the size limit. For a larger message nng closes the connection without a report, so
    /// it is not counted.
    std::uint64_t droppedOversized { 0 };
    std::uint64_t droppedReceiver { 0 };
};

/// Sends and receives one-way messages between entry processes over nng PUSH/PULL sockets. Thread-safe except for
/// start() and stop().
///
/// Messages may be lost. With more than one receiver thread they may be handled out of order.
class PeerTransport {
public:
    explicit PeerTransport(PeerTransportOptions);
    ~PeerTransport();

    /// Throws std::runtime_error if it cannot listen.
    void start();
    /// Port that the transport listens on; assigned by the operating system if listenAddress has port 0.
    std::uint16_t port() const;

    /// Replaces the set of peers. Connections to peers whose address is unchanged are kept.
    void setPeers(const std::map<VmName, NetworkAddress>&);

    /// Queues a message for the peer. False: the message was not and will not be sent. True: it was queued, but its
    /// delivery is not guaranteed.
    bool send(const VmName& receiver, const balsammill::internal::PeerMessage&);

    PeerCounters counters() const;
    void stop();

private:
    struct Detail;
    std::unique_ptr<Detail> detail_;
};

} // namespace Balsammill
