#include "ServerState.h"

namespace Balsammill::Detail {

bool ServerState::addStream(HttpStream& stream)
{
    std::lock_guard lock(mutex_);
    if (stopping_ || streams_.size() >= options.maxConnections)
        return false;
    streams_.insert(&stream);
    return true;
}

void ServerState::removeStream(HttpStream& stream)
{
    std::lock_guard lock(mutex_);
    streams_.erase(&stream);
}

bool ServerState::isStopping() const
{
    std::lock_guard lock(mutex_);
    return stopping_;
}

void ServerState::stopStreams()
{
    std::lock_guard lock(mutex_);
    stopping_ = true;
    for (auto* stream : streams_)
        stream->shutdownReceive();
}

void ServerState::beginRequest()
{
    std::lock_guard lock(mutex_);
    ++inFlight_;
}

void ServerState::endRequest()
{
    std::lock_guard lock(mutex_);
    if (--inFlight_ == 0)
        idle_.notify_all();
}

std::size_t ServerState::requestsInFlight() const
{
    std::lock_guard lock(mutex_);
    return inFlight_;
}

bool ServerState::waitUntilIdle(TimePoint deadline) const
{
    std::unique_lock lock(mutex_);
    return idle_.wait_until(lock, deadline, [this] { return inFlight_ == 0; });
}

} // namespace Balsammill::Detail
