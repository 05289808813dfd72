#include "HttpStream.h"

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

constexpr std::size_t receiveSize = 16 * 1024;
// Memory for a body grows with the bytes that arrive, so that a large declared length alone reserves little.
constexpr std::size_t bodyGrowth = 256 * 1024;
constexpr std::size_t maxChunkLine = 256;
constexpr std::size_t maxTrailerLines = 32;

[[noreturn]] void failClosed(const char* action)
{
    throw StreamFault(StreamFaultKind::Closed, std::string(action) + ": " + std::generic_category().message(errno));
}

/// Offset just behind the empty line that ends a header, or npos.
std::size_t headerEnd(std::string_view text, std::size_t from)
{
    for (auto at = text.find('\n', from); at != std::string_view::npos; at = text.find('\n', at + 1)) {
        if (at + 1 < text.size() && text[at + 1] == '\n')
            return at + 2;
        if (at + 2 < text.size() && text[at + 1] == '\r' && text[at + 2] == '\n')
            return at + 3;
    }
    return std::string_view::npos;
}

} // namespace

HttpStream::HttpStream(const Poco::Net::StreamSocket& socket)
    : socket_(socket)
{
}

bool HttpStream::pollFor(short events, TimePoint deadline)
{
    for (;;) {
        const auto remaining = deadline - monotonicNow();
        pollfd entry { .fd = socket_.impl()->sockfd(), .events = events, .revents = 0 };
        const auto wait = std::max(Duration::zero(), remaining);
        const timespec limit { .tv_sec = std::chrono::duration_cast<std::chrono::seconds>(wait).count(),
            .tv_nsec = std::chrono::nanoseconds(wait % std::chrono::seconds(1)).count() };
        const int ready = ::ppoll(&entry, 1, &limit, nullptr);
        if (ready > 0)
            return true;
        if (ready == 0)
            return false;
        if (errno != EINTR)
            failClosed("poll");
    }
}

bool HttpStream::waitForData(TimePoint deadline)
{
    if (!buffered().empty())
        return true;
    try {
        fill(deadline);
        return true;
    } catch (const StreamFault&) {
        return false;
    }
}

std::size_t HttpStream::receiveInto(char* target, std::size_t size, TimePoint deadline)
{
    for (;;) {
        if (!pollFor(POLLIN, deadline))
            throw StreamFault(StreamFaultKind::TimedOut, "timed out while receiving");
        const auto count = ::recv(socket_.impl()->sockfd(), target, size, MSG_DONTWAIT);
        if (count > 0)
            return static_cast<std::size_t>(count);
        if (count == 0)
            throw StreamFault(StreamFaultKind::Closed, "the peer closed the connection");
        if (errno != EINTR && errno != EAGAIN)
            failClosed("receive");
    }
}

void HttpStream::fill(TimePoint deadline)
{
    if (begin_ > 0) {
        buffer_.erase(0, begin_);
        begin_ = 0;
    }
    const auto size = buffer_.size();
    buffer_.resize(size + receiveSize);
    try {
        buffer_.resize(size + receiveInto(buffer_.data() + size, receiveSize, deadline));
    } catch (...) {
        buffer_.resize(size);
        throw;
    }
}

void HttpStream::consume(std::size_t count)
{
    begin_ += count;
    if (begin_ == buffer_.size()) {
        buffer_.clear();
        begin_ = 0;
    }
}

std::string HttpStream::readHeader(std::size_t maxBytes, TimePoint deadline)
{
    std::size_t searched = 0;
    for (;;) {
        if (searched == 0) {
            const auto start = buffered().find_first_not_of("\r\n");
            consume(start == std::string_view::npos ? buffered().size() : start);
        }
        const auto text = buffered();
        const auto end = headerEnd(text, searched > 2 ? searched - 2 : 0);
        if (std::min(end, text.size()) > maxBytes)
            throw StreamFault(
                StreamFaultKind::TooLarge, "the header is larger than " + std::to_string(maxBytes) + " bytes");
        if (end != std::string_view::npos) {
            std::string header(text.substr(0, end));
            consume(end);
            return header;
        }
        searched = text.size();
        fill(deadline);
    }
}

void HttpStream::appendExactly(std::size_t length, TimePoint deadline, std::string& body)
{
    const auto fromBuffer = std::min(length, buffered().size());
    body.append(buffered().substr(0, fromBuffer));
    consume(fromBuffer);
    auto missing = length - fromBuffer;
    while (missing > 0) {
        const auto size = body.size();
        const auto step = std::min(missing, bodyGrowth);
        body.resize(size + step);
        const auto received = receiveInto(body.data() + size, step, deadline);
        body.resize(size + received);
        missing -= received;
    }
}

void HttpStream::readFixedBody(std::size_t length, TimePoint deadline, std::string& body)
{
    body.reserve(std::min(length, bodyGrowth));
    appendExactly(length, deadline, body);
}

std::string HttpStream::readLine(TimePoint deadline)
{
    for (;;) {
        const auto text = buffered();
        const auto end = text.find('\n');
        if (std::min(end, text.size()) > maxChunkLine)
            throw StreamFault(StreamFaultKind::Malformed, "a line of the chunked body is too long");
        if (end != std::string_view::npos) {
            std::string line(text.substr(0, end > 0 && text[end - 1] == '\r' ? end - 1 : end));
            consume(end + 1);
            return line;
        }
        fill(deadline);
    }
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

void HttpStream::write(std::string_view head, std::string_view body, TimePoint deadline, std::size_t& written)
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
        const auto count = ::sendmsg(socket_.impl()->sockfd(), &message, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count >= 0) {
            written += static_cast<std::size_t>(count);
            continue;
        }
        if (errno == EAGAIN) {
            if (!pollFor(POLLOUT, deadline))
                throw StreamFault(StreamFaultKind::TimedOut, "timed out while sending");
        } else if (errno != EINTR) {
            failClosed("send");
        }
    }
}

bool HttpStream::hasPendingInput() { return hasBufferedInput() || pollFor(POLLIN | POLLRDHUP, TimePoint {}); }

void HttpStream::finishSending(TimePoint deadline)
{
    ::shutdown(socket_.impl()->sockfd(), SHUT_WR);
    std::array<char, receiveSize> discarded {};
    try {
        for (;;)
            receiveInto(discarded.data(), discarded.size(), deadline);
    } catch (const StreamFault&) {
        return;
    }
}

void HttpStream::shutdownReceive() { ::shutdown(socket_.impl()->sockfd(), SHUT_RD); }

} // namespace Balsammill::Detail
