#pragma once

#include "balsammill/http/HttpMessages.h"
#include "balsammill/http/HttpServer.h"

#include <list>
#include <optional>
#include <string>
#include <unordered_map>

namespace Balsammill::Detail {

/// Accounts for all connections of a server and selects those to close when they exceed the budget together. Every
/// operation takes constant time, because a crowd of clients causes one for each of its connections.
class ConnectionTable {
public:
    enum class State {
        /// No byte of a request has been received.
        Idle,
        /// A request is incomplete.
        Receiving,
        /// A request is being processed. Such a connection is never selected.
        Busy,
        /// A response is being sent.
        Sending,
    };

    void setBudget(const HttpServerBudget& budget) { budget_ = budget; }
    void add(HttpConnectionId, const std::string& clientAddress);
    void remove(HttpConnectionId);
    void setState(HttpConnectionId, State);
    /// Bytes that are buffered for the connection.
    void setBytes(HttpConnectionId, std::size_t bytes);
    std::size_t bytes() const { return bytes_; }
    std::size_t size() const { return entries_.size(); }
    /// Bytes of the connections whose request is being processed.
    std::size_t busyBytes() const { return busyBytes_; }
    std::size_t maxBytes() const { return budget_.maxBufferedBytes; }
    /// The connection to close next because there would be too many of them with this many more; empty if there are
    /// not, or if all are busy.
    std::optional<HttpConnectionId> excessConnection(std::size_t more) const;
    /// The connection to close next because too many bytes are buffered besides those of busy connections, which may
    /// use the budget once more.
    std::optional<HttpConnectionId> excessBytes() const;
    /// False if clients that have sent requests in advance have to wait.
    bool mayReadAhead() const { return bytes_ <= budget_.maxBufferedBytes / 2; }

private:
    using Order = std::list<HttpConnectionId>;
    struct Entry {
        std::string address;
        State state { State::Idle };
        std::size_t bytes { 0 };
        Order::iterator position {};
    };

    Order& orderOf(State);
    bool isFromLargestClient(HttpConnectionId) const;
    /// A connection of the client address that holds more than half of all; empty if there is none.
    std::optional<HttpConnectionId> ofLargestClient(const Order&) const;

    HttpServerBudget budget_;
    std::unordered_map<HttpConnectionId, Entry> entries_;
    // By the time since which each connection has been in its state, oldest first.
    Order idle_;
    Order receiving_;
    Order busy_;
    Order sending_;
    std::unordered_map<std::string, std::size_t> connectionsByAddress_;
    // Address with the most connections when one was last added.
    std::string largestClient_;
    std::size_t bytes_ { 0 };
    std::size_t busyBytes_ { 0 };
};

} // namespace Balsammill::Detail
