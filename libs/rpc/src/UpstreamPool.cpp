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

/// Connections to one upstream.
struct Upstream {
    explicit Upstream(const Poco::Net::SocketAddress& initial)
        : address(initial)
    {
    }

    const Poco::Net::SocketAddress address;
    std::mutex mutex;
    std::vector<IdleConnection> idle;
    std::size_t open { 0 };
    bool forgotten { false };
};

/// A connection in use. It is closed at the end unless it was given back.
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
        --upstream_->open;
    }

    bool reused() const { return reused_; }
    HttpStream& stream() { return *stream_; }
    void connect(Duration connectTimeout, TimePoint deadline)
    {
        stream_ = Detail::openStream(upstream_->address, connectTimeout, deadline);
    }

    void giveBack(TimePoint expiresAt)
    {
        std::vector<IdleConnection> expired;
        {
            std::lock_guard lock(upstream_->mutex);
            if (upstream_->forgotten)
                return;
            // The least recently used connections are at the front.
            auto& idle = upstream_->idle;
            const auto now = monotonicNow();
            while (!idle.empty() && idle.front().expiresAt <= now) {
                expired.push_back(std::move(idle.front()));
                idle.erase(idle.begin());
                --upstream_->open;
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

UpstreamFailure notRun(ErrorCode code, std::string message)
{
    return { .error = { .code = code, .message = std::move(message), .verdict = Verdict::NotRun }, .answered = false };
}

} // namespace

struct UpstreamPool::Detail {
    std::shared_ptr<Upstream> upstreamAt(const NetworkAddress&);
    Lease acquire(const std::shared_ptr<Upstream>&, const UpstreamRequest&) const;
    ExchangeResult exchangeOn(Lease&, std::string_view head, const UpstreamRequest&, bool& untouched) const;

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
        // Input on an idle connection is the peer's close, or an answer that belongs to no request.
        if (connection.expiresAt > monotonicNow() && !connection.stream->hasPendingInput())
            return { upstream, std::move(connection.stream) };
        discarded.push_back(std::move(connection));
        --upstream->open;
    }
    if (upstream->open >= options.connectionsPerUpstream)
        throw RpcError({ .code = ErrorCode::ResourceExhausted,
            .message = "all " + std::to_string(options.connectionsPerUpstream) + " connections to "
                + request.address.value + " are in use",
            .verdict = Verdict::NotRun });
    ++upstream->open;
    lock.unlock();
    Lease lease(upstream, nullptr);
    lease.connect(options.connectTimeout, request.deadline);
    return lease;
}

ExchangeResult UpstreamPool::Detail::exchangeOn(
    Lease& lease, std::string_view head, const UpstreamRequest& request, bool& untouched) const
{
    std::size_t written = 0;
    try {
        auto answer = Balsammill::Detail::sendAndReceive(
            lease.stream(), head, request.body, options.maxAnswerBytes, request.deadline, written);
        // Bytes after the answer belong to no request, so the connection is not used again.
        if (answer.keepAlive && !lease.stream().hasBufferedInput())
            lease.giveBack(monotonicNow() + options.idleTimeout);
        if (auto error = Balsammill::Detail::errorOf(answer, Encoding::Binary, request.address))
            return UpstreamFailure { .error = std::move(*error), .answered = true };
        return UpstreamAnswer { .body = std::move(answer.body) };
    } catch (const Balsammill::Detail::StreamFault& fault) {
        untouched = written == 0 && fault.kind() == Balsammill::Detail::StreamFaultKind::Closed;
        return UpstreamFailure { .error = Balsammill::Detail::describeFault(fault, written, request.address),
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
        return notRun(ErrorCode::DeadlineExceeded, "the deadline passed before the request was sent");
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
            bool untouched = false;
            auto result = detail_->exchangeOn(lease, head, request, untouched);
            // A pooled connection that accepted no byte is replaced; each round uses up one of them.
            if (!untouched || !lease.reused())
                return result;
        }
    } catch (const RpcError& error) {
        return UpstreamFailure { .error = error.details(), .answered = false };
    } catch (const std::invalid_argument& error) {
        return notRun(ErrorCode::InvalidArgument, error.what());
    }
}

void UpstreamPool::forget(const NetworkAddress& address)
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
    upstream->forgotten = true;
    closing.swap(upstream->idle);
}

} // namespace Balsammill
