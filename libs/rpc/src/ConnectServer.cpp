#include "balsammill/rpc/ConnectServer.h"

#include "ErrorBody.h"
#include "HttpAnswerText.h"
#include "NumericAddress.h"
#include "ServerConnection.h"
#include "ServerState.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/ThreadPool.h>

#include <deque>
#include <stdexcept>

namespace Balsammill {

namespace {

constexpr int listenBacklog = 1024;
// A connection leaves the count a moment before its thread is free.
constexpr int spareThreads = 16;
constexpr std::size_t maxRefusedConnections = 64;

class ConnectionFactory : public Poco::Net::TCPServerConnectionFactory {
public:
    explicit ConnectionFactory(Detail::ServerState& state)
        : state_(state)
    {
    }
    // NOLINTNEXTLINE(readability-identifier-naming)
    Poco::Net::TCPServerConnection* createConnection(const Poco::Net::StreamSocket& socket) override
    {
        return new Detail::ServerConnection(socket, state_);
    }

private:
    Detail::ServerState& state_;
};

/// Refuses connections over the limit with an error instead of letting them wait for a thread.
class ConnectionLimit : public Poco::Net::TCPServerConnectionFilter {
public:
    ConnectionLimit(const Poco::Net::TCPServer& server, std::size_t maximum)
        : server_(server)
        , maximum_(maximum)
    {
    }

    bool accept(const Poco::Net::StreamSocket& socket) override
    {
        const auto current = server_.currentConnections() + server_.queuedConnections();
        if (static_cast<std::size_t>(current) < maximum_)
            return true;
        refuse(socket);
        return false;
    }

private:
    void refuse(Poco::Net::StreamSocket socket)
    {
        const auto body = Detail::formatErrorBody({ .code = ErrorCode::Unavailable,
            .message = "the limit of " + std::to_string(maximum_) + " connections is reached",
            .verdict = Verdict::NotRun });
        const auto head = Detail::formatAnswerHead({ .status = httpStatus(ErrorCode::Unavailable),
            .contentType = "application/json",
            .bodyBytes = body.size(),
            .verdict = Verdict::NotRun,
            .close = true });
        try {
            auto stream = std::make_unique<Detail::HttpStream>(socket);
            std::size_t written = 0;
            stream->writeMessage(head, body, monotonicNow(), written);
            socket.shutdownSend();
            // Closing at once would reset the connection and could destroy the answer before the peer reads it.
            refused_.push_back(std::move(stream));
        } catch (const std::exception&) {
            return;
        }
        if (refused_.size() > maxRefusedConnections)
            refused_.pop_front();
    }

    const Poco::Net::TCPServer& server_;
    std::size_t maximum_;
    std::deque<std::unique_ptr<Detail::HttpStream>> refused_;
};

} // namespace

struct ConnectServer::Detail {
    explicit Detail(ConnectServerOptions options)
        : state(std::move(options))
        , threads("rpc", 2, static_cast<int>(state.options.maxConnections) + spareThreads)
    {
    }

    Balsammill::Detail::ServerState state;
    Poco::ThreadPool threads;
    std::unique_ptr<Poco::Net::TCPServer> server;
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
        // Port sharing stays off: with it, a second process could bind the same address unnoticed.
        socket.bind(Balsammill::Detail::parseNumericAddress(options.listenAddress), true, false);
        socket.listen(listenBacklog);
        Poco::Net::TCPServerParams::Ptr params = new Poco::Net::TCPServerParams;
        params->setMaxThreads(static_cast<int>(options.maxConnections) + spareThreads);
        params->setMaxQueued(static_cast<int>(options.maxConnections) + spareThreads);
        detail_->server = std::make_unique<Poco::Net::TCPServer>(
            new ConnectionFactory(detail_->state), detail_->threads, socket, params);
    } catch (const Poco::Exception& error) {
        throw std::runtime_error("cannot listen on " + options.listenAddress.value + ": " + error.displayText());
    } catch (const std::invalid_argument& error) {
        throw std::runtime_error(std::string("cannot listen: ") + error.what());
    }
    detail_->server->setConnectionFilter(new ConnectionLimit(*detail_->server, options.maxConnections));
    detail_->server->start();
}

std::uint16_t ConnectServer::port() const { return detail_->server ? detail_->server->port() : 0; }

void ConnectServer::beginDrain() { detail_->state.draining = true; }

std::size_t ConnectServer::requestsInFlight() const { return detail_->state.requestsInFlight(); }

bool ConnectServer::waitUntilIdle(TimePoint deadline) const { return detail_->state.waitUntilIdle(deadline); }

void ConnectServer::stop()
{
    if (!detail_->server)
        return;
    detail_->server->stop();
    detail_->state.stopStreams();
    detail_->threads.joinAll();
    detail_->server.reset();
}

} // namespace Balsammill
