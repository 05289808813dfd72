#include "PeerLink.h"

#include "balsammill/internal/shard.pb.h"

#include <boost/asio/write.hpp>

namespace Balsammill {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t lengthBytes = 4;
// A transfer of a shard's jobs is the largest message; jobs are bounded by the client's body limit.
constexpr std::size_t maxFrameBytes = 16ULL * 1024 * 1024;
// A peer that does not read for so much output is cut off.
constexpr std::size_t maxOutputBytes = 8ULL * 1024 * 1024;

LinkEnd endOf(const error_code& error)
{
    const bool refused = error == asio::error::connection_refused || error == asio::error::connection_reset
        || error == asio::error::eof || error == asio::error::broken_pipe;
    return refused ? LinkEnd::Refused : LinkEnd::Silent;
}

} // namespace

PeerLink::PeerLink(asio::ip::tcp::socket socket, bool inbound, MessageHandler onMessage, EndHandler onEnd)
    : socket_(std::move(socket))
    , inbound_(inbound)
    , onMessage_(std::move(onMessage))
    , onEnd_(std::move(onEnd))
    , lastHeardAt_(monotonicNow())
{
}

void PeerLink::start(const asio::ip::tcp::endpoint* remote, std::function<void(PeerLink&)> opened)
{
    if (remote == nullptr) {
        begin();
        opened(*this);
        return;
    }
    socket_.async_connect(*remote, [self = shared_from_this(), opened = std::move(opened)](error_code error) {
        if (self->closed_)
            return;
        if (error) {
            self->close(endOf(error));
            return;
        }
        self->begin();
        opened(*self);
    });
}

void PeerLink::begin()
{
    error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    open_ = true;
    lastHeardAt_ = monotonicNow();
    read();
    if (!output_.empty())
        write();
}

void PeerLink::send(const balsammill::internal::ShardPeerMessage& message)
{
    if (closed_)
        return;
    const auto size = message.ByteSizeLong();
    if (output_.size() + size > maxOutputBytes) {
        close(LinkEnd::Silent);
        return;
    }
    for (int shift = 24; shift >= 0; shift -= 8)
        output_.push_back(static_cast<char>((size >> shift) & 0xFF));
    message.AppendToString(&output_);
    sentBytes_ += lengthBytes + size;
    if (open_ && writing_.empty())
        write();
}

void PeerLink::write()
{
    writing_.swap(output_);
    asio::async_write(socket_, asio::buffer(writing_), [self = shared_from_this()](error_code error, std::size_t) {
        if (self->closed_)
            return;
        self->writing_.clear();
        if (error)
            self->close(endOf(error));
        else if (!self->output_.empty())
            self->write();
    });
}

void PeerLink::read()
{
    socket_.async_read_some(asio::buffer(block_), [self = shared_from_this()](error_code error, std::size_t count) {
        if (self->closed_)
            return;
        if (error) {
            self->close(endOf(error));
            return;
        }
        self->lastHeardAt_ = monotonicNow();
        self->input_.append(self->block_.data(), count);
        if (self->parse())
            self->read();
    });
}

bool PeerLink::parse()
{
    std::size_t at = 0;
    while (input_.size() - at >= lengthBytes) {
        std::size_t size = 0;
        for (std::size_t i = 0; i < lengthBytes; ++i)
            size = (size << 8U) | static_cast<unsigned char>(input_[at + i]);
        if (size > maxFrameBytes) {
            close(LinkEnd::Closed);
            return false;
        }
        if (input_.size() - at - lengthBytes < size)
            break;
        balsammill::internal::ShardPeerMessage message;
        if (!message.ParseFromArray(input_.data() + at + lengthBytes, static_cast<int>(size))) {
            close(LinkEnd::Closed);
            return false;
        }
        at += lengthBytes + size;
        onMessage_(*this, message);
        if (closed_)
            return false;
    }
    input_.erase(0, at);
    return true;
}

void PeerLink::close(LinkEnd end)
{
    if (closed_)
        return;
    const auto self = shared_from_this();
    closed_ = true;
    open_ = false;
    error_code ignored;
    socket_.close(ignored);
    onEnd_(*this, end);
}

} // namespace Balsammill
