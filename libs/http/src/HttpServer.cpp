#include "balsammill/http/HttpServer.h"

#include "ConnectionTable.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <stdexcept>
#include <utility>

namespace Balsammill {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t readBlockBytes = 8ULL * 1024;
// Pipelined bytes that are buffered while the current request is processed; reading pauses beyond this.
constexpr std::size_t maxPipelinedBytes = 64ULL * 1024;
// Buffers that are larger than this are released when they are empty.
constexpr std::size_t maxRetainedBytes = 4ULL * 1024;
// Memory for the fields of a parsed head relative to its bytes: a field of four bytes takes some 80.
constexpr std::size_t parsedHeadFactor = 20;
// Retry-After of a request that has to wait for memory.
constexpr auto budgetRetryAfterSeconds = "1";
// After the last response on a connection, received bytes are discarded for up to this long. If the socket were closed
// with unread bytes, the connection would be reset and the client could lose the response.
constexpr Duration lingerTimeout = std::chrono::milliseconds(500);
// Delay before connections are accepted again after an error, such as a lack of descriptors.
constexpr Duration acceptRetryDelay = std::chrono::milliseconds(50);

std::string_view reasonPhrase(unsigned status)
{
    const auto text = http::obsolete_reason(static_cast<http::status>(status));
    return { text.data(), text.size() };
}

std::string serialize(const HttpResponse& response, bool close)
{
    std::string text;
    text.reserve(160 + response.body.size());
    text.append("HTTP/1.1 ").append(std::to_string(response.status)).append(" ");
    text.append(reasonPhrase(response.status)).append("\r\n");
    for (const auto& field : response.fields)
        text.append(field.name).append(": ").append(field.value).append("\r\n");
    if (!response.body.empty())
        text.append("Content-Type: ").append(response.contentType).append("\r\n");
    text.append("Content-Length: ").append(std::to_string(response.body.size())).append("\r\n");
    if (close)
        text.append("Connection: close\r\n");
    text.append("\r\n").append(response.body);
    return text;
}

} // namespace

struct HttpServer::Shared {
    HttpHandler handler;
    HttpServerLimits limits;
    bool draining { false };
    bool accepting { true };
    bool stopped { false };
    std::size_t openRequests { 0 };
    std::unordered_set<Session*> sessions;
    Detail::ConnectionTable connections;
    std::unordered_map<HttpConnectionId, Session*> sessionsById;
    std::uint64_t lastConnection { 0 };
    std::function<void(HttpBudgetLimit)> exceeded;

    /// Closes connections until the budget is kept.
    void enforceBudget();
    /// Closes a connection if a further one would exceed the budget.
    void makeRoom();
    void closeFor(HttpConnectionId, HttpBudgetLimit);
};

class HttpServer::Session : public HttpExchange, public std::enable_shared_from_this<HttpServer::Session> {
public:
    Session(asio::ip::tcp::socket socket, std::shared_ptr<Shared> shared)
        : socket_(std::move(socket))
        , timer_(socket_.get_executor())
        , shared_(std::move(shared))
        , id_(++shared_->lastConnection)
    {
        shared_->sessions.insert(this);
        shared_->sessionsById[id_] = this;
        error_code error;
        const auto client = socket_.remote_endpoint(error);
        shared_->connections.add(id_, error ? std::string() : client.address().to_string());
    }

    ~Session() override
    {
        shared_->sessions.erase(this);
        forget();
    }

    void start()
    {
        beginRequest();
        read();
    }

    void respond(const HttpResponse& response) override
    {
        if (!handling_ || closed_)
            return;
        handling_ = false;
        abandonedCallback_ = nullptr;
        --shared_->openRequests;
        // A request that the client has sent in advance gets its answer too.
        if (shared_->draining && unparsedBytes_.empty() && !hasUnreadBytes())
            closeAfterWrite_ = true;
        lingerAfterWrite_ = closeAfterWrite_;
        responseBytes_ = serialize(response, closeAfterWrite_);
        bytesWritten_ = 0;
        requestBytes_ = 0;
        shared_->connections.setState(id_, Detail::ConnectionTable::State::Sending);
        account();
        write();
    }

    void onAbandoned(std::function<void()> callback) override { abandonedCallback_ = std::move(callback); }

    bool hasClientLeft() override
    {
        const auto error = peek();
        return error && error != asio::error::would_block;
    }

