#pragma once

#include "ServerConnection.h"
#include "ServerState.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Runnable.h>
#include <Poco/Thread.h>
#include <Poco/ThreadPool.h>

#include <atomic>
#include <deque>
#include <memory>

namespace Balsammill::Detail {

/// Accepts connections and serves each one on a thread of a pool.
///
/// POCO's TCPServer is not used for two reasons. It queues connections over the limit without responding. Its accepting
/// thread also keeps a reference to each socket, which it may release while the thread of the connection still runs.
/// ThreadSanitizer reports this as a race because POCO's reference counts are not instrumented.
class Acceptor : public Poco::Runnable {
public:
    Acceptor(const Poco::Net::ServerSocket&, ServerState&);
    ~Acceptor() override;
    Acceptor(const Acceptor&) = delete;
    Acceptor& operator=(const Acceptor&) = delete;

    void start() { thread_.start(*this); }
    /// Stops accepting connections. Established connections continue.
    void stop();
    /// Waits until all connections have ended.
    void joinConnections() { threads_.joinAll(); }
    std::uint16_t port() const { return listener_.address().port(); }

    void run() override;

private:
    void acceptOne();
    void startConnection(std::unique_ptr<ServerConnection>);
    void refuseOverLimit(std::unique_ptr<ServerConnection>);

    Poco::Net::ServerSocket listener_;
    ServerState& state_;
    Poco::ThreadPool threads_;
    Poco::Thread thread_;
    std::atomic<bool> stopping_ { false };
    /// Refused connections that are kept open for a while. Closing them at once would send a reset, which could discard
    /// the response before the peer reads it.
    std::deque<std::unique_ptr<ServerConnection>> refusedConnections_;
};

} // namespace Balsammill::Detail
