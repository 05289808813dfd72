#include "ProxyConnection.h"

#include "ProxySockets.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/socket.h>

namespace Balsammill::Standin {

namespace {

constexpr short broken = POLLERR | POLLHUP | POLLNVAL;

/// poll() reports broken sockets even if nothing is asked; a negative descriptor keeps that from spinning the loop.
pollfd pollOf(const FileDescriptor& socket, short events)
{
    return { .fd = events == 0 ? -1 : socket.get(), .events = events, .revents = 0 };
}

} // namespace

ProxyConnection::ProxyConnection(FileDescriptor client, FileDescriptor target)
    : client_ { .socket = std::move(client), .outgoing = {} }
    , target_ { .socket = std::move(target), .outgoing = {} }
{
}

short ProxyConnection::eventsOf(const Side& side, const Side& other, TimePoint now, const DirectionFaults& towardsSide)
{
    const bool reads = side.outgoing.wantsInput();
    const bool writes = !other.outgoing.ready(now, towardsSide).empty();
    return static_cast<short>((reads ? POLLIN : 0) | (writes ? POLLOUT : 0));
}

void ProxyConnection::addPolls(std::vector<pollfd>& polls, TimePoint now, const RouteFaults& faults) const
{
    polls.push_back(pollOf(client_.socket, eventsOf(client_, target_, now, faults.fromTarget)));
    const auto targetEvents
        = connecting_ ? static_cast<short>(POLLOUT) : eventsOf(target_, client_, now, faults.toTarget);
    polls.push_back(pollOf(target_.socket, targetEvents));
}

void ProxyConnection::advance(const pollfd* polls, TimePoint now, const RouteFaults& faults, std::mt19937_64& random)
{
    if (connecting_ && polls[1].revents != 0) {
        connecting_ = false;
        if (!connectSucceeded(target_.socket))
            fail(target_, now, faults.fromTarget);
    }
    if ((polls[0].revents & (POLLIN | broken)) != 0)
        receive(client_, now, faults.toTarget, random);
    if (!connecting_ && (polls[1].revents & (POLLIN | broken)) != 0)
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

void ProxyConnection::receive(Side& side, TimePoint now, const DirectionFaults& faults, std::mt19937_64& random)
{
    std::array<char, 64 * 1024> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init): only what was read is used.
    if (!side.socket.isOpen() || !side.outgoing.wantsInput())
        return;
    const auto count = ::recv(side.socket.get(), buffer.data(), buffer.size(), 0);
    if (count > 0)
        side.outgoing.push({ buffer.data(), static_cast<std::size_t>(count) }, now, faults, random);
    else if (count == 0)
        side.outgoing.pushEnd(now, faults);
    else if (errno != EAGAIN && errno != EINTR)
        fail(side, now, faults);
}

void ProxyConnection::deliver(
    Side& from, Side& to, TimePoint now, const DirectionFaults& faults, const RouteFaults& route)
{
    for (auto bytes = from.outgoing.ready(now, faults); !bytes.empty(); bytes = from.outgoing.ready(now, faults)) {
        if (!to.socket.isOpen()) {
            from.outgoing.consume(bytes.size());
            continue;
        }
        if (route.closeAfterBytes) {
            const auto left = *route.closeAfterBytes - std::min(carriedBytes_, *route.closeAfterBytes);
            if (left == 0)
                return close();
            bytes = bytes.substr(0, left);
        }
        const auto count = ::send(to.socket.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0 && (errno == EAGAIN || errno == EINTR))
            return;
        if (count < 0)
            return fail(to, now, faults);
        from.outgoing.consume(static_cast<std::size_t>(count));
        carriedBytes_ += static_cast<std::uint64_t>(count);
        if (route.closeAfterBytes && carriedBytes_ >= *route.closeAfterBytes)
            return close();
    }
}

void ProxyConnection::deliverEnd(Side& from, Side& to, TimePoint now, const DirectionFaults& faults)
{
    if (from.endDelivered || !from.outgoing.endReady(now, faults))
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

void ProxyConnection::fail(Side& side, TimePoint now, const DirectionFaults& faults)
{
    side.socket.reset();
    side.failed = true;
    side.outgoing.pushEnd(now, faults);
}

std::optional<TimePoint> ProxyConnection::nextDelivery(TimePoint now, const RouteFaults& faults) const
{
    const auto later
        = client_.endDelivered || connecting_ ? std::nullopt : client_.outgoing.nextDelivery(now, faults.toTarget);
    const auto other = target_.endDelivered ? std::nullopt : target_.outgoing.nextDelivery(now, faults.fromTarget);
    if (!later || !other)
        return later ? later : other;
    return std::min(*later, *other);
}

void ProxyConnection::onFaultsChanged(const RouteFaults& faults)
{
    carriedBytes_ = 0;
    const bool missing = (client_.outgoing.hasLostBytes() && !faults.toTarget.drop)
        || (target_.outgoing.hasLostBytes() && !faults.fromTarget.drop);
    if (faults.cut || missing)
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
