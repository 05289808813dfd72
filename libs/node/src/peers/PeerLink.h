#pragma once

#include "balsammill/base/StrongId.h"
#include "balsammill/base/Units.h"

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
enum class LinkEnd {
    /// Nothing listens at the address, or the other process has closed the connection.
    Refused,
    /// Nothing was heard in time.
    Silent,
    /// This process closed it.
    Closed,
};

/// A connection between two entries. Frames are a length of 4 bytes, high byte first, and a ShardPeerMessage.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
public:
    using MessageHandler = std::function<void(PeerLink&, const balsammill::internal::ShardPeerMessage&)>;
    using EndHandler = std::function<void(PeerLink&, LinkEnd)>;

    /// inbound: the other process has opened the connection.
    PeerLink(boost::asio::ip::tcp::socket, bool inbound, MessageHandler, EndHandler);

    /// Connects, or starts reading if the socket is connected already.
    void start(const boost::asio::ip::tcp::endpoint* remote, std::function<void(PeerLink&)> opened);
    void send(const balsammill::internal::ShardPeerMessage&);
    void close(LinkEnd);

    bool inbound() const { return inbound_; }
    bool open() const { return open_; }
    bool closed() const { return closed_; }
    std::uint64_t sentBytes() const { return sentBytes_; }
    TimePoint lastHeardAt() const { return lastHeardAt_; }
    const PeerId& peer() const { return peer_; }
    const FailureDomain& domain() const { return domain_; }
    void setPeer(PeerId peer, FailureDomain domain)
    {
        peer_ = std::move(peer);
        domain_ = std::move(domain);
    }
    /// The other process has said that it is about to stop.
    bool leaving() const { return leaving_; }
    void setLeaving(bool leaving) { leaving_ = leaving; }

private:
    void begin();
    void read();
    bool parse();
    void write();

    boost::asio::ip::tcp::socket socket_;
    bool inbound_;
    MessageHandler onMessage_;
    EndHandler onEnd_;
    PeerId peer_;
    FailureDomain domain_;
    bool leaving_ { false };
    std::array<char, 16 * 1024> block_;
    std::string input_;
    std::string output_;
    std::string writing_;
    std::uint64_t sentBytes_ { 0 };
    TimePoint lastHeardAt_ {};
    bool open_ { false };
    bool closed_ { false };
};

} // namespace Balsammill
