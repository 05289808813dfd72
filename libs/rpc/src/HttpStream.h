#pragma once

#include "balsammill/base/Units.h"

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

/// Buffered HTTP/1.1 reading and writing on one socket, every wait bounded by a deadline. Unlike POCO's sessions it
/// bounds whole messages instead of single reads, and tells how many bytes of a request were written.
class HttpStream {
public:
    explicit HttpStream(const Poco::Net::StreamSocket&);

    /// Waits for the first byte of a message. False if the peer closed or the deadline passed.
    bool waitForData(TimePoint deadline);

    /// Reads up to and including the empty line that ends a header. Empty lines before it are skipped.
    std::string readHeader(std::size_t maxBytes, TimePoint deadline);

    void readFixedBody(std::size_t length, TimePoint deadline, std::string& body);
    void readChunkedBody(std::size_t maxBytes, TimePoint deadline, std::string& body);

    /// Writes both parts; counts the bytes that the socket accepted into written, also when it throws.
    void write(std::string_view head, std::string_view body, TimePoint deadline, std::size_t& written);

    /// True if bytes or the end of the stream are waiting, which no idle connection should have.
    bool hasPendingInput();
    /// The part of hasPendingInput() that needs no system call.
    bool hasBufferedInput() const { return !buffered().empty(); }

    /// Ends sending and discards what the peer still sends, so that it can read the last answer before a reset.
    /// The socket itself is closed by the destructor, so that shutdownReceive() never meets a closed descriptor.
    void finishSending(TimePoint deadline);

    /// May be called by another thread; ends a receive that is waiting.
    void shutdownReceive();

private:
    std::string_view buffered() const { return std::string_view(buffer_).substr(begin_); }
    void consume(std::size_t count);
    /// Receives more bytes into the buffer.
    void fill(TimePoint deadline);
    std::size_t receiveInto(char* target, std::size_t size, TimePoint deadline);
    std::string readLine(TimePoint deadline);
    void appendExactly(std::size_t length, TimePoint deadline, std::string& body);
    bool pollFor(short events, TimePoint deadline);

    Poco::Net::StreamSocket socket_;
    std::string buffer_;
    std::size_t begin_ { 0 };
};

} // namespace Balsammill::Detail