    bool hasUnreadBytes() { return !peek(); }

    /// True if nothing of a request was received and no response is being sent.
    bool isIdle() { return !closed_ && !handling_ && !requestStarted_ && responseBytes_.empty() && !hasUnreadBytes(); }
    TimePoint idleSince() const { return idleSince_; }
    /// True if the last response was sent; the connection stays open only for the client to read it.
    bool isFinished() const { return closed_ || lingering_; }

    void close()
    {
        if (closed_)
            return;
        closed_ = true;
        forget();
        error_code ignored;
        timer_.cancel();
        socket_.close(ignored);
        if (handling_) {
            handling_ = false;
            --shared_->openRequests;
            if (auto abandoned = std::move(abandonedCallback_))
                abandoned();
        }
    }

private:
    // The error of a read: none if there are bytes to read.
    error_code peek()
    {
        error_code error;
        char byte = 0;
        socket_.non_blocking(true, error);
        socket_.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
        return error;
    }

    void forget()
    {
        shared_->connections.remove(id_);
        shared_->sessionsById.erase(id_);
    }

    void account()
    {
        if (unparsedBytes_.empty() && unparsedBytes_.capacity() > maxRetainedBytes)
            std::string().swap(unparsedBytes_);
        if (responseBytes_.empty() && responseBytes_.capacity() > maxRetainedBytes)
            std::string().swap(responseBytes_);
        const std::size_t received
            = parser_ && !handling_ ? parser_->get().body().size() + headBytes_ * parsedHeadFactor : 0;
        shared_->connections.setBytes(
            id_, unparsedBytes_.capacity() + responseBytes_.capacity() + received + requestBytes_);
    }

    void beginRequest()
    {
        shared_->connections.setState(id_, Detail::ConnectionTable::State::Idle);
        parser_.emplace();
        parser_->header_limit(static_cast<std::uint32_t>(shared_->limits.maxHeaderBytes));
        parser_->body_limit(shared_->limits.maxBodyBytes);
        headBytes_ = 0;
        requestStarted_ = false;
        idleSince_ = monotonicNow();
        armTimer(shared_->limits.idleTimeout);
    }

    void armTimer(Duration timeout)
    {
        timer_.expires_after(timeout);
        timer_.async_wait([weak = weak_from_this()](error_code error) {
            const auto self = weak.lock();
            if (!error && self && !self->handling_)
                self->close();
        });
    }

    // Keeps a read outstanding while a request is processed, so that a closed client connection is detected at once.
    void read()
    {
        if (closed_ || reading_ || unparsedBytes_.size() > maxPipelinedBytes)
            return;
        // Only clients that send requests in advance wait: reading also detects that a client has left.
        const bool busy = handling_ || !responseBytes_.empty();
        if (busy && !unparsedBytes_.empty() && !shared_->connections.mayReadAhead())
            return;
        reading_ = true;
        socket_.async_read_some(
            asio::buffer(readBuffer_), [self = shared_from_this()](error_code error, std::size_t count) {
                self->reading_ = false;
                if (self->closed_)
                    return;
                if (error) {
                    self->close();
                    return;
                }
                if (self->lingering_) {
                    self->read();
                    return;
                }
                self->unparsedBytes_.append(self->readBuffer_.data(), count);
                self->parse();
                self->account();
                self->shared_->enforceBudget();
                self->read();
            });
    }

    void parse()
    {
        if (handling_ || !responseBytes_.empty() || closed_ || unparsedBytes_.empty())
            return;
        if (!requestStarted_) {
            requestStarted_ = true;
            shared_->connections.setState(id_, Detail::ConnectionTable::State::Receiving);
            armTimer(shared_->limits.requestTimeout);
        }
        error_code error;
        do {
            const bool inHead = !parser_->is_header_done();
            const auto used = parser_->put(asio::buffer(unparsedBytes_), error);
            unparsedBytes_.erase(0, used);
            if (inHead)
                headBytes_ += used;
            // The parser's own limit is for the bytes of one call, and it keeps what it has parsed of a head.
            if ((!error || error == http::error::need_more) && headBytes_ > shared_->limits.maxHeaderBytes)
                error = http::error::header_limit;
            if (used == 0)
                break;
        } while (!error && !parser_->is_done() && !unparsedBytes_.empty());
        if (error && error != http::error::need_more) {
            reject(error);
            return;
        }
        if (parser_->is_done())
            handle();
        else if (!error || error == http::error::need_more)
            sendContinueIfExpected();
    }

