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

/// Accepts connections and gives each a thread of the pool.
///
/// POCO's TCPServer is not used: it queues connections over the limit without an answer, and its accepting thread keeps
/// a reference to each socket that its connection's thread may outlive, which thread sanitizer reports as a race
/// because the library's reference counts are not instrumented.
class Acceptor : public Poco::Runnable {
public:
    Acceptor(const Poco::Net::ServerSocket&, ServerState&);
    ~Acceptor() override;
    Acceptor(const Acceptor&) = delete;
    Acceptor& operator=(const Acceptor&) = delete;

    void start() { thread_.start(*this); }
    /// Stops accepting; connections go on.
    void stop();
    /// Waits until every connection has ended.
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
    /// Closing at once would reset a refused connection and could destroy the answer before the peer reads it.
    std::deque<std::unique_ptr<ServerConnection>> refused_;
};

} // namespace Balsammill::Detail
