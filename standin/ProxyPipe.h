#pragma once

#include "ProxyFaults.h"

#include <deque>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace Balsammill::Standin {

/// Bytes on their way in one direction of a connection, each with the time of its delivery. The order is kept.
class ProxyPipe {
public:
    /// Queues bytes, or swallows them if the direction drops.
    void push(std::string_view bytes, TimePoint now, const DirectionFaults&, std::mt19937_64&);
    /// The source sends no more.
    void pushEnd(TimePoint now, const DirectionFaults&);

    /// False when the source ended or when so much is queued that its sender has to wait.
    bool wantsInput() const { return !ended_ && queuedBytes_ < maxQueuedBytes; }
    /// Bytes that may be delivered now; empty if none.
    std::string_view ready(TimePoint now, const DirectionFaults&) const;
    void consume(std::size_t count);
    /// True if everything was delivered and the end may be, too.
    bool endReady(TimePoint now, const DirectionFaults&) const;
    /// Time until which nothing can be delivered; empty if nothing waits for time to pass. Bytes that are ready already
    /// wait for their socket instead.
    std::optional<TimePoint> nextDelivery(TimePoint now, const DirectionFaults&) const;

    /// True if bytes were swallowed, so that the rest of the stream cannot be delivered as if nothing was missing.
    bool hasLostBytes() const { return lostBytes_; }

    static constexpr std::size_t maxQueuedBytes = 4 * 1024 * 1024;

private:
    struct Chunk {
        TimePoint deliverAt;
        std::string bytes;
        std::size_t consumed { 0 };
    };

    std::deque<Chunk> chunks_;
    std::size_t queuedBytes_ { 0 };
    TimePoint lastDeliverAt_ {};
    bool ended_ { false };
    bool lostBytes_ { false };
};

} // namespace Balsammill::Standin
