#pragma once

#include "balsammill/base/StrongId.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace Balsammill {

/// Upstream that runs a script of the test for each connection, with one thread per connection.
class ScriptedUpstream {
public:
    /// Called with the connection and its number, counted from 0. The connection is closed when the script returns.
    using Script = std::function<void(Poco::Net::StreamSocket&, int)>;

    explicit ScriptedUpstream(Script script)
        : listener_(Poco::Net::SocketAddress("127.0.0.1", 0))
        , script_(std::move(script))
        , thread_([this] { acceptConnections(); })
    {
    }
    ScriptedUpstream(const ScriptedUpstream&) = delete;
    ScriptedUpstream& operator=(const ScriptedUpstream&) = delete;
    ~ScriptedUpstream()
    {
        stopping_ = true;
        thread_.join();
        for (auto& connection : connections_)
            connection.join();
    }

    NetworkAddress address() const { return NetworkAddress("127.0.0.1:" + std::to_string(listener_.address().port())); }
    int accepted() const { return accepted_; }

    /// Reads one request up to the end marker "#end" in its body. Returns false if the peer closed the connection.
    static bool readRequest(Poco::Net::StreamSocket& socket, std::string& request)
    {
        request.clear();
        char buffer[4096];
        while (request.find("#end") == std::string::npos) {
            const int count = receive(socket, buffer, sizeof buffer);
            if (count <= 0)
                return false;
            request.append(buffer, static_cast<std::size_t>(count));
        }
        return true;
    }

    static void send(Poco::Net::StreamSocket& socket, const std::string& text)
    {
        try {
            socket.sendBytes(text.data(), static_cast<int>(text.size()));
        } catch (const Poco::Exception&) {
            return;
        }
    }

private:
    static int receive(Poco::Net::StreamSocket& socket, char* buffer, int size)
    {
        try {
            return socket.receiveBytes(buffer, size);
        } catch (const Poco::Exception&) {
            return 0;
        }
    }

    void acceptConnections()
    {
        while (!stopping_) {
            if (!listener_.poll(Poco::Timespan(0, 10000), Poco::Net::Socket::SELECT_READ))
                continue;
            // The socket is moved, so that the thread of the connection holds the only reference. POCO's reference
            // counts are not instrumented, so ThreadSanitizer would report closing a shared socket as a race.
            auto socket = std::make_unique<Poco::Net::StreamSocket>(listener_.acceptConnection());
            socket->setReceiveTimeout(Poco::Timespan(10, 0));
            connections_.emplace_back(
                [this, socket = std::move(socket), number = accepted_++] { script_(*socket, number); });
        }
    }

    Poco::Net::ServerSocket listener_;
    Script script_;
    std::atomic<bool> stopping_ { false };
    std::atomic<int> accepted_ { 0 };
    std::vector<std::thread> connections_;
    std::thread thread_;
};

} // namespace Balsammill
