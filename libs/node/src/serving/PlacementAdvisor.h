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

/// Asks the platform's advice service which upstreams may run a step. The service takes one call at a time from each
/// process, so further questions wait here.
class PlacementAdvisor {
public:
    /// Called with the tickets and the time at which the question was sent, or with nothing if there was no usable
    /// answer.
    using Callback = std::function<void(const std::optional<Shards::Tickets>&, TimePoint sentAt)>;

    explicit PlacementAdvisor(NodeContext&);

    void ask(const Shards::AskPermits&, Callback);

private:
    struct Question {
        Shards::AskPermits content;
        Callback callback;
    };
    void sendNext();
    std::optional<Shards::Tickets> decode(const Shards::AskPermits&, const HttpResult&);

    NodeContext& context_;
    HttpClient client_;
    std::deque<Question> waiting_;
    bool asking_ { false };
};

} // namespace Balsammill
