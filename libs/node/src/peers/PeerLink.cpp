#include "PeerLink.h"

#include "balsammill/internal/shard.pb.h"

#include <boost/asio/write.hpp>

#include <algorithm>

namespace Balsammill {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t lengthBytes = 4;
// The largest message is the handover of a shard's jobs; the size of a job is bounded by the request body limit.
constexpr std::size_t maxFrameBytes = 16ULL * 1024 * 1024;
// A connection with more unsent output than this is closed, because the peer does not read.
constexpr std::size_t maxOutputBytes = 8ULL * 1024 * 1024;

CloseReason closeReasonOf(const error_code& error)
{
    const bool refused = error == asio::error::connection_refused || error == asio::error::connection_reset
        || error == asio::error::eof || error == asio::error::broken_pipe;
    return refused ? CloseReason::Refused : CloseReason::Unresponsive;
}

} // namespace

PeerLink::PeerLink(
    LinkId id, asio::ip::tcp::socket socket, bool inbound, MessageHandler onMessage, CloseHandler onClose)
    : id_(id)
    , socket_(std::move(socket))
    , inbound_(inbound)
    , onMessage_(std::move(onMessage))
    , onClose_(std::move(onClose))
    , lastReceivedAt_(monotonicNow())
    , confirmedAt_(lastReceivedAt_)
    , sentAtEpoch_(lastReceivedAt_ - std::chrono::milliseconds(1))
{
}

void PeerLink::start(const asio::ip::tcp::endpoint* remote, std::function<void(PeerLink&)> opened)
{
    if (remote == nullptr) {
        handleConnected();
        opened(*this);
        return;
    }
    socket_.async_connect(*remote, [self = shared_from_this(), opened = std::move(opened)](error_code error) {
        if (self->closed_)
            return;
        if (error) {
            self->close(closeReasonOf(error));
            return;
        }
        self->handleConnected();
        opened(*self);
    });
}

void PeerLink::handleConnected()
{
    error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    open_ = true;
    lastReceivedAt_ = monotonicNow();
    // The other process sends requests only after it has received the first message on the connection, which this
    // process sends now.
    confirmedAt_ = lastReceivedAt_;
    read();
    if (!outputBuffer_.empty())
        write();
}

void PeerLink::send(const balsammill::internal::ShardPeerMessage& message)
{
    if (closed_)
        return;
    balsammill::internal::ShardPeerMessage times;
    times.set_sent_at_ms(static_cast<std::uint64_t>(
        std::chrono::floor<std::chrono::milliseconds>(monotonicNow() - sentAtEpoch_).count()));
    times.set_echoed_sent_at_ms(peerSentAtMs_);
    // Concatenated encodings are the encoding of the merged message.
    const auto size = message.ByteSizeLong() + times.ByteSizeLong();
    if (outputBuffer_.size() + size > maxOutputBytes) {
        close(CloseReason::Unresponsive);
        return;
    }
    for (int shift = 24; shift >= 0; shift -= 8)
        outputBuffer_.push_back(static_cast<char>((size >> shift) & 0xFF));
    message.AppendToString(&outputBuffer_);
    times.AppendToString(&outputBuffer_);
    sentBytes_ += lengthBytes + size;
    if (open_ && writeBuffer_.empty())
        write();
}

void PeerLink::write()
{
    writeBuffer_.swap(outputBuffer_);
    asio::async_write(socket_, asio::buffer(writeBuffer_), [self = shared_from_this()](error_code error, std::size_t) {
        if (self->closed_)
            return;
        self->writeBuffer_.clear();
        if (error)
            self->close(closeReasonOf(error));
        else if (!self->outputBuffer_.empty())
            self->write();
    });
}

void PeerLink::read()
{
    socket_.async_read_some(
        asio::buffer(readBuffer_), [self = shared_from_this()](error_code error, std::size_t count) {
            if (self->closed_)
                return;
            if (error) {
                self->close(closeReasonOf(error));
                return;
            }
            self->lastReceivedAt_ = monotonicNow();
            self->inputBuffer_.append(self->readBuffer_.data(), count);
            if (self->parse())
                self->read();
        });
}

bool PeerLink::parse()
{
    std::size_t offset = 0;
    while (inputBuffer_.size() - offset >= lengthBytes) {
        std::size_t size = 0;
        for (std::size_t i = 0; i < lengthBytes; ++i)
            size = (size << 8U) | static_cast<unsigned char>(inputBuffer_[offset + i]);
        if (size > maxFrameBytes) {
            close(CloseReason::Closed);
            return false;
        }
        if (inputBuffer_.size() - offset - lengthBytes < size)
            break;
        balsammill::internal::ShardPeerMessage message;
        if (!message.ParseFromArray(inputBuffer_.data() + offset + lengthBytes, static_cast<int>(size))) {
            close(CloseReason::Closed);
            return false;
        }
        offset += lengthBytes + size;
        updateConfirmation(message);
        onMessage_(*this, message);
        if (closed_)
            return false;
    }
    inputBuffer_.erase(0, offset);
    return true;
}

void PeerLink::updateConfirmation(const balsammill::internal::ShardPeerMessage& message)
{
    // Entries of versions before these fields send no times.
    if (message.sent_at_ms() == 0) {
        confirmedAt_ = lastReceivedAt_;
        return;
    }
    peerSentAtMs_ = std::max<std::uint64_t>(peerSentAtMs_, message.sent_at_ms());
    // Bounds the value before the addition, which could overflow.
    const auto openForMs = std::chrono::floor<std::chrono::milliseconds>(lastReceivedAt_ - sentAtEpoch_).count();
    const auto echoedMs = message.echoed_sent_at_ms();
    if (echoedMs != 0 && echoedMs <= static_cast<std::uint64_t>(openForMs))
        confirmedAt_ = std::max(confirmedAt_, sentAtEpoch_ + std::chrono::milliseconds(echoedMs));
}

bool PeerLink::hasPendingBytes()
{
    if (!open_)
        return !outputBuffer_.empty();
    error_code error;
    char byte = 0;
    socket_.non_blocking(true, error);
    socket_.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return !error || !inputBuffer_.empty() || !outputBuffer_.empty() || !writeBuffer_.empty();
}

void PeerLink::close(CloseReason reason)
{
    if (closed_)
        return;
    closeReason_ = reason;
    const auto self = shared_from_this();
    closed_ = true;
    open_ = false;
    error_code ignored;
    socket_.close(ignored);
    onClose_(*this, reason);
}

} // namespace Balsammill
