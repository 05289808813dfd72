#include "Acceptor.h"

#include <Poco/Exception.h>
#include <Poco/Timespan.h>

namespace Balsammill::Detail {

namespace {

// A connection leaves the count a moment before its thread is free.
constexpr int spareThreads = 16;
constexpr std::size_t maxRefusedConnections = 64;
constexpr long stopCheckIntervalMs = 50;
// Accepting fails for as long as the process has no free descriptor; the pause keeps the loop from spinning.
constexpr long pauseAfterFailureMs = 10;

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
            if (listener_.poll(Poco::Timespan(0, stopCheckIntervalMs * 1000), Poco::Net::Socket::SELECT_READ))
                acceptOne();
        } catch (const std::exception& error) {
            if (state_.refusalLog.allow(monotonicNow()))
                logWarning(LogPart::Rpc, std::string("Cannot accept a connection: ") + error.what());
            Poco::Thread::sleep(pauseAfterFailureMs);
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
        // The connection deletes itself when its thread ends it.
        static_cast<void>(connection.release());
    } catch (const Poco::NoThreadAvailableException&) {
        state_.removeStream(connection->stream());
        refuseOverLimit(std::move(connection));
    }
}

void Acceptor::refuseOverLimit(std::unique_ptr<ServerConnection> connection)
{
    connection->refuseOverLimit();
    refused_.push_back(std::move(connection));
    if (refused_.size() > maxRefusedConnections)
        refused_.pop_front();
}

} // namespace Balsammill::Detail
