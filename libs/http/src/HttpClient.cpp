#include "balsammill/http/HttpClient.h"

#include "balsammill/http/HttpServer.h"
#include "balsammill/http/Timer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <array>

namespace Balsammill {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// Larger responses are treated as a server error; the largest response of the store is 1 MB of base64-encoded rows.
constexpr std::uint64_t maxResponseBytes = 8ULL * 1024 * 1024;
constexpr std::size_t readBlockBytes = 16ULL * 1024;

std::string serialize(const HttpRequest& request, const std::string& defaultHost)
{
    std::string text;
    text.reserve(256 + request.body.size());
    text.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\nHost: ");
    text.append(request.host.empty() ? defaultHost : request.host).append("\r\n");
    for (const auto& field : request.fields)
        text.append(field.name).append(": ").append(field.value).append("\r\n");
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
        text.append("Content-Type: application/json\r\nContent-Length: ");
        text.append(std::to_string(request.body.size())).append("\r\n");
    }
    text.append("\r\n").append(request.body);
    return text;
}

} // namespace

class HttpClient::Connection : public std::enable_shared_from_this<HttpClient::Connection> {
public:
    Connection(asio::io_context& context, HttpConnectionId id, std::weak_ptr<HttpClient*> owner)
        : id_(id)
        , socket_(context)
        , timer_(context)
        , owner_(std::move(owner))
    {
    }

    void start(const NetworkAddress& address, std::string text, TimePoint deadline, bool extendsWhileReceiving,
        HttpCallback callback)
    {
        serializedRequest_ = std::move(text);
        deadline_ = deadline;
        extendsWhileReceiving_ = extendsWhileReceiving;
        callback_ = std::move(callback);
        bytesWritten_ = 0;
        sendStarted_ = false;
        parser_.emplace();
        parser_->body_limit(maxResponseBytes);
        waitForDeadline();
        if (socket_.is_open()) {
            write();
            return;
        }
        socket_.async_connect(parseEndpoint(address), [self = shared_from_this()](error_code error) {
            if (!self->callback_)
                return;
            if (error) {
                self->fail(error.message());
                return;
            }
            error_code ignored;
            self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
            self->write();
        });
    }

    void abandon()
    {
        callback_ = nullptr;
        close();
    }

    // True if the server has closed this idle connection or has sent data without a request.
    bool isStale()
    {
        error_code error;
        socket_.non_blocking(true, error);
        char byte = 0;
        socket_.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
        return error != asio::error::would_block;
    }

    void close()
    {
        error_code ignored;
        timer_.cancel();
        socket_.close(ignored);
    }

private:
    void waitForDeadline()
    {
        timer_.expires_at(deadline_);
        timer_.async_wait([self = shared_from_this()](error_code error) {
            if (error)
                return;
            // Received bytes may wait in the socket if the event loop was busy.
            if (self->extendsWhileReceiving_ && self->hasUnreadBytes())
                self->extendDeadline();
            if (monotonicNow() < self->deadline_)
                self->waitForDeadline();
            else
                self->fail("timeout");
        });
    }

    void extendDeadline() { deadline_ = std::max(deadline_, monotonicNow() + maxReceiveGap); }

    bool hasUnreadBytes() const
    {
        error_code error;
        return sendStarted_ && socket_.available(error) > 0 && !error;
    }

    void write()
    {
        sendStarted_ = true;
        socket_.async_send(
            asio::buffer(serializedRequest_.data() + bytesWritten_, serializedRequest_.size() - bytesWritten_),
            [self = shared_from_this()](error_code error, std::size_t count) {
                if (!self->callback_)
                    return;
                self->bytesWritten_ += count;
                if (error)
                    self->fail(error.message());
                else if (self->bytesWritten_ < self->serializedRequest_.size())
                    self->write();
                else
                    self->read();
            });
    }

    void read()
    {
        socket_.async_read_some(
            asio::buffer(readBuffer_), [self = shared_from_this()](error_code error, std::size_t count) {
                if (self->callback_)
                    self->onRead(error, count);
            });
    }