    void sendContinueIfExpected()
    {
        if (!parser_->is_header_done() || continueSent_)
            return;
        const auto expect = parser_->get()[http::field::expect];
        if (!boost::beast::iequals(expect, "100-continue"))
            return;
        continueSent_ = true;
        static constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
        error_code ignored;
        socket_.write_some(asio::buffer(interim.data(), interim.size()), ignored);
    }

    void refuse()
    {
        if (shared_->exceeded)
            shared_->exceeded(HttpBudgetLimit::BufferedBytes);
        respondAndClose({ .status = 503, .fields = { { "Retry-After", budgetRetryAfterSeconds } }, .body = {} });
    }

    void respondAndClose(const HttpResponse& response)
    {
        closeAfterWrite_ = true;
        shared_->connections.setState(id_, Detail::ConnectionTable::State::Sending);
        responseBytes_ = serialize(response, true);
        bytesWritten_ = 0;
        unparsedBytes_.clear();
        write();
    }

    void reject(error_code error)
    {
        unsigned status = 400;
        if (error == http::error::header_limit)
            status = 431;
        else if (error == http::error::body_limit)
            status = 413;
        respondAndClose({ .status = status, .fields = {}, .body = {} });
    }

    void handle()
    {
        account();
        // The requests in progress alone exceed the budget, so that closing incomplete ones would not help.
        if (shared_->connections.busyBytes() > shared_->connections.maxBytes()) {
            refuse();
            return;
        }
        auto message = parser_->release();
        HttpRequest request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        request.host = std::string(message[http::field::host]);
        for (const auto& field : message.base())
            request.fields.push_back({ std::string(field.name_string()), std::string(field.value()) });
        request.body = std::move(message.body());
        closeAfterWrite_ = !message.keep_alive();
        continueSent_ = false;
        handling_ = true;
        ++shared_->openRequests;
        shared_->connections.setState(id_, Detail::ConnectionTable::State::Busy);
        requestBytes_ = request.target.size() + request.body.size();
        timer_.cancel();
        shared_->handler(std::move(request), shared_from_this());
    }

    void write()
    {
        armTimer(shared_->limits.idleTimeout);
        socket_.async_write_some(
            asio::buffer(responseBytes_.data() + bytesWritten_, responseBytes_.size() - bytesWritten_),
            [self = shared_from_this()](error_code error, std::size_t count) { self->onWritten(error, count); });
    }

    void onWritten(error_code error, std::size_t count)
    {
        if (closed_)
            return;
        if (error) {
            close();
            return;
        }
        bytesWritten_ += count;
        if (bytesWritten_ < responseBytes_.size()) {
            write();
            return;
        }
        responseBytes_.clear();
        account();
        if (closeAfterWrite_) {
            error_code ignored;
            socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
            if (lingerAfterWrite_)
                linger();
            else
                close();
            return;
        }
        beginRequest();
        parse();
        account();
        read();
    }

    void linger()
    {
        lingering_ = true;
        unparsedBytes_.clear();
        shared_->connections.setState(id_, Detail::ConnectionTable::State::Idle);
        account();
        armTimer(lingerTimeout);
        read();
    }

    asio::ip::tcp::socket socket_;
    Timer timer_;
    std::shared_ptr<Shared> shared_;
    HttpConnectionId id_;
    // Size of the request in progress.
    std::size_t requestBytes_ { 0 };
    // Bytes of the current request's head that have been parsed.
    std::size_t headBytes_ { 0 };
    std::optional<http::request_parser<http::string_body>> parser_;
    std::array<char, readBlockBytes> readBuffer_;
    std::string unparsedBytes_;
    std::string responseBytes_;
    std::size_t bytesWritten_ { 0 };
    std::function<void()> abandonedCallback_;
    // When the last request was answered, or the connection accepted.
    TimePoint idleSince_ {};
    bool handling_ { false };
    bool reading_ { false };
    bool requestStarted_ { false };
    bool continueSent_ { false };
    bool closeAfterWrite_ { false };
    bool lingerAfterWrite_ { false };
    bool lingering_ { false };
    bool closed_ { false };
};

void HttpServer::Shared::enforceBudget()
{
    while (const auto id = connections.excessBytes())
        closeFor(*id, HttpBudgetLimit::BufferedBytes);
    while (const auto id = connections.excessConnection(0))
        closeFor(*id, HttpBudgetLimit::Connections);
}

