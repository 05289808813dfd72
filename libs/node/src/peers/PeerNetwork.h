#pragma once

#include "PeerLink.h"

#include "balsammill/http/Timer.h"
#include "balsammill/shards/OwnershipPolicy.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace Balsammill {

/// Connections between this entry and other entries: outbound ones by address, and inbound ones.
class PeerNetwork {
public:
    struct Options {
        NetworkAddress listen;
        PeerId self;
        FailureDomain domain;
        Shards::EntryCapacity capacity {};
    };
    struct Handlers {
        std::function<void(PeerLink&, const balsammill::internal::ShardPeerMessage&)> message;
        std::function<void(PeerLink&)> closed;
    };

    /// Bytes of peer messages sent since the process started.
    struct SentBytes {
        std::uint64_t ownDomain { 0 };
        std::uint64_t otherDomains { 0 };
    };

    PeerNetwork(boost::asio::io_context&, const Options&, Handlers);
    ~PeerNetwork();

    /// Returns the connection to an address, or null while it is not established. The call also opens the connection
    /// and keeps it open.
    std::shared_ptr<PeerLink> linkTo(const NetworkAddress&, TimePoint now);
    Shards::PeerState stateOf(const NetworkAddress&) const;
    /// True if any connection to another entry is open.
    bool connectedToAny() const;
    /// Closes connections that received nothing or were not confirmed within the timeout, and those to addresses that
    /// are no longer requested.
    void advance(TimePoint now);
    /// Open connections to the entries of a failure domain that are not shutting down, one for each entry.
    std::vector<std::shared_ptr<PeerLink>> peersIn(const FailureDomain&) const;
    /// The newest open connection to or from this process run, as an older one may have gone silent; null if there is
    /// none.
    std::shared_ptr<PeerLink> linkOf(const PeerId&) const;
    /// As linkOf(), for the newest process run on a VM.
    std::shared_ptr<PeerLink> linkOfVm(const VmName&) const;
    bool connectedTo(const PeerId& peer) const { return linkOf(peer) != nullptr; }
    void sendToAll(const balsammill::internal::ShardPeerMessage&);
    SentBytes sentBytes() const;
    /// True if a message on an open connection has not been handled, or has not been written completely.
    bool hasPendingBytes() const;

private:
    struct Outbound {
        std::shared_ptr<PeerLink> link;
        Shards::PeerState state { Shards::PeerState::Unresponsive };
        TimePoint retryAt {};
        TimePoint lastRequestedAt {};
    };

    void accept();
    void connect(const NetworkAddress&, Outbound&, TimePoint now);
    void sendHello(PeerLink&);
    void handle(PeerLink&, const balsammill::internal::ShardPeerMessage&);
    std::vector<std::shared_ptr<PeerLink>> openLinks() const;
    void handleClosed(PeerLink&, CloseReason);
    void countSent(const PeerLink&, SentBytes&) const;
    LinkId nextLinkId() { return LinkId(++lastLinkId_); }

    boost::asio::io_context& context_;
    Options options_;
    Handlers handlers_;
    boost::asio::ip::tcp::acceptor acceptor_;
    Timer acceptTimer_;
    std::map<NetworkAddress, Outbound> outbound_;
    std::set<std::shared_ptr<PeerLink>> inbound_;
    // Bytes sent on connections that are closed.
    SentBytes closedLinksSentBytes_;
    std::uint64_t lastLinkId_ { 0 };
};

} // namespace Balsammill
