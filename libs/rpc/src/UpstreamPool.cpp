#include "balsammill/rpc/UpstreamPool.h"

#include "ClientExchange.h"
#include "NumericAddress.h"

#include <mutex>
#include <stdexcept>
#include <unordered_map>

namespace Balsammill {

namespace {

using Detail::HttpStream;

struct IdleConnection {
    std::unique_ptr<HttpStream> stream;
    TimePoint expiresAt;
};

/// State of the connections to one upstream.
struct Upstream {
    explicit Upstream(const Poco::Net::SocketAddress& initial)
        : address(initial)
    {
    }

    const Poco::Net::SocketAddress address;
    std::mutex mutex;
    std::vector<IdleConnection> idle;
    std::size_t openCount { 0 };
    bool removed { false };
};

/// A connection in use. The destructor closes it unless it was returned to the pool.
class Lease {
public:
    Lease(std::shared_ptr<Upstream> upstream, std::unique_ptr<HttpStream> stream)
        : upstream_(std::move(upstream))
        , stream_(std::move(stream))
        , reused_(stream_ != nullptr)
    {
    }
    Lease(Lease&&) noexcept = default;
    Lease& operator=(Lease&&) = delete;
    ~Lease()
    {
        if (!upstream_)
            return;
        stream_.reset();
        std::lock_guard lock(upstream_->mutex);
        --upstream_->openCount;
    }

    bool reused() const { return reused_; }
    HttpStream& stream() { return *stream_; }
    void connect(Duration connectTimeout, TimePoint deadline)
    {
        stream_ = Detail::openStream(upstream_->address, connectTimeout, deadline);
    }

    void returnToPool(TimePoint expiresAt)
    {
        std::vector<IdleConnection> expired;
        {
            std::lock_guard lock(upstream_->mutex);
            if (upstream_->removed)
                return;
            // Connections are ordered from the least to the most recently used.
            auto& idle = upstream_->idle;
            const auto now = monotonicNow();
            while (!idle.empty() && idle.front().expiresAt <= now) {
                expired.push_back(std::move(idle.front()));
                idle.erase(idle.begin());
                --upstream_->openCount;
            }
            idle.push_back({ .stream = std::move(stream_), .expiresAt = expiresAt });
        }
        upstream_.reset();
    }

private:
    std::shared_ptr<Upstream> upstream_;
    std::unique_ptr<HttpStream> stream_;
    bool reused_;
};

UpstreamFailure notRunFailure(ErrorCode code, std::string message)
{
    return { .error = { .code = code, .message = std::move(message), .verdict = Verdict::NotRun }, .answered = false };
}

} // namespace

struct UpstreamPool::Detail {
    std::shared_ptr<Upstream> upstreamAt(const NetworkAddress&);
    Lease acquire(const std::shared_ptr<Upstream>&, const UpstreamRequest&) const;
    ExchangeResult exchangeOn(Lease&, std::string_view head, const UpstreamRequest&, bool& closedBeforeSend) const;

