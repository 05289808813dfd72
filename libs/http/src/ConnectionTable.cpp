#include "ConnectionTable.h"

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
    entry.state = state;
}

void ConnectionTable::setBytes(HttpConnectionId id, std::size_t bytes)
{
    const auto found = entries_.find(id);
    if (found == entries_.end())
        return;
    bytes_ = bytes_ - found->second.bytes + bytes;
    found->second.bytes = bytes;
}

bool ConnectionTable::isFromLargestClient(HttpConnectionId id) const
{
    return entries_.at(id).address == largestClient_;
}

std::optional<HttpConnectionId> ConnectionTable::oldest(const Order& order) const
{
    if (order.empty())
        return std::nullopt;
    const auto largest = connectionsByAddress_.find(largestClient_);
    if (largest == connectionsByAddress_.end() || largest->second * 2 <= entries_.size())
        return order.front();
    int searched = 0;
    for (const auto& id : order) {
        if (isFromLargestClient(id))
            return id;
        if (++searched == maxSearched)
            break;
    }
    return order.front();
}

std::optional<HttpConnectionId> ConnectionTable::excessConnection() const
{
    if (entries_.size() <= budget_.maxConnections)
        return std::nullopt;
    // A client that has begun a request and does not end it uses more than one that waits.
    if (const auto receiving = oldest(receiving_))
        return receiving;
    if (const auto idle = oldest(idle_))
        return idle;
    return oldest(sending_);
}

std::optional<HttpConnectionId> ConnectionTable::excessBytes() const
{
    if (bytes_ <= budget_.maxBufferedBytes)
        return std::nullopt;
    return oldest(receiving_);
}

} // namespace Balsammill::Detail