void HttpServer::Shared::makeRoom()
{
    // The new connection must not be the one that is closed for it.
    if (const auto id = connections.excessConnection(1))
        closeFor(*id, HttpBudgetLimit::Connections);
}

void HttpServer::Shared::closeFor(HttpConnectionId id, HttpBudgetLimit limit)
{
    sessionsById.at(id)->close();
    if (exceeded)
        exceeded(limit);
}

HttpServer::HttpServer(asio::io_context& context, const NetworkAddress& address, HttpHandler handler)
    : acceptor_(context, parseEndpoint(address))
    , acceptTimer_(std::make_unique<Timer>(context))
    , shared_(std::make_shared<Shared>())
{
    shared_->handler = std::move(handler);
    accept();
}

HttpServer::~HttpServer()
{
    shared_->stopped = true;
    // Sessions may outlive the server, but objects captured by the handler may not.
    shared_->handler = [](const HttpRequest&, const std::shared_ptr<HttpExchange>&) {};
    const auto sessions = shared_->sessions;
    for (auto* session : sessions) {
        session->onAbandoned(nullptr);
        session->close();
    }
}

void HttpServer::accept()
{
    acceptor_.async_accept([this, shared = shared_](error_code error, asio::ip::tcp::socket socket) {
        if (shared->stopped || error == asio::error::operation_aborted)
            return;
        if (error) {
            acceptTimer_->expires_after(acceptRetryDelay);
            acceptTimer_->async_wait([this, shared](error_code timerError) {
                if (!timerError && !shared->stopped && shared->accepting)
                    accept();
            });
            return;
        }
        open(std::move(socket));
        if (shared->accepting)
            accept();
    });
}

void HttpServer::open(asio::ip::tcp::socket socket)
{
    error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    shared_->makeRoom();
    std::make_shared<Session>(std::move(socket), shared_)->start();
    shared_->enforceBudget();
}

void HttpServer::stopAccepting()
{
    if (!std::exchange(shared_->accepting, false))
        return;
    error_code error;
    acceptor_.non_blocking(true, error);
    while (!error) {
        auto socket = acceptor_.accept(error);
        if (!error)
            open(std::move(socket));
    }
    acceptTimer_->cancel();
    acceptor_.close(error);
}

void HttpServer::closeIdle(TimePoint idleBefore)
{
    const auto sessions = shared_->sessions;
    for (auto* session : sessions) {
        if (session->idleSince() <= idleBefore && session->isIdle())
            session->close();
    }
}

bool HttpServer::isQuiet() const
{
    return std::all_of(shared_->sessions.begin(), shared_->sessions.end(),
        [](const Session* session) { return session->isFinished(); });
}

void HttpServer::setBudget(const HttpServerBudget& budget, std::function<void(HttpBudgetLimit)> exceeded)
{
    shared_->connections.setBudget(budget);
    shared_->exceeded = std::move(exceeded);
}

std::size_t HttpServer::bufferedBytes() const { return shared_->connections.bytes(); }

void HttpServer::setLimits(const HttpServerLimits& limits) { shared_->limits = limits; }

void HttpServer::drain() { shared_->draining = true; }

std::size_t HttpServer::openRequests() const { return shared_->openRequests; }

std::size_t HttpServer::openConnections() const { return shared_->sessions.size(); }

NetworkAddress HttpServer::localAddress() const
{
    const auto endpoint = acceptor_.local_endpoint();
    return NetworkAddress(endpoint.address().to_string() + ":" + std::to_string(endpoint.port()));
}

std::optional<asio::ip::tcp::endpoint> tryParseEndpoint(const NetworkAddress& address)
{
    const auto colon = address.value.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    const auto digits = std::string_view(address.value).substr(colon + 1);
    std::uint16_t port = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    error_code error;
    const auto host = asio::ip::make_address(address.value.substr(0, colon), error);
    if (error || parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size())
        return std::nullopt;
    return asio::ip::tcp::endpoint(host, port);
}

asio::ip::tcp::endpoint parseEndpoint(const NetworkAddress& address)
{
    if (const auto endpoint = tryParseEndpoint(address))
        return *endpoint;
    throw std::invalid_argument("address is not numeric host:port: '" + address.value + "'");
}

} // namespace Balsammill
