#include "Acceptor.h"

#include <Poco/Exception.h>
#include <Poco/Timespan.h>

namespace Balsammill::Detail {

namespace {

// A connection is removed from the connection count shortly before its thread returns to the pool, so the pool needs
// more threads than the connection limit.
constexpr int spareThreads = 16;
constexpr std::size_t maxRefusedConnections = 64;
constexpr long acceptPollIntervalMs = 50;
// accept() keeps failing while the process has no free file descriptor. The delay prevents a busy loop.
constexpr long acceptRetryDelayMs = 10;

} // namespace

Acceptor::Acceptor(const Poco::Net::ServerSocket& listener, ServerState& state)
    : listener_(listener)
    , state_(state)
    , threads_("rpc", 2, static_cast<int>(state.options.maxConnections) + spareThreads)
{
}

Acceptor::~Acceptor() { stop(); }

void Acceptor::stop()
{
    if (stopping_.exchange(true) || !thread_.isRunning())
        return;
    thread_.join();
    listener_.close();
}

void Acceptor::run()
{
    while (!stopping_) {
        try {
            if (listener_.poll(Poco::Timespan(0, acceptPollIntervalMs * 1000), Poco::Net::Socket::SELECT_READ))
                acceptOne();
        } catch (const std::exception& error) {
            if (state_.refusalLogLimiter.allow(monotonicNow()))
                logWarning(LogComponent::Rpc, std::string("Cannot accept a connection: ") + error.what());
            Poco::Thread::sleep(acceptRetryDelayMs);
        }
    }
}

void Acceptor::acceptOne()
{
    auto connection = std::make_unique<ServerConnection>(listener_.acceptConnection(), state_);
    if (state_.addStream(connection->stream()))
        startConnection(std::move(connection));
    else
        refuseOverLimit(std::move(connection));
}

void Acceptor::startConnection(std::unique_ptr<ServerConnection> connection)
{
    try {
        threads_.start(*connection);
        // run() deletes the connection when it returns.
        static_cast<void>(connection.release());
    } catch (const Poco::NoThreadAvailableException&) {
        state_.removeStream(connection->stream());
        refuseOverLimit(std::move(connection));
    }
}

void Acceptor::refuseOverLimit(std::unique_ptr<ServerConnection> connection)
{
    connection->refuseOverLimit();
    refusedConnections_.push_back(std::move(connection));
    if (refusedConnections_.size() > maxRefusedConnections)
        refusedConnections_.pop_front();
}

} // namespace Balsammill::Detail
