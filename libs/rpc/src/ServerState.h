#pragma once

#include "HttpStream.h"

#include "balsammill/base/Log.h"
#include "balsammill/rpc/ConnectServer.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <set>

namespace Balsammill::Detail {

/// What the connections of one server share.
class ServerState {
public:
    explicit ServerState(ConnectServerOptions initial)
        : options(std::move(initial))
    {
    }

    const ConnectServerOptions options;
    std::atomic<bool> draining { false };
    LogLimiter refusalLog { std::chrono::seconds(1) };

    /// False if the limit of connections is reached. stopStreams() ends the receiving of all streams added here.
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
