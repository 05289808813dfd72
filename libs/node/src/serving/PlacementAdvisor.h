#pragma once

#include "NodeContext.h"

#include "balsammill/http/HttpClient.h"
#include "balsammill/shards/ShardActions.h"
#include "balsammill/shards/StepPermits.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace Balsammill {

/// Asks the platform's advice service which upstreams may run a step. The service accepts one call at a time from each
/// process, so further queries are queued.
class PlacementAdvisor {
public:
    /// Called with the tickets and the time at which the query was sent; the tickets are std::nullopt if no valid
    /// answer was received.
    using Callback = std::function<void(const std::optional<Shards::Tickets>&, TimePoint sentAt)>;

    explicit PlacementAdvisor(NodeContext&);

    void requestPermits(const Shards::PermitRequest&, Callback);

private:
    struct PendingQuery {
        Shards::PermitRequest content;
        Callback callback;
    };
    void sendNext();
    std::optional<Shards::Tickets> decode(const Shards::PermitRequest&, const HttpResult&);

    NodeContext& context_;
    HttpClient client_;
    std::deque<PendingQuery> waiting_;
    bool requestInFlight_ { false };
};

} // namespace Balsammill
