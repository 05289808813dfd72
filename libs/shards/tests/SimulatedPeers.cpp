#include "SimulatedPeers.h"

#include <algorithm>
#include <utility>

namespace Balsammill::Shards::Testing {

namespace {

constexpr int reconnectDelay = 100;

} // namespace

SimulatedPeers::SimulatedPeers(SimulatedProcess& process, Handlers handlers)
    : process_(process)
    , handlers_(std::move(handlers))
{
}

std::shared_ptr<SimulatedLink> SimulatedPeers::add(std::shared_ptr<SimulatedWire> wire, int side)
{
    auto link = std::make_shared<SimulatedLink>();
    link->id = ++lastLink_;
    link->wire = std::move(wire);
    link->side = side;
    link->peer = link->wire->ends.at(static_cast<std::size_t>(1 - side));
    link->lastReceivedAt = link->confirmedAt = process_.now();
    links_.push_back(link);
    link->send(process_, HelloMessage {});
    return link;
}

std::shared_ptr<SimulatedLink> SimulatedPeers::linkTo(int place)
{
    auto& entry = outbound_[place];
    if (!entry.link && process_.now() >= entry.retryAt) {
        entry.retryAt = process_.now() + reconnectDelay;
        if (auto wire = handlers_.connect(place))
            entry.link = add(std::move(wire), 0);
    }
    return entry.link && entry.link->connected ? entry.link : nullptr;
}

std::shared_ptr<SimulatedLink> SimulatedPeers::linkOf(const ProcessKey& peer)
{
    std::shared_ptr<SimulatedLink> newest;
    for (const auto& link : openLinks()) {
        if (link->peer == peer && (!newest || link->id > newest->id))
            newest = link;
    }
    return newest;
}

std::vector<std::shared_ptr<SimulatedLink>> SimulatedPeers::openLinks()
{
    std::vector<std::shared_ptr<SimulatedLink>> open;
    std::copy_if(links_.begin(), links_.end(), std::back_inserter(open),
        [](const auto& each) { return each->connected || each->inbound(); });
    std::shuffle(open.begin(), open.end(), process_.world.random);
    return open;
}

void SimulatedPeers::read()
{
    auto& world = process_.world;
    for (auto& wire : std::exchange(incoming_, {}))
        add(std::move(wire), 1);
    auto links = links_;
    std::shuffle(links.begin(), links.end(), world.random);
    for (const auto& link : links) {
        // A process that stood still reads what waited in an arbitrary order.
        if (process_.justWoken() && world.oneIn(3))
            continue;
        auto& messages = link->wire->toward.at(static_cast<std::size_t>(link->side)).messages;
        while (!link->closed && !messages.empty() && messages.front().first <= world.now) {
            const auto message = std::move(messages.front().second);
            messages.pop_front();
            handle(link, message);
            if (process_.justWoken() && world.oneIn(4))
                break;
        }
    }
}

void SimulatedPeers::handle(const std::shared_ptr<SimulatedLink>& link, const SimulatedWire::Message& message)
{
    if (std::holds_alternative<EndOfLink>(message.content)) {
        close(link);
        return;
    }
    link->receive(process_, message);
    if (link->isExpired(process_))
        close(link);
    else if (std::holds_alternative<HelloMessage>(message.content))
        link->connected = true;
    else
        handlers_.message(link, message.content);
}

void SimulatedPeers::close(const std::shared_ptr<SimulatedLink>& link)
{
    if (link->closed)
        return;
    link->send(process_, EndOfLink {});
    link->closed = true;
    std::erase(links_, link);
    if (auto& entry = outbound_[link->peer.place]; entry.link == link)
        entry.link.reset();
    handlers_.closed(*link);
}

void SimulatedPeers::advance()
{
    const auto links = links_;
    for (const auto& link : links) {
        if (link->isExpired(process_))
            close(link);
    }
}

void SimulatedPeers::sendStatus()
{
    for (const auto& link : openLinks())
        link->send(process_, StatusMessage {});
}

void SimulatedPeers::closeAll()
{
    for (const auto& link : links_)
        link->send(process_, EndOfLink {});
}

} // namespace Balsammill::Shards::Testing
