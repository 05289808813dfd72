#include "PeerNetwork.h"

#include "TimeBudgets.h"

#include "balsammill/http/HttpServer.h"
#include "balsammill/internal/shard.pb.h"

#include <algorithm>

namespace Balsammill {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// Delay before connections are accepted again after an error, such as a lack of descriptors.
constexpr Duration acceptRetryDelay = std::chrono::milliseconds(50);

// The other end of an inbound connection gives up its submissions after peerTimeout without a message from here, which
// counts from the last message that it has confirmed.
bool isExpired(const PeerLink& link, TimePoint now)
{
    const auto lastUsedAt
        = link.inbound() ? std::min(link.lastReceivedAt(), link.confirmedAt()) : link.lastReceivedAt();
    return now - lastUsedAt > peerTimeout;
}

constexpr Duration reconnectDelay = std::chrono::milliseconds(100);
// Connections to addresses that are no longer in any record are closed after this time.
constexpr Duration unusedAddressRetention = std::chrono::seconds(5);

} // namespace

PeerNetwork::PeerNetwork(asio::io_context& context, const Options& options, Handlers handlers)
    : context_(context)
    , options_(options)
    , handlers_(std::move(handlers))
    , acceptor_(context, parseEndpoint(options.listen))
    , acceptTimer_(context)
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
            entry.link->close(CloseReason::Closed);
    }
    const auto inbound = inbound_;
    for (const auto& link : inbound)
        link->close(CloseReason::Closed);
}

void PeerNetwork::accept()
{
    acceptor_.async_accept([this](error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (error) {
            acceptTimer_.expires_after(acceptRetryDelay);
            acceptTimer_.async_wait([this](error_code timerError) {
                if (!timerError)
                    accept();
            });
            return;
        }
        const auto link = std::make_shared<PeerLink>(
            nextLinkId(), std::move(socket), true,
            [this](PeerLink& from, const auto& message) { handle(from, message); },
            [this](PeerLink& closedLink, CloseReason reason) { handleClosed(closedLink, reason); });
        inbound_.insert(link);
        link->start(nullptr, [this](PeerLink& opened) { sendHello(opened); });
        accept();
    });
}

void PeerNetwork::sendHello(PeerLink& link)
{
    balsammill::internal::ShardPeerMessage message;
    auto* hello = message.mutable_hello();
    hello->set_vm(options_.self.vm.value);
    hello->set_incarnation(options_.self.incarnation.value);
    hello->set_failure_domain(options_.domain.value);
    hello->set_processor_milli_cores(options_.capacity.processorMilliCores);
    hello->set_link_kbit_per_s(options_.capacity.linkKbitPerSecond);
    hello->set_memory_mb(options_.capacity.memoryMb);
    link.send(message);
}

void PeerNetwork::connect(const NetworkAddress& address, Outbound& entry, TimePoint now)
{
    entry.retryAt = now + reconnectDelay;
    // Addresses come from records and messages of other entries; an invalid one is treated as that of a silent peer.
    const auto endpoint = tryParseEndpoint(address);
    if (!endpoint)
        return;
    entry.link = std::make_shared<PeerLink>(
        nextLinkId(), asio::ip::tcp::socket(context_), false,
        [this](PeerLink& from, const auto& message) { handle(from, message); },
        [this](PeerLink& closedLink, CloseReason reason) { handleClosed(closedLink, reason); });
    entry.link->start(&*endpoint, [this](PeerLink& opened) { sendHello(opened); });
}

std::shared_ptr<PeerLink> PeerNetwork::linkTo(const NetworkAddress& address, TimePoint now)
{
    auto& entry = outbound_[address];
    entry.lastRequestedAt = now;
    if (!entry.link && now >= entry.retryAt)
        connect(address, entry, now);
    return entry.state == Shards::PeerState::Connected ? entry.link : nullptr;
}

Shards::PeerState PeerNetwork::stateOf(const NetworkAddress& address) const
{
    const auto found = outbound_.find(address);
    return found == outbound_.end() ? Shards::PeerState::Unresponsive : found->second.state;
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
    std::vector<std::shared_ptr<PeerLink>> expired;
    for (auto it = outbound_.begin(); it != outbound_.end();) {
        if (it->second.link && isExpired(*it->second.link, now))
            expired.push_back(it->second.link);
        if (now - it->second.lastRequestedAt > unusedAddressRetention) {
            if (it->second.link)
                expired.push_back(it->second.link);
            it = outbound_.erase(it);
        } else {
            ++it;
        }
    }
    for (const auto& link : inbound_) {
        if (isExpired(*link, now))
            expired.push_back(link);
    }
    for (const auto& link : expired)
        link->close(CloseReason::Unresponsive);
}

void PeerNetwork::handle(PeerLink& from, const balsammill::internal::ShardPeerMessage& message)
{
    // The other process may have given up on the connection while this message was delayed.
    if (isExpired(from, monotonicNow())) {
        from.close(CloseReason::Unresponsive);
        return;
    }
    if (message.has_hello()) {
        const auto& hello = message.hello();
        from.setPeer({ .vm = VmName(hello.vm()), .incarnation = Incarnation(hello.incarnation()) },
            FailureDomain(hello.failure_domain()),
            { .processorMilliCores = hello.processor_milli_cores(),
                .linkKbitPerSecond = hello.link_kbit_per_s(),
                .memoryMb = hello.memory_mb() });
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
    auto sum = closedLinksSentBytes_;
    for (const auto& link : openLinks())
        countSent(*link, sum);
    return sum;
}

bool PeerNetwork::hasPendingBytes() const
{
    const auto links = openLinks();
    return std::any_of(links.begin(), links.end(), [](const auto& link) { return link->hasPendingBytes(); });
}

void PeerNetwork::handleClosed(PeerLink& closedLink, CloseReason reason)
{
    countSent(closedLink, closedLinksSentBytes_);
    for (auto& [address, entry] : outbound_) {
        if (entry.link.get() != &closedLink)
            continue;
        entry.state = reason == CloseReason::Refused ? Shards::PeerState::Refused : Shards::PeerState::Unresponsive;
        entry.link.reset();
        break;
    }
    std::erase_if(inbound_, [&closedLink](const auto& link) { return link.get() == &closedLink; });
    handlers_.closed(closedLink);
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
    std::shared_ptr<PeerLink> newest;
    for (const auto& link : openLinks()) {
        if (link->peer() == peer && (!newest || link->id() > newest->id()))
            newest = link;
    }
    return newest;
}

std::shared_ptr<PeerLink> PeerNetwork::linkOfVm(const VmName& vm) const
{
    std::shared_ptr<PeerLink> newest;
    for (const auto& link : openLinks()) {
        if (link->peer().vm == vm && !link->leaving() && (!newest || link->id() > newest->id()))
            newest = link;
    }
    return newest;
}

void PeerNetwork::sendToAll(const balsammill::internal::ShardPeerMessage& message)
{
    // send() closes a connection with too much unsent output, which changes the sets, so the loop iterates over a copy.
    for (const auto& link : openLinks())
        link->send(message);
}

} // namespace Balsammill
