#include "PlacementAdvisor.h"

#include "platform/Json.h"
#include "platform/UpstreamMessages.h"

namespace Balsammill {

namespace {

constexpr std::size_t maxIdleConnections = 1;
// Added to the service's declared decision time: network delay, and timed-out calls of this process that the service
// has not dropped yet.
constexpr Duration responseMargin = std::chrono::milliseconds(300);

} // namespace

PlacementAdvisor::PlacementAdvisor(NodeContext& context)
    : context_(context)
    , client_(context.loop, context.settings.adviceAddress, maxIdleConnections)
{
}

void PlacementAdvisor::requestPermits(const Shards::PermitRequest& query, Callback callback)
{
    waiting_.push_back({ .content = query, .callback = std::move(callback) });
    sendNext();
}

void PlacementAdvisor::sendNext()
{
    if (requestInFlight_ || waiting_.empty())
        return;
    requestInFlight_ = true;
    auto query = std::move(waiting_.front());
    waiting_.pop_front();
    const auto sentAt = monotonicNow();
    const auto& content = query.content;
    const auto deadline = sentAt + content.policy.answerTime(content.upstreams.size()) + responseMargin;
    const auto request = Platform::encodePermitRequest(content);
    client_.send(request, deadline, [this, query = std::move(query), sentAt](const HttpResult& result) {
        requestInFlight_ = false;
        const auto tickets = decode(query.content, result);
        query.callback(tickets, sentAt);
        sendNext();
    });
}

std::optional<Shards::Tickets> PlacementAdvisor::decode(const Shards::PermitRequest& query, const HttpResult& result)
{
    std::string reason = "no answer";
    if (result.response) {
        try {
            auto tickets = Platform::parsePermits(*result.response);
            context_.metrics.add("balsammill_advice_total", R"(outcome="answered")");
            if (context_.log.isSampled(query.job.job.value))
                context_.log.event("advice.answered",
                    { { "id", query.job.job.value }, { "step", std::uint64_t { query.step } },
                        { "asked", std::uint64_t { query.upstreams.size() } },
                        { "allowed", std::uint64_t { tickets.size() } } });
            return tickets;
        } catch (const Platform::FormatError& error) {
            reason = error.what();
        }
    }
    context_.metrics.add("balsammill_advice_total", R"(outcome="failed")");
    context_.log.event("advice.failed",
        { { "id", query.job.job.value }, { "step", std::uint64_t { query.step } }, { "reason", reason } });
    return std::nullopt;
}

} // namespace Balsammill
