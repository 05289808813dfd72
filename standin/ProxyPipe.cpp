#include "ProxyPipe.h"

#include <algorithm>

namespace Balsammill::Standin {

void ProxyPipe::push(std::string_view bytes, TimePoint now, const DirectionFaults& faults, std::mt19937_64& random)
{
    if (faults.drop) {
        hasDroppedBytes_ = true;
        return;
    }
    std::uniform_int_distribution<Duration::rep> jitter(0, faults.jitter.count());
    lastDeliverAt_ = std::max(lastDeliverAt_, now + faults.delay + Duration(jitter(random)));
    chunks_.push_back({ .deliverAt = lastDeliverAt_, .bytes = std::string(bytes) });
    queuedBytes_ += bytes.size();
}

void ProxyPipe::pushEnd(TimePoint now, const DirectionFaults& faults)
{
    lastDeliverAt_ = std::max(lastDeliverAt_, now + faults.delay);
    ended_ = true;
}

std::string_view ProxyPipe::readyBytes(TimePoint now, const DirectionFaults& faults) const
{
    if (chunks_.empty() || faults.hold || faults.drop || chunks_.front().deliverAt > now)
        return {};
    return std::string_view(chunks_.front().bytes).substr(chunks_.front().consumed);
}

void ProxyPipe::consume(std::size_t count)
{
    auto& chunk = chunks_.front();
    chunk.consumed += count;
    queuedBytes_ -= count;
    if (chunk.consumed == chunk.bytes.size())
        chunks_.pop_front();
}

bool ProxyPipe::isEndReady(TimePoint now, const DirectionFaults& faults) const
{
    return ended_ && chunks_.empty() && !faults.hold && !faults.drop && lastDeliverAt_ <= now;
}

std::optional<TimePoint> ProxyPipe::nextDelivery(TimePoint now, const DirectionFaults& faults) const
{
    if (faults.hold || faults.drop)
        return std::nullopt;
    if (!chunks_.empty())
        return chunks_.front().deliverAt > now ? std::optional(chunks_.front().deliverAt) : std::nullopt;
    if (ended_)
        return lastDeliverAt_;
    return std::nullopt;
}

} // namespace Balsammill::Standin
