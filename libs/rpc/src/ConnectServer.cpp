#include "balsammill/rpc/ConnectServer.h"

#include "Acceptor.h"
#include "NumericAddress.h"
#include "ServerState.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>

#include <stdexcept>

namespace Balsammill {

namespace {

constexpr int listenBacklog = 1024;

} // namespace

struct ConnectServer::Detail {
    explicit Detail(ConnectServerOptions options)
        : state(std::move(options))
    {
    }

    Balsammill::Detail::ServerState state;
    std::unique_ptr<Balsammill::Detail::Acceptor> acceptor;
};

ConnectServer::ConnectServer(ConnectServerOptions options)
    : detail_(std::make_unique<Detail>(std::move(options)))
{
}

ConnectServer::~ConnectServer() { stop(); }

void ConnectServer::start()
{
    const auto& options = detail_->state.options;
    try {
        Poco::Net::ServerSocket socket;
        // SO_REUSEPORT stays off: otherwise a second process could bind the same address without an error.
        socket.bind(Balsammill::Detail::parseNumericAddress(options.listenAddress), true, false);
        socket.listen(listenBacklog);
        detail_->acceptor = std::make_unique<Balsammill::Detail::Acceptor>(socket, detail_->state);
    } catch (const Poco::Exception& error) {
        throw std::runtime_error("cannot listen on " + options.listenAddress.value + ": " + error.displayText());
    } catch (const std::invalid_argument& error) {
        throw std::runtime_error(std::string("cannot listen: ") + error.what());
    }
    detail_->acceptor->start();
}

std::uint16_t ConnectServer::port() const { return detail_->acceptor ? detail_->acceptor->port() : 0; }

void ConnectServer::beginDrain() { detail_->state.draining = true; }

std::size_t ConnectServer::requestsInFlight() const { return detail_->state.requestsInFlight(); }

bool ConnectServer::waitUntilIdle(TimePoint deadline) const { return detail_->state.waitUntilIdle(deadline); }

void ConnectServer::stop()
{
    if (!detail_->acceptor)
        return;
    detail_->acceptor->stop();
    detail_->state.stopStreams();
    detail_->acceptor->joinConnections();
    detail_->acceptor.reset();
}

} // namespace Balsammill
