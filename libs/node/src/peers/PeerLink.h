#pragma once

#include "balsammill/base/StrongId.h"
#include "balsammill/base/Units.h"
#include "balsammill/shards/OwnerSelection.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace balsammill::internal {
class ShardPeerMessage;
}

namespace Balsammill {

/// Identifies one run of an entry process.
struct PeerId {
    VmName vm;
    Incarnation incarnation;

    auto operator<=>(const PeerId&) const = default;
};

/// Why a connection between entries ended.
enum class CloseReason {
    /// The connection was refused, reset or closed by the other process.
    Refused,
    /// Nothing was received in time, the peer does not read its input, or another network error occurred.
    Unresponsive,
    /// This process closed the connection, for instance because a frame was malformed.
    Closed,
};

/// Identifies a connection between entries within this process; 0 is no connection.
using LinkId = StrongNumber<struct LinkIdTag>;

/// A connection between two entries. A frame is a 4-byte big-endian length followed by a ShardPeerMessage.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
public:
    using MessageHandler = std::function<void(PeerLink&, const balsammill::internal::ShardPeerMessage&)>;
    using CloseHandler = std::function<void(PeerLink&, CloseReason)>;

    /// inbound: the connection was opened by the other process.
    PeerLink(LinkId, boost::asio::ip::tcp::socket, bool inbound, MessageHandler, CloseHandler);

    /// Connects to the remote endpoint; if it is null, the socket is already connected. Calls opened once the
    /// connection is open.
    void start(const boost::asio::ip::tcp::endpoint* remote, std::function<void(PeerLink&)> opened);
    void send(const balsammill::internal::ShardPeerMessage&);
    void close(CloseReason);

    LinkId id() const { return id_; }
    bool inbound() const { return inbound_; }
    bool open() const { return open_; }
    bool closed() const { return closed_; }
    std::uint64_t sentBytes() const { return sentBytes_; }
    /// True if output is not written completely, or received bytes have not been handled.
    bool hasPendingBytes();
    TimePoint lastReceivedAt() const { return lastReceivedAt_; }
    /// Latest time at which the other process is known to have used this connection: it had received a message that
    /// this process sent then. Unlike lastReceivedAt(), it does not advance by messages that were delayed in the
    /// network or in the socket buffer of a process that was not running. Equal to lastReceivedAt() if the other
    /// process sends no times.
    TimePoint confirmedAt() const { return confirmedAt_; }
    /// Why the connection was closed; of no use while it is open.
    CloseReason closeReason() const { return closeReason_; }
    const PeerId& peer() const { return peer_; }
    const FailureDomain& domain() const { return domain_; }
    /// What the other process's VM can carry.
    const Shards::EntryCapacity& capacity() const { return capacity_; }
    void setPeer(PeerId peer, FailureDomain domain, const Shards::EntryCapacity& capacity)
    {
        peer_ = std::move(peer);
        domain_ = std::move(domain);
        capacity_ = capacity;
    }
    /// True if the other process has reported that it is shutting down.
    bool leaving() const { return leaving_; }
    void setLeaving(bool leaving) { leaving_ = leaving; }

private:
    void handleConnected();
    void read();
    bool parse();
    void write();
    void updateConfirmation(const balsammill::internal::ShardPeerMessage&);

    LinkId id_;
    boost::asio::ip::tcp::socket socket_;
    bool inbound_;
    MessageHandler onMessage_;
    CloseHandler onClose_;
    PeerId peer_;
    FailureDomain domain_;
    Shards::EntryCapacity capacity_;
    bool leaving_ { false };
    std::array<char, 16 * 1024> readBuffer_;
    std::string inputBuffer_;
    std::string outputBuffer_;
    std::string writeBuffer_;
    std::uint64_t sentBytes_ { 0 };
    TimePoint lastReceivedAt_ {};
    TimePoint confirmedAt_ {};
    // Time from which sent_at_ms counts; before the connection, so that the first value is not 0.
    TimePoint sentAtEpoch_ {};
    // Latest sent_at_ms of the other process; sent back with every message.
    std::uint64_t peerSentAtMs_ { 0 };
    CloseReason closeReason_ { CloseReason::Closed };
    bool open_ { false };
    bool closed_ { false };
};

} // namespace Balsammill
