#include "ProxyConnection.h"

#include "ProxySockets.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/socket.h>

namespace Balsammill::Standin {

namespace {

constexpr short errorEvents = POLLERR | POLLHUP | POLLNVAL;

/// poll() reports socket errors even if no events are requested, which would make the loop spin. It ignores entries
/// with a negative descriptor.
pollfd makePollEntry(const FileDescriptor& socket, short events)
{
    return { .fd = events == 0 ? -1 : socket.get(), .events = events, .revents = 0 };
}

} // namespace

ProxyConnection::ProxyConnection(FileDescriptor client, FileDescriptor target)
    : client_ { .socket = std::move(client), .outgoing = {} }
    , target_ { .socket = std::move(target), .outgoing = {} }
{
}

short ProxyConnection::pollEventsFor(
    const Endpoint& endpoint, const Endpoint& other, TimePoint now, const DirectionFaults& faultsTowardsEndpoint)
{
    const bool reads = endpoint.outgoing.acceptsInput();
    const bool writes = !other.outgoing.readyBytes(now, faultsTowardsEndpoint).empty();
    return static_cast<short>((reads ? POLLIN : 0) | (writes ? POLLOUT : 0));
}

void ProxyConnection::appendPollEntries(std::vector<pollfd>& polls, TimePoint now, const RouteFaults& faults) const
{
    polls.push_back(makePollEntry(client_.socket, pollEventsFor(client_, target_, now, faults.fromTarget)));
    const auto targetEvents
        = connecting_ ? static_cast<short>(POLLOUT) : pollEventsFor(target_, client_, now, faults.toTarget);
    polls.push_back(makePollEntry(target_.socket, targetEvents));
}

void ProxyConnection::processEvents(
    const pollfd* polls, TimePoint now, const RouteFaults& faults, std::mt19937_64& random)
{
    if (connecting_ && polls[1].revents != 0) {
        connecting_ = false;
        if (!connectSucceeded(target_.socket))
            fail(target_, now, faults.fromTarget);
    }
    if ((polls[0].revents & (POLLIN | errorEvents)) != 0)
        receive(client_, now, faults.toTarget, random);
    if (!connecting_ && (polls[1].revents & (POLLIN | errorEvents)) != 0)
        receive(target_, now, faults.fromTarget, random);
    if (!connecting_)
        deliver(client_, target_, now, faults.toTarget, faults);
    deliver(target_, client_, now, faults.fromTarget, faults);
    if (!connecting_)
        deliverEnd(client_, target_, now, faults.toTarget);
    deliverEnd(target_, client_, now, faults.fromTarget);
    if (client_.endDelivered && target_.endDelivered)
        close();
}

void ProxyConnection::receive(Endpoint& endpoint, TimePoint now, const DirectionFaults& faults, std::mt19937_64& random)
{
    std::array<char, 64 * 1024> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init): only received bytes are read.
    if (!endpoint.socket.isOpen() || !endpoint.outgoing.acceptsInput())
        return;
    const auto count = ::recv(endpoint.socket.get(), buffer.data(), buffer.size(), 0);
    if (count > 0)
        endpoint.outgoing.push({ buffer.data(), static_cast<std::size_t>(count) }, now, faults, random);
    else if (count == 0)
        endpoint.outgoing.pushEnd(now, faults);
    else if (errno != EAGAIN && errno != EINTR)
        fail(endpoint, now, faults);
}

void ProxyConnection::deliver(
    Endpoint& from, Endpoint& to, TimePoint now, const DirectionFaults& faults, const RouteFaults& route)
{
    for (auto bytes = from.outgoing.readyBytes(now, faults); !bytes.empty();
         bytes = from.outgoing.readyBytes(now, faults)) {
        if (!to.socket.isOpen()) {
            from.outgoing.consume(bytes.size());
            continue;
        }
        if (route.closeAfterBytes) {
            const auto remainingBytes = *route.closeAfterBytes - std::min(forwardedBytes_, *route.closeAfterBytes);
            if (remainingBytes == 0)
                return close();
            bytes = bytes.substr(0, remainingBytes);
        }
        const auto count = ::send(to.socket.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0 && (errno == EAGAIN || errno == EINTR))
            return;
        if (count < 0)
            return fail(to, now, faults);
        from.outgoing.consume(static_cast<std::size_t>(count));
        forwardedBytes_ += static_cast<std::uint64_t>(count);
        if (route.closeAfterBytes && forwardedBytes_ >= *route.closeAfterBytes)
            return close();
    }
}

void ProxyConnection::deliverEnd(Endpoint& from, Endpoint& to, TimePoint now, const DirectionFaults& faults)
{
    if (from.endDelivered || !from.outgoing.isEndReady(now, faults))
        return;
    from.endDelivered = true;
    if (!to.socket.isOpen())
        return;
    if (from.failed) {
        closeWithReset(to.socket);
        to.endDelivered = true;
    } else {
        ::shutdown(to.socket.get(), SHUT_WR);
    }
}

void ProxyConnection::fail(Endpoint& endpoint, TimePoint now, const DirectionFaults& faults)
{
    endpoint.socket.reset();
    endpoint.failed = true;
    endpoint.outgoing.pushEnd(now, faults);
}

std::optional<TimePoint> ProxyConnection::nextDelivery(TimePoint now, const RouteFaults& faults) const
{
    const auto clientDelivery
        = client_.endDelivered || connecting_ ? std::nullopt : client_.outgoing.nextDelivery(now, faults.toTarget);
    const auto targetDelivery
        = target_.endDelivered ? std::nullopt : target_.outgoing.nextDelivery(now, faults.fromTarget);
    if (!clientDelivery || !targetDelivery)
        return clientDelivery ? clientDelivery : targetDelivery;
    return std::min(*clientDelivery, *targetDelivery);
}

void ProxyConnection::onFaultsChanged(const RouteFaults& faults)
{
    forwardedBytes_ = 0;
    const bool streamHasGap = (client_.outgoing.hasDroppedBytes() && !faults.toTarget.drop)
        || (target_.outgoing.hasDroppedBytes() && !faults.fromTarget.drop);
    if (faults.cut || streamHasGap)
        reset();
}

void ProxyConnection::reset()
{
    closeWithReset(client_.socket);
    closeWithReset(target_.socket);
}

void ProxyConnection::close()
{
    client_.socket.reset();
    target_.socket.reset();
}

} // namespace Balsammill::Standin
