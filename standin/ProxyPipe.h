#pragma once

#include "ProxyFaults.h"

#include <deque>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace Balsammill::Standin {

/// Queue of the bytes in transit in one direction of a connection, with their delivery times. Preserves their order.
class ProxyPipe {
public:
    /// Queues bytes, or discards them if the direction has the drop fault.
    void push(std::string_view bytes, TimePoint now, const DirectionFaults&, std::mt19937_64&);
    /// Marks the end of the stream.
    void pushEnd(TimePoint now, const DirectionFaults&);

    /// Returns false after the end of the stream, or while the queue is full, which applies backpressure to the sender.
    bool acceptsInput() const { return !ended_ && queuedBytes_ < maxQueuedBytes; }
    /// Returns bytes that may be delivered now; empty if there are none.
    std::string_view readyBytes(TimePoint now, const DirectionFaults&) const;
    void consume(std::size_t count);
    /// Returns true if all bytes have been delivered and the end of the stream may be delivered now.
    bool isEndReady(TimePoint now, const DirectionFaults&) const;
    /// Returns the time of the next delivery; empty if none is scheduled. Bytes that are already due are not included:
    /// they wait for their socket to become writable.
    std::optional<TimePoint> nextDelivery(TimePoint now, const DirectionFaults&) const;

    /// Returns true if bytes were discarded, so that later bytes must not be delivered because the stream has a gap.
    bool hasDroppedBytes() const { return hasDroppedBytes_; }

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
    bool hasDroppedBytes_ { false };
};

} // namespace Balsammill::Standin
