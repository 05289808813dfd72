#include "HttpStream.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <system_error>

#include <poll.h>
#include <sys/socket.h>
#include <sys/uio.h>

namespace Balsammill::Detail {

namespace {

constexpr std::size_t discardBufferBytes = 16 * 1024;
// The buffer of a body grows in steps of this size as bytes arrive, so that a large declared length alone does not
// allocate much memory.
constexpr std::size_t bodyGrowthBytes = 256 * 1024;
constexpr std::size_t maxChunkLineBytes = 256;
constexpr std::size_t maxTrailerLines = 32;

[[noreturn]] void throwClosed(const char* action)
{
    throw StreamFault(StreamFaultKind::Closed, std::string(action) + ": " + std::generic_category().message(errno));
}

bool isPrintable(char c) { return c > ' ' && c < '\x7f'; }

} // namespace

HttpStream::HttpStream(const Poco::Net::StreamSocket& socket)
    : Poco::Net::HTTPSession(socket)
{
    // Messages are written as a whole, so Nagle's algorithm would only delay the last segment.
    HTTPSession::socket().setNoDelay(true);
}

bool HttpStream::pollFor(short events, TimePoint deadline)
{
    for (;;) {
        const auto remaining = deadline - monotonicNow();
        pollfd entry { .fd = descriptor(), .events = events, .revents = 0 };
        const auto wait = std::max(Duration::zero(), remaining);
        const timespec limit { .tv_sec = std::chrono::duration_cast<std::chrono::seconds>(wait).count(),
            .tv_nsec = std::chrono::nanoseconds(wait % std::chrono::seconds(1)).count() };
        const int ready = ::ppoll(&entry, 1, &limit, nullptr);
        if (ready > 0)
            return true;
        if (ready == 0)
            return false;
        if (errno != EINTR)
            throwClosed("poll");
    }
}

void HttpStream::awaitInput(TimePoint deadline)
{
    if (buffered() == 0 && !pollFor(POLLIN, deadline))
        throw StreamFault(StreamFaultKind::TimedOut, "timed out while receiving");
}

bool HttpStream::waitForData(TimePoint deadline)
{
    try {
        awaitInput(deadline);
        if (buffered() == 0)
            refill();
        return buffered() > 0;
    } catch (const StreamFault&) {
        return false;
    } catch (const Poco::Exception&) {
        return false;
    }
}

char HttpStream::nextByte(TimePoint deadline)
{
    awaitInput(deadline);
    try {
        // get() is not used because it returns the byte 0xff as end of stream.
        if (buffered() == 0)
            refill();
        char byte = 0;
        if (buffered() > 0 && read(&byte, 1) == 1)
            return byte;
    } catch (const Poco::Exception& error) {
        throw StreamFault(StreamFaultKind::Closed, "receive: " + error.displayText());
    }
    throw StreamFault(StreamFaultKind::Closed, "the peer closed the connection");
}

std::size_t HttpStream::readSome(char* target, std::size_t size, TimePoint deadline)
{
    awaitInput(deadline);
    try {
        const int count = read(target, static_cast<std::streamsize>(size));
        if (count > 0)
            return static_cast<std::size_t>(count);
    } catch (const Poco::Exception& error) {
        throw StreamFault(StreamFaultKind::Closed, "receive: " + error.displayText());
    }
    throw StreamFault(StreamFaultKind::Closed, "the peer closed the connection");
}

std::string HttpStream::readHeader(std::size_t maxBytes, TimePoint deadline)
{
    std::string header;
    bool emptyLine = true;
    for (;;) {
        const char byte = nextByte(deadline);
        if (header.empty() && (byte == '\r' || byte == '\n'))
            continue;
        // Peers that speak other protocols, such as TLS, may never send a line break, so the first byte is checked
        // here.
        if (header.empty() && !isPrintable(byte))
            throw StreamFault(StreamFaultKind::Malformed, "not an HTTP message: it starts with a control character");
        if (header.size() >= maxBytes)
            throw StreamFault(
                StreamFaultKind::TooLarge, "the header is larger than " + std::to_string(maxBytes) + " bytes");
        header += byte;
        if (byte == '\n') {
            if (emptyLine)
                return header;
            emptyLine = true;
        } else if (byte != '\r') {
            emptyLine = false;
        }
    }
}

void HttpStream::appendExactly(std::size_t length, TimePoint deadline, std::string& body)
{
    auto missing = length;
    while (missing > 0) {
        const auto size = body.size();
        const auto step = std::min(missing, bodyGrowthBytes);
        body.resize(size + step);
        const auto received = readSome(body.data() + size, step, deadline);
        body.resize(size + received);
        missing -= received;
    }
}

void HttpStream::readFixedBody(std::size_t length, TimePoint deadline, std::string& body)
{
    body.reserve(std::min(length, bodyGrowthBytes));
    appendExactly(length, deadline, body);
}

std::string HttpStream::readLine(TimePoint deadline)
{
    std::string line;
    for (;;) {
        const char byte = nextByte(deadline);
        if (byte == '\n')
            break;
        if (line.size() == maxChunkLineBytes)
            throw StreamFault(StreamFaultKind::Malformed, "a line of the chunked body is too long");
        line += byte;
    }
    if (line.ends_with('\r'))
        line.pop_back();
    return line;
}

void HttpStream::readChunkedBody(std::size_t maxBytes, TimePoint deadline, std::string& body)
{
    for (;;) {
        const auto line = readLine(deadline);
        const auto digits = std::string_view(line).substr(0, line.find_first_of("; \t"));
        std::size_t length = 0;
        const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), length, 16);
        if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size())
            throw StreamFault(StreamFaultKind::Malformed, "'" + line + "' is not the length of a chunk");
        if (length == 0)
            break;
        if (length > maxBytes - body.size())
            throw StreamFault(
                StreamFaultKind::TooLarge, "the body is larger than " + std::to_string(maxBytes) + " bytes");
        appendExactly(length, deadline, body);
        if (!readLine(deadline).empty())
            throw StreamFault(StreamFaultKind::Malformed, "a chunk is longer than its declared length");
    }
    for (std::size_t lines = 0; !readLine(deadline).empty(); ++lines) {
        if (lines == maxTrailerLines)
            throw StreamFault(StreamFaultKind::Malformed, "the chunked body has too many trailer lines");
    }
}

