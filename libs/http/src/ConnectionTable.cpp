#include "ConnectionTable.h"

#include <array>

namespace Balsammill::Detail {

namespace {

// Connections that are searched for one of the largest client. It holds more than half of all, so one is soon found.
constexpr int maxSearched = 64;

} // namespace

ConnectionTable::Order& ConnectionTable::orderOf(State state)
{
    switch (state) {
    case State::Idle:
        return idle_;
    case State::Receiving:
        return receiving_;
    case State::Sending:
        return sending_;
    case State::Busy:
        break;
    }
    return busy_;
}

void ConnectionTable::add(HttpConnectionId id, const std::string& clientAddress)
{
    auto& entry = entries_[id];
    entry.address = clientAddress;
    entry.position = idle_.insert(idle_.end(), id);
    const auto count = ++connectionsByAddress_[clientAddress];
    const auto largest = connectionsByAddress_.find(largestClient_);
    if (largest == connectionsByAddress_.end() || count > largest->second)
        largestClient_ = clientAddress;
}

void ConnectionTable::remove(HttpConnectionId id)
{
    const auto found = entries_.find(id);
    if (found == entries_.end())
        return;
    orderOf(found->second.state).erase(found->second.position);
    bytes_ -= found->second.bytes;
    if (found->second.state == State::Busy)
        busyBytes_ -= found->second.bytes;
    const auto client = connectionsByAddress_.find(found->second.address);
    if (--client->second == 0)
        connectionsByAddress_.erase(client);
    entries_.erase(found);
}

void ConnectionTable::setState(HttpConnectionId id, State state)
{
    const auto found = entries_.find(id);
    if (found == entries_.end())
        return;
    auto& entry = found->second;
    auto& target = orderOf(state);
    target.splice(target.end(), orderOf(entry.state), entry.position);
    if (entry.state == State::Busy)
        busyBytes_ -= entry.bytes;
    entry.state = state;
    if (entry.state == State::Busy)
        busyBytes_ += entry.bytes;
}

void ConnectionTable::setBytes(HttpConnectionId id, std::size_t bytes)
{
    const auto found = entries_.find(id);
    if (found == entries_.end())
        return;
    bytes_ = bytes_ - found->second.bytes + bytes;
    if (found->second.state == State::Busy)
        busyBytes_ = busyBytes_ - found->second.bytes + bytes;
    found->second.bytes = bytes;
}

bool ConnectionTable::isFromLargestClient(HttpConnectionId id) const
{
    return entries_.at(id).address == largestClient_;
}

std::optional<HttpConnectionId> ConnectionTable::ofLargestClient(const Order& order) const
{
    const auto largest = connectionsByAddress_.find(largestClient_);
    if (largest == connectionsByAddress_.end() || largest->second * 2 <= entries_.size())
        return std::nullopt;
    int searched = 0;
    for (const auto& id : order) {
        if (isFromLargestClient(id))
            return id;
        if (++searched == maxSearched)
            break;
    }
    return std::nullopt;
}

std::optional<HttpConnectionId> ConnectionTable::excessConnection(std::size_t more) const
{
    if (entries_.size() + more <= budget_.maxConnections)
        return std::nullopt;
    // A client that has begun a request and does not end it uses more than one that waits.
    const std::array<const Order*, 3> orders { &receiving_, &idle_, &sending_ };
    for (const auto* order : orders) {
        if (const auto id = ofLargestClient(*order))
            return id;
    }
    for (const auto* order : orders) {
        if (!order->empty())
            return order->front();
    }
    return std::nullopt;
}

std::optional<HttpConnectionId> ConnectionTable::excessBytes() const
{
    if (bytes_ - busyBytes_ <= budget_.maxBufferedBytes)
        return std::nullopt;
    const std::array<const Order*, 2> orders { &receiving_, &sending_ };
    for (const auto* order : orders) {
        if (const auto id = ofLargestClient(*order))
            return id;
    }
    for (const auto* order : orders) {
        if (!order->empty())
            return order->front();
    }
    return std::nullopt;
}

} // namespace Balsammill::Detail
