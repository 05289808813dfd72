#pragma once

#include "PeerLink.h"

#include "balsammill/shards/OwnershipPolicy.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace Balsammill {

/// Connections between this entry and the others: those it opened, by address, and those that it accepted.
class PeerNetwork {
public:
    struct Options {
        NetworkAddress listen;
        PeerId self;
        FailureDomain domain;
    };
    struct Handlers {
        std::function<void(PeerLink&, const balsammill::internal::ShardPeerMessage&)> message;
        std::function<void(PeerLink&)> closed;
    };

    /// Bytes of messages since the process started.
    struct SentBytes {
        std::uint64_t ownDomain { 0 };
        std::uint64_t otherDomains { 0 };
    };

    PeerNetwork(boost::asio::io_context&, const Options&, Handlers);
    ~PeerNetwork();

    /// The connection to an address; null while there is none. Asking for it makes the network open and keep one.
    std::shared_ptr<PeerLink> linkTo(const NetworkAddress&, TimePoint now);
    Shards::PeerState stateOf(const NetworkAddress&) const;
    /// True if any connection to another entry is open.
    bool connectedToAny() const;
    /// Closes connections on which nothing was heard, and forgets addresses that nobody asked for lately.
    void advance(TimePoint now);
    /// Open connections to entries of a failure domain that are not about to stop, one for each entry.
    std::vector<std::shared_ptr<PeerLink>> peersIn(const FailureDomain&) const;
    /// An open connection to that process, whoever opened it; null if there is none.
    std::shared_ptr<PeerLink> linkOf(const PeerId&) const;
    /// True if that process has opened a connection to this one and it is still open.
    bool acceptedFrom(const PeerId&) const;
    bool connectedTo(const PeerId& peer) const { return linkOf(peer) != nullptr; }
    void sendToAll(const balsammill::internal::ShardPeerMessage&);
    SentBytes sentBytes() const;

private:
    struct Outbound {
        std::shared_ptr<PeerLink> link;
        Shards::PeerState state { Shards::PeerState::Silent };
        TimePoint retryAt {};
        TimePoint wantedAt {};
    };

    void accept();
    void connect(const NetworkAddress&, Outbound&, TimePoint now);
    void greet(PeerLink&);
    void handle(PeerLink&, const balsammill::internal::ShardPeerMessage&);
    std::vector<std::shared_ptr<PeerLink>> openLinks() const;
    void handleEnd(PeerLink&, LinkEnd);
    void countSent(const PeerLink&, SentBytes&) const;

    boost::asio::io_context& context_;
    Options options_;
    Handlers handlers_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::map<NetworkAddress, Outbound> outbound_;
    std::set<std::shared_ptr<PeerLink>> inbound_;
    // Of connections that have ended.
    SentBytes sentBefore_;
};

} // namespace Balsammill
