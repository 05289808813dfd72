#pragma once

#include "FileDescriptor.h"
#include "ProxyPipe.h"

#include <cstdint>
#include <poll.h>
#include <vector>

namespace Balsammill::Standin {

/// A client connection through a route, with the proxy's connection to the target. Not thread-safe.
class ProxyConnection {
public:
    /// Both sockets are non-blocking. The connection to the target is still being established.
    ProxyConnection(FileDescriptor client, FileDescriptor target);

    /// Appends two entries, first that of the client, then that of the target.
    void appendPollEntries(std::vector<pollfd>&, TimePoint now, const RouteFaults&) const;
    /// Receives and delivers the bytes that are due. The polls are the two entries that appendPollEntries() appended.
    void processEvents(const pollfd* polls, TimePoint now, const RouteFaults&, std::mt19937_64&);
    std::optional<TimePoint> nextDelivery(TimePoint now, const RouteFaults&) const;

    /// Called when the faults of the route change. Restarts the count for closeAfterBytes. Resets the connection if the
    /// route is cut or if a direction that has dropped bytes no longer drops them, because TCP never delivers a stream
    /// with a gap.
    void onFaultsChanged(const RouteFaults&);
    void reset();
    bool isClosed() const { return !client_.socket.isOpen() && !target_.socket.isOpen(); }

private:
    struct Endpoint {
        FileDescriptor socket;
        /// Bytes from this endpoint to the other.
        ProxyPipe outgoing;
        bool endDelivered { false };
        /// The socket failed; the other endpoint gets a reset after the outgoing bytes.
        bool failed { false };
    };

    static short pollEventsFor(
        const Endpoint& endpoint, const Endpoint& other, TimePoint now, const DirectionFaults& faultsTowardsEndpoint);
    void receive(Endpoint&, TimePoint now, const DirectionFaults&, std::mt19937_64&);
    void deliver(Endpoint& from, Endpoint& to, TimePoint now, const DirectionFaults&, const RouteFaults&);
    void deliverEnd(Endpoint& from, Endpoint& to, TimePoint now, const DirectionFaults&);
    static void fail(Endpoint&, TimePoint now, const DirectionFaults&);
    void close();

    Endpoint client_;
    Endpoint target_;
    bool connecting_ { true };
    std::uint64_t forwardedBytes_ { 0 };
};

} // namespace Balsammill::Standin
