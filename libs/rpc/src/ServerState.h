#pragma once

#include "HttpStream.h"

#include "balsammill/base/Log.h"
#include "balsammill/rpc/ConnectServer.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <set>

namespace Balsammill::Detail {

/// State that all connections of one server share. Thread-safe.
class ServerState {
public:
    explicit ServerState(ConnectServerOptions initial)
        : options(std::move(initial))
    {
    }

    const ConnectServerOptions options;
    std::atomic<bool> draining { false };
    LogLimiter refusalLogLimiter { std::chrono::seconds(1) };

    /// Registers a stream, so that stopStreams() can shut down its receiving side. Returns false if the connection
    /// limit is reached or the server is stopping.
    bool addStream(HttpStream&);
    void removeStream(HttpStream&);
    bool isStopping() const;
    void stopStreams();

    void beginRequest();
    void endRequest();
    std::size_t requestsInFlight() const;
    bool waitUntilIdle(TimePoint deadline) const;

private:
    mutable std::mutex mutex_;
    mutable std::condition_variable idle_;
    std::set<HttpStream*> streams_;
    std::size_t inFlight_ { 0 };
    bool stopping_ { false };
};

} // namespace Balsammill::Detail
