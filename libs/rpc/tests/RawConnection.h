#pragma once

#include "balsammill/base/Units.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <string>

namespace Balsammill {

/// Test connection that sends arbitrary bytes.
class RawConnection {
public:
    explicit RawConnection(std::uint16_t port)
        : socket_(Poco::Net::SocketAddress("127.0.0.1", port))
    {
        socket_.setReceiveTimeout(Poco::Timespan(10, 0));
    }

    /// Ignores send errors, because a peer may stop reading early after it refused the request.
    void send(const std::string& bytes)
    {
        try {
            std::size_t sent = 0;
            while (sent < bytes.size())
                sent += static_cast<std::size_t>(
                    socket_.sendBytes(bytes.data() + sent, static_cast<int>(bytes.size() - sent)));
        } catch (const Poco::Exception&) {
            return;
        }
    }

    void finishSending() { socket_.shutdownSend(); }

    /// Returns all bytes until the peer closes the connection. On an error, appends the error text in angle brackets.
    std::string receiveAll()
    {
        std::string text;
        char buffer[4096];
        try {
            for (;;) {
                const int count = socket_.receiveBytes(buffer, sizeof buffer);
                if (count <= 0)
                    return text;
                text.append(buffer, static_cast<std::size_t>(count));
            }
        } catch (const Poco::Exception& error) {
            return text + "<" + error.displayText() + ">";
        }
    }

    /// Returns the bytes up to and including the given text, or until the peer closes the connection.
    std::string receiveUntil(const std::string& end)
    {
        std::string text;
        char byte = 0;
        while (text.find(end) == std::string::npos && socket_.receiveBytes(&byte, 1) == 1)
            text += byte;
        return text;
    }

private:
    Poco::Net::StreamSocket socket_;
};

} // namespace Balsammill