    void onRead(error_code error, std::size_t count)
    {
        if (error) {
            fail(error.message());
            return;
        }
        if (extendsWhileReceiving_)
            extendDeadline();
        unparsedBytes_.append(readBuffer_.data(), count);
        error_code parseError;
        const auto used = parser_->put(asio::buffer(unparsedBytes_), parseError);
        unparsedBytes_.erase(0, used);
        // The parser stops at the end of the header, so header and body can need several calls.
        while (!parseError && !parser_->is_done() && !unparsedBytes_.empty() && parser_->is_header_done()) {
            const auto more = parser_->put(asio::buffer(unparsedBytes_), parseError);
            if (more == 0)
                break;
            unparsedBytes_.erase(0, more);
        }
        if (parseError && parseError != http::error::need_more) {
            fail(parseError.message());
            return;
        }
        if (!parser_->is_done()) {
            read();
            return;
        }
        finish();
    }

    void finish()
    {
        auto message = parser_->release();
        HttpResult result;
        result.connection = id_;
        result.response.emplace();
        result.response->status = message.result_int();
        for (const auto& field : message.base())
            result.response->fields.push_back({ std::string(field.name_string()), std::string(field.value()) });
        result.response->body = std::move(message.body());
        timer_.cancel();
        const bool reusable = message.keep_alive() && unparsedBytes_.empty();
        unparsedBytes_.clear();
        if (!reusable)
            close();
        auto callback = std::move(callback_);
        callback_ = nullptr;
        if (const auto owner = owner_.lock())
            (*owner)->release(shared_from_this());
        callback(std::move(result));
    }

    void fail(std::string reason)
    {
        close();
        unparsedBytes_.clear();
        auto callback = std::move(callback_);
        callback_ = nullptr;
        if (const auto owner = owner_.lock())
            (*owner)->release(shared_from_this());
        if (callback)
            callback({ .response = std::nullopt,
                .neverSent = !sendStarted_,
                .error = std::move(reason),
                .connection = id_ });
    }

    HttpConnectionId id_;
    asio::ip::tcp::socket socket_;
    Timer timer_;
    std::weak_ptr<HttpClient*> owner_;
    TimePoint deadline_ {};
    bool extendsWhileReceiving_ { false };
    std::string serializedRequest_;
    std::size_t bytesWritten_ { 0 };
    // Set before the first write: the kernel may have sent bytes although the completion handler has not run yet.
    bool sendStarted_ { false };
    HttpCallback callback_;
    std::optional<http::response_parser<http::string_body>> parser_;
    std::array<char, readBlockBytes> readBuffer_;
    std::string unparsedBytes_;

    friend class HttpClient;
};

HttpClient::HttpClient(asio::io_context& context, NetworkAddress address, std::size_t maxIdle)
    : context_(context)
    , address_(std::move(address))
    , maxIdle_(maxIdle)
    , self_(std::make_shared<HttpClient*>(this))
{
}

HttpClient::~HttpClient()
{
    self_.reset();
    for (const auto& weak : busy_) {
        if (const auto connection = weak.lock())
            connection->abandon();
    }
    closeIdle();
}

void HttpClient::send(
    const HttpRequest& request, TimePoint deadline, HttpCallback callback, const HttpSendOptions& options)
{
    std::shared_ptr<Connection> connection;
    const bool reserved = options.on != HttpConnectionId() && !idle_.empty() && idle_.back()->id_ == options.on;
    if (reserved || nextConnection() != HttpConnectionId()) {
        connection = std::move(idle_.back());
        idle_.pop_back();
    } else {
        connection = std::make_shared<Connection>(context_, HttpConnectionId(++lastConnection_), self_);
    }
    busy_.push_back(connection);
    connection->start(
        address_, serialize(request, address_.value), deadline, options.extendsWhileReceiving, std::move(callback));
}

HttpConnectionId HttpClient::nextConnection()
{
    while (!idle_.empty() && idle_.back()->isStale()) {
        idle_.back()->close();
        idle_.pop_back();
    }
    return idle_.empty() ? HttpConnectionId() : idle_.back()->id_;
}

void HttpClient::release(const std::shared_ptr<Connection>& connection)
{
    std::erase_if(busy_, [&](const auto& weak) { return weak.expired() || weak.lock() == connection; });
    if (!connection->socket_.is_open())
        return;
    if (idle_.size() < maxIdle_)
        idle_.push_back(connection);
    else
        connection->close();
}

void HttpClient::closeIdle()
{
    for (const auto& connection : idle_)
        connection->close();
    idle_.clear();
}

} // namespace Balsammill
