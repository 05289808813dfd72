#include "SimulatedLink.h"

#include <algorithm>

namespace Balsammill::Shards::Testing {

void SimulatedWire::send(SimulatedWorld& world, int fromSide, Message message)
{
    auto& direction = toward[static_cast<std::size_t>(1 - fromSide)];
    if (world.now >= direction.silentFrom)
        return;
    const auto delay = world.oneIn(200) ? world.between(50, 1'000) : world.between(1, 5);
    direction.lastArrivalAt = std::max(direction.lastArrivalAt, world.now + delay);
    direction.messages.emplace_back(direction.lastArrivalAt, std::move(message));
}

void SimulatedLink::send(SimulatedProcess& process, PeerContent content)
{
    if (!closed)
        wire->send(process.world, side,
            { .content = std::move(content), .sentAt = process.now(), .echoedSentAt = peerSentAt });
}

void SimulatedLink::receive(const SimulatedProcess& process, const SimulatedWire::Message& message)
{
    lastReceivedAt = process.now();
    peerSentAt = std::max(peerSentAt, message.sentAt);
    if (message.echoedSentAt != 0 && message.echoedSentAt <= lastReceivedAt)
        confirmedAt = std::max(confirmedAt, message.echoedSentAt);
}

bool SimulatedLink::isExpired(const SimulatedProcess& process) const
{
    const bool confirmed = inbound() && process.world.confirmation != Confirmation::Off;
    const auto aliveAt = confirmed ? std::min(lastReceivedAt, confirmedAt) : lastReceivedAt;
    return process.now() - aliveAt > timeoutMs;
}

} // namespace Balsammill::Shards::Testing
