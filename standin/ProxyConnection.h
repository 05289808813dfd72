#pragma once

#include "FileDescriptor.h"
#include "ProxyPipe.h"

#include <cstdint>
#include <poll.h>
#include <vector>

namespace Balsammill::Standin {

/// One client's connection through a route and its counterpart to the target. Used by one thread.
class ProxyConnection {
public:
    /// Both sockets are non-blocking; the target's is still being connected.
    ProxyConnection(FileDescriptor client, FileDescriptor target);

    /// Appends two entries, client first.
    void addPolls(std::vector<pollfd>&, TimePoint now, const RouteFaults&) const;
    /// Reads and delivers what it can. The entries are those that addPolls() made.
    void advance(const pollfd* polls, TimePoint now, const RouteFaults&, std::mt19937_64&);
    std::optional<TimePoint> nextDelivery(TimePoint now, const RouteFaults&) const;

    /// Called when the route's faults change: counts bytes anew, and resets the connection if bytes that it lost would
    /// now be missing from the stream, which TCP never lets happen.
    void onFaultsChanged(const RouteFaults&);
    void reset();
    bool isClosed() const { return !client_.socket.isOpen() && !target_.socket.isOpen(); }

private:
    struct Side {
        FileDescriptor socket;
        /// Bytes from this side to the other.
        ProxyPipe outgoing;
        bool endDelivered { false };
        /// The socket failed; the end of the outgoing bytes is delivered as a reset.
        bool failed { false };
    };

    static short eventsOf(const Side& side, const Side& other, TimePoint now, const DirectionFaults& towardsSide);
    void receive(Side&, TimePoint now, const DirectionFaults&, std::mt19937_64&);
    void deliver(Side& from, Side& to, TimePoint now, const DirectionFaults&, const RouteFaults&);
    void deliverEnd(Side& from, Side& to, TimePoint now, const DirectionFaults&);
    static void fail(Side&, TimePoint now, const DirectionFaults&);
    void close();

    Side client_;
    Side target_;
    bool connecting_ { true };
    std::uint64_t carriedBytes_ { 0 };
};

} // namespace Balsammill::Standin
