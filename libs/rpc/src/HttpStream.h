#pragma once

#include "balsammill/base/Units.h"

#include <Poco/Net/HTTPSession.h>
#include <Poco/Net/StreamSocket.h>

#include <stdexcept>
#include <string>
#include <string_view>

namespace Balsammill::Detail {

enum class StreamFaultKind {
    Closed,
    TimedOut,
    TooLarge,
    Malformed,
};

/// Exception that tells why a message could not be read or written.
class StreamFault : public std::runtime_error {
public:
    StreamFault(StreamFaultKind kind, const std::string& cause)
        : std::runtime_error(cause)
        , kind_(kind)
    {
    }
    StreamFaultKind kind() const { return kind_; }

private:
    StreamFaultKind kind_;
};

/// HTTP connection based on POCO's HTTP session. Each operation has a deadline, so that the time for a whole message is
/// bounded instead of that for single reads. Writing reports the number of bytes that were written.
///
/// POCO's HTTPChunkedInputStream is not used for chunked bodies, because it reports a body that is truncated by the end
/// of the connection as complete.
class HttpStream : private Poco::Net::HTTPSession {
public:
    explicit HttpStream(const Poco::Net::StreamSocket&);

    /// Waits for the first byte of a message. Returns false if the connection was closed or the deadline passed.
    bool waitForData(TimePoint deadline);

    /// Reads a header up to and including the empty line that ends it. Skips empty lines before the header.
    std::string readHeader(std::size_t maxBytes, TimePoint deadline);

    void readFixedBody(std::size_t length, TimePoint deadline, std::string& body);
    void readChunkedBody(std::size_t maxBytes, TimePoint deadline, std::string& body);

    /// Writes head and body. Sets written to the number of bytes that the socket accepted, also if it throws.
    void writeMessage(std::string_view head, std::string_view body, TimePoint deadline, std::size_t& written);

    /// Returns true if there are bytes to read or the peer closed the connection. Idle connections with pending input
    /// must not be reused.
    bool hasPendingInput();
    /// Returns true if received bytes are buffered. Unlike hasPendingInput(), makes no system call.
    bool hasBufferedInput() const { return buffered() > 0; }

    /// Shuts down sending and discards received bytes until the peer closes or the deadline passes, so that the peer
    /// can read the last response before a reset. Only the destructor closes the socket, so that shutdownReceive() is
    /// never called on a closed descriptor.
    void shutdownSendAndDrain(TimePoint deadline);

    /// Interrupts a blocked receive. May be called by another thread.
    void shutdownReceive();

private:
    /// Waits until the socket is readable or bytes are buffered. Throws StreamFault if the deadline passes first.
    void awaitInput(TimePoint deadline);
    char nextByte(TimePoint deadline);
    std::size_t readSome(char* target, std::size_t size, TimePoint deadline);
    std::string readLine(TimePoint deadline);
    void appendExactly(std::size_t length, TimePoint deadline, std::string& body);
    bool pollFor(short events, TimePoint deadline);
    int descriptor() { return socket().impl()->sockfd(); }
};

} // namespace Balsammill::Detail
