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

/// Why a message could not be read or written.
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

/// POCO's HTTP session with every wait bounded by a deadline, so that whole messages are bounded instead of single
/// reads, and with a count of the bytes of a request that were written.
///
/// Chunked bodies are read here and not by POCO's HTTPChunkedInputStream, which reports a body that was cut off by the
/// end of the connection as complete.
class HttpStream : private Poco::Net::HTTPSession {
public:
    explicit HttpStream(const Poco::Net::StreamSocket&);

    /// Waits for the first byte of a message. False if the peer closed or the deadline passed.
    bool waitForData(TimePoint deadline);

    /// Reads up to and including the empty line that ends a header. Empty lines before it are skipped.
    std::string readHeader(std::size_t maxBytes, TimePoint deadline);

    void readFixedBody(std::size_t length, TimePoint deadline, std::string& body);
    void readChunkedBody(std::size_t maxBytes, TimePoint deadline, std::string& body);

    /// Writes both parts; counts the bytes that the socket accepted into written, also when it throws.
    void writeMessage(std::string_view head, std::string_view body, TimePoint deadline, std::size_t& written);

    /// True if bytes or the end of the stream are waiting, which no idle connection should have.
    bool hasPendingInput();
    /// The part of hasPendingInput() that needs no system call.
    bool hasBufferedInput() const { return buffered() > 0; }

    /// Ends sending and discards what the peer still sends, so that it can read the last answer before a reset.
    /// The socket itself is closed by the destructor, so that shutdownReceive() never meets a closed descriptor.
    void finishSending(TimePoint deadline);

    /// May be called by another thread; ends a receive that is waiting.
    void shutdownReceive();

private:
    /// Throws StreamFault unless a byte can be read before the deadline.
    void awaitInput(TimePoint deadline);
    char nextByte(TimePoint deadline);
    std::size_t readSome(char* target, std::size_t size, TimePoint deadline);
    std::string readLine(TimePoint deadline);
    void appendExactly(std::size_t length, TimePoint deadline, std::string& body);
    bool pollFor(short events, TimePoint deadline);
    int descriptor() { return socket().impl()->sockfd(); }
};

} // namespace Balsammill::Detail
