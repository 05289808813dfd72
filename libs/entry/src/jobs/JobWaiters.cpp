#include "JobWaiters.h"

#include <utility>

namespace Balsammill::Detail {

JobWaiters::JobWaiters(std::uint64_t firstId)
    : nextId_(firstId)
{
}

RequestId JobWaiters::addThread()
{
    std::lock_guard lock(mutex_);
    const RequestId id { nextId_++ };
    auto& waiter = waiters_[id];
    if (shutDown_)
        waiter.reply = *shutDown_;
    return id;
}

std::optional<RequestId> JobWaiters::addPeer(const PeerRequest& request)
{
    std::lock_guard lock(mutex_);
    const auto [entry, added] = peers_.try_emplace(request, RequestId { nextId_ });
    if (!added)
        return std::nullopt;
    ++nextId_;
    waiters_[entry->second].peer = request;
    return entry->second;
}

std::optional<JobReply> JobWaiters::wait(RequestId id, TimePoint deadline)
{
    std::unique_lock lock(mutex_);
    const auto found = waiters_.find(id);
    if (found == waiters_.end())
        return std::nullopt;
    auto& waiter = found->second;
    if (!waiter.arrived.wait_until(lock, deadline, [&waiter] { return waiter.reply.has_value(); }))
        return std::nullopt;
    auto reply = std::move(waiter.reply);
    waiters_.erase(found);
    return reply;
}

void JobWaiters::remove(RequestId id)
{
    std::lock_guard lock(mutex_);
    const auto found = waiters_.find(id);
    if (found == waiters_.end())
        return;
    if (found->second.peer)
        peers_.erase(*found->second.peer);
    waiters_.erase(found);
}

std::optional<PeerRequest> JobWaiters::reply(RequestId id, JobReply reply)
{
    std::lock_guard lock(mutex_);
    const auto found = waiters_.find(id);
    if (found == waiters_.end())
        return std::nullopt;
    auto& waiter = found->second;
    if (!waiter.peer) {
        if (!waiter.reply)
            waiter.reply = std::move(reply);
        waiter.arrived.notify_all();
        return std::nullopt;
    }
    const auto peer = *waiter.peer;
    peers_.erase(peer);
    waiters_.erase(found);
    return peer;
}

void JobWaiters::shutDown(const RpcErrorDetails& error)
{
    std::lock_guard lock(mutex_);
    shutDown_ = error;
    for (auto& [id, waiter] : waiters_) {
        if (waiter.peer || waiter.reply)
            continue;
        waiter.reply = error;
        waiter.arrived.notify_all();
    }
}

} // namespace Balsammill::Detail