    UpstreamPoolOptions options;
    std::mutex mutex;
    std::unordered_map<NetworkAddress, std::shared_ptr<Upstream>> upstreams;
};

std::shared_ptr<Upstream> UpstreamPool::Detail::upstreamAt(const NetworkAddress& address)
{
    std::lock_guard lock(mutex);
    auto found = upstreams.find(address);
    if (found == upstreams.end()) {
        auto upstream = std::make_shared<Upstream>(Balsammill::Detail::parseNumericAddress(address));
        found = upstreams.emplace(address, std::move(upstream)).first;
    }
    return found->second;
}

Lease UpstreamPool::Detail::acquire(const std::shared_ptr<Upstream>& upstream, const UpstreamRequest& request) const
{
    std::vector<IdleConnection> discarded;
    std::unique_lock lock(upstream->mutex);
    while (!upstream->idle.empty()) {
        auto connection = std::move(upstream->idle.back());
        upstream->idle.pop_back();
        // Pending input on an idle connection means that the peer closed it or sent a response without a request.
        if (connection.expiresAt > monotonicNow() && !connection.stream->hasPendingInput())
            return { upstream, std::move(connection.stream) };
        discarded.push_back(std::move(connection));
        --upstream->openCount;
    }
    if (upstream->openCount >= options.connectionsPerUpstream)
        throw RpcError({ .code = ErrorCode::ResourceExhausted,
            .message = "all " + std::to_string(options.connectionsPerUpstream) + " connections to "
                + request.address.value + " are in use",
            .verdict = Verdict::NotRun });
    ++upstream->openCount;
    lock.unlock();
    Lease lease(upstream, nullptr);
    lease.connect(options.connectTimeout, request.deadline);
    return lease;
}

ExchangeResult UpstreamPool::Detail::exchangeOn(
    Lease& lease, std::string_view head, const UpstreamRequest& request, bool& closedBeforeSend) const
{
    std::size_t written = 0;
    try {
        auto response = Balsammill::Detail::sendAndReceive(
            lease.stream(), head, request.body, options.maxResponseBytes, request.deadline, written);
        // Bytes after the response belong to no request, so the connection must not be reused.
        if (response.keepAlive && !lease.stream().hasBufferedInput())
            lease.returnToPool(monotonicNow() + options.idleTimeout);
        if (auto error = Balsammill::Detail::errorOf(response, Encoding::Binary, request.address))
            return UpstreamFailure { .error = std::move(*error), .answered = true };
        return UpstreamAnswer { .body = std::move(response.body) };
    } catch (const Balsammill::Detail::StreamFault& fault) {
        closedBeforeSend = written == 0 && fault.kind() == Balsammill::Detail::StreamFaultKind::Closed;
        return UpstreamFailure { .error = Balsammill::Detail::errorFromFault(fault, written, request.address),
            .answered = false };
    }
}

UpstreamPool::UpstreamPool(UpstreamPoolOptions options)
    : detail_(std::make_unique<Detail>())
{
    detail_->options = options;
}

UpstreamPool::~UpstreamPool() = default;

ExchangeResult UpstreamPool::exchange(const UpstreamRequest& request)
{
    if (request.deadline <= monotonicNow())
        return notRunFailure(ErrorCode::DeadlineExceeded, "the deadline passed before the request was sent");
    try {
        const auto upstream = detail_->upstreamAt(request.address);
        auto lines = Balsammill::Detail::formatHeaderLine("Balsammill-Task-Id", request.taskId);
        lines.append("Balsammill-Attempt: ").append(std::to_string(request.attempt)).append("\r\n");
        const auto head = Balsammill::Detail::formatCallHead({ .address = request.address,
            .method = request.method,
            .encoding = Encoding::Binary,
            .bodyBytes = request.body.size(),
            .deadline = request.deadline,
            .extraLines = std::move(lines) });
        for (;;) {
            auto lease = detail_->acquire(upstream, request);
            bool closedBeforeSend = false;
            auto result = detail_->exchangeOn(lease, head, request, closedBeforeSend);
            // The peer closed this pooled connection before any byte was written, so the request is safe to send on
            // another connection. Each iteration consumes one pooled connection, which bounds the loop.
            if (!closedBeforeSend || !lease.reused())
                return result;
        }
    } catch (const RpcError& error) {
        return UpstreamFailure { .error = error.details(), .answered = false };
    } catch (const std::invalid_argument& error) {
        return notRunFailure(ErrorCode::InvalidArgument, error.what());
    }
}

void UpstreamPool::closeIdleConnections(const NetworkAddress& address)
{
    std::shared_ptr<Upstream> upstream;
    {
        std::lock_guard lock(detail_->mutex);
        const auto found = detail_->upstreams.find(address);
        if (found == detail_->upstreams.end())
            return;
        upstream = std::move(found->second);
        detail_->upstreams.erase(found);
    }
    std::vector<IdleConnection> closing;
    std::lock_guard lock(upstream->mutex);
    upstream->removed = true;
    closing.swap(upstream->idle);
}

} // namespace Balsammill
