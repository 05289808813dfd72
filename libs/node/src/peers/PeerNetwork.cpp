#include "PeerNetwork.h"

#include "balsammill/http/HttpServer.h"
#include "balsammill/internal/shard.pb.h"

#include <algorithm>

namespace Balsammill {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// Statuses come every 100 to 250 ms, so three are missing by then; a stop and a client's resend fit behind it.
constexpr Duration silenceLimit = std::chrono::milliseconds(800);
constexpr Duration reconnectDelay = std::chrono::milliseconds(100);
// An address that no record names any more is let go of after this time.
constexpr Duration forgetAfter = std::chrono::seconds(5);

} // namespace

PeerNetwork::PeerNetwork(asio::io_context& context, const Options& options, Handlers handlers)
    : context_(context)
    , options_(options)
    , handlers_(std::move(handlers))
    , acceptor_(context, parseEndpoint(options.listen))
{
    accept();
}

PeerNetwork::~PeerNetwork()
{
    handlers_ = { .message = [](PeerLink&, const auto&) {}, .closed = [](PeerLink&) {} };
    auto outbound = std::move(outbound_);
    outbound_.clear();
    for (auto& [address, entry] : outbound) {
        if (entry.link)
            entry.link->close(LinkEnd::Closed);
    }
    const auto inbound = inbound_;
    for (const auto& link : inbound)
        link->close(LinkEnd::Closed);
}

void PeerNetwork::accept()
{
    acceptor_.async_accept([this](error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error) {
            const auto link = std::make_shared<PeerLink>(
                std::move(socket), true, [this](PeerLink& from, const auto& message) { handle(from, message); },
                [this](PeerLink& ended, LinkEnd end) { handleEnd(ended, end); });
            inbound_.insert(link);
            link->start(nullptr, [this](PeerLink& opened) { greet(opened); });
        }
        accept();
    });
}

void PeerNetwork::greet(PeerLink& link)
{
    balsammill::internal::ShardPeerMessage message;
    auto* hello = message.mutable_hello();
    hello->set_vm(options_.self.vm.value);
    hello->set_incarnation(options_.self.incarnation.value);
    hello->set_failure_domain(options_.domain.value);
    link.send(message);
}

void PeerNetwork::connect(const NetworkAddress& address, Outbound& entry, TimePoint now)
{
    entry.retryAt = now + reconnectDelay;
    // Addresses come from records and messages of others; one that cannot be used is that of a peer that is silent.
    const auto endpoint = findEndpoint(address);
    if (!endpoint)
        return;
    entry.link = std::make_shared<PeerLink>(
        asio::ip::tcp::socket(context_), false, [this](PeerLink& from, const auto& message) { handle(from, message); },
        [this](PeerLink& ended, LinkEnd end) { handleEnd(ended, end); });
    entry.link->start(&*endpoint, [this](PeerLink& opened) { greet(opened); });
}

std::shared_ptr<PeerLink> PeerNetwork::linkTo(const NetworkAddress& address, TimePoint now)
{
    auto& entry = outbound_[address];
    entry.wantedAt = now;
    if (!entry.link && now >= entry.retryAt)
        connect(address, entry, now);
    return entry.state == Shards::PeerState::Connected ? entry.link : nullptr;
}

Shards::PeerState PeerNetwork::stateOf(const NetworkAddress& address) const
{
    const auto found = outbound_.find(address);
    return found == outbound_.end() ? Shards::PeerState::Silent : found->second.state;
}

bool PeerNetwork::connectedToAny() const
{
    for (const auto& [address, entry] : outbound_) {
        if (entry.state == Shards::PeerState::Connected)
            return true;
    }
    return !inbound_.empty();
}

void PeerNetwork::advance(TimePoint now)
{
    std::vector<std::shared_ptr<PeerLink>> silent;
    for (auto it = outbound_.begin(); it != outbound_.end();) {
        if (it->second.link && now - it->second.link->lastHeardAt() > silenceLimit)
            silent.push_back(it->second.link);
        if (now - it->second.wantedAt > forgetAfter) {
            if (it->second.link)
                silent.push_back(it->second.link);
            it = outbound_.erase(it);
        } else {
            ++it;
        }
    }
    for (const auto& link : inbound_) {
        if (now - link->lastHeardAt() > silenceLimit)
            silent.push_back(link);
    }
    for (const auto& link : silent)
        link->close(LinkEnd::Silent);
}

void PeerNetwork::handle(PeerLink& from, const balsammill::internal::ShardPeerMessage& message)
{
    if (message.has_hello()) {
        from.setPeer({ .vm = VmName(message.hello().vm()), .incarnation = Incarnation(message.hello().incarnation()) },
            FailureDomain(message.hello().failure_domain()));
        for (auto& [address, entry] : outbound_) {
            if (entry.link.get() == &from)
                entry.state = Shards::PeerState::Connected;
        }
        return;
    }
    handlers_.message(from, message);
}

void PeerNetwork::countSent(const PeerLink& link, SentBytes& sum) const
{
    (link.domain() == options_.domain ? sum.ownDomain : sum.otherDomains) += link.sentBytes();
}

PeerNetwork::SentBytes PeerNetwork::sentBytes() const
{
    auto sum = sentBefore_;
    for (const auto& link : openLinks())
        countSent(*link, sum);
    return sum;
}

void PeerNetwork::handleEnd(PeerLink& ended, LinkEnd end)
{
    countSent(ended, sentBefore_);
    for (auto& [address, entry] : outbound_) {
        if (entry.link.get() != &ended)
            continue;
        entry.state = end == LinkEnd::Refused ? Shards::PeerState::Refused : Shards::PeerState::Silent;
        entry.link.reset();
        break;
    }
    std::erase_if(inbound_, [&ended](const auto& link) { return link.get() == &ended; });
    handlers_.closed(ended);
}

std::vector<std::shared_ptr<PeerLink>> PeerNetwork::openLinks() const
{
    std::vector<std::shared_ptr<PeerLink>> links(inbound_.begin(), inbound_.end());
    for (const auto& [address, entry] : outbound_) {
        if (entry.state == Shards::PeerState::Connected && entry.link)
            links.push_back(entry.link);
    }
    return links;
}

std::vector<std::shared_ptr<PeerLink>> PeerNetwork::peersIn(const FailureDomain& domain) const
{
    std::map<VmName, std::shared_ptr<PeerLink>> byVm;
    for (const auto& link : openLinks()) {
        if (link->domain() == domain && !link->leaving() && link->peer().vm != options_.self.vm)
            byVm[link->peer().vm] = link;
    }
    std::vector<std::shared_ptr<PeerLink>> links;
    for (const auto& [vm, link] : byVm)
        links.push_back(link);
    return links;
}

std::shared_ptr<PeerLink> PeerNetwork::linkOf(const PeerId& peer) const
{
    for (const auto& link : openLinks()) {
        if (link->peer() == peer)
            return link;
    }
    return nullptr;
}

bool PeerNetwork::acceptedFrom(const PeerId& peer) const
{
    return std::any_of(inbound_.begin(), inbound_.end(), [&](const auto& link) { return link->peer() == peer; });
}

void PeerNetwork::sendToAll(const balsammill::internal::ShardPeerMessage& message)
{
    // A link that is full closes itself while it is sent to, so the loop runs over a copy.
    for (const auto& link : openLinks())
        link->send(message);
}

} // namespace Balsammill