void HttpStream::writeMessage(std::string_view head, std::string_view body, TimePoint deadline, std::size_t& written)
{
    written = 0;
    const auto total = head.size() + body.size();
    while (written < total) {
        const auto headDone = std::min(written, head.size());
        const auto bodyDone = written - headDone;
        std::array<iovec, 2> parts { iovec { const_cast<char*>(head.data()) + headDone, head.size() - headDone },
            iovec { const_cast<char*>(body.data()) + bodyDone, body.size() - bodyDone } };
        msghdr message {};
        message.msg_iov = parts.data();
        message.msg_iovlen = parts.size();
        const auto count = ::sendmsg(descriptor(), &message, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count >= 0) {
            written += static_cast<std::size_t>(count);
            continue;
        }
        if (errno == EAGAIN) {
            if (!pollFor(POLLOUT, deadline))
                throw StreamFault(StreamFaultKind::TimedOut, "timed out while sending");
        } else if (errno != EINTR) {
            throwClosed("send");
        }
    }
}

bool HttpStream::hasPendingInput() { return hasBufferedInput() || pollFor(POLLIN | POLLRDHUP, TimePoint {}); }

void HttpStream::shutdownSendAndDrain(TimePoint deadline)
{
    ::shutdown(descriptor(), SHUT_WR);
    std::array<char, discardBufferBytes> discarded {};
    try {
        for (;;)
            readSome(discarded.data(), discarded.size(), deadline);
    } catch (const StreamFault&) {
        return;
    }
}

void HttpStream::shutdownReceive() { ::shutdown(descriptor(), SHUT_RD); }

} // namespace Balsammill::Detail
