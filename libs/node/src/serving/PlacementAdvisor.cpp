#include "PlacementAdvisor.h"

#include "platform/Json.h"
#include "platform/UpstreamMessages.h"

namespace Balsammill {

namespace {

constexpr std::size_t idleConnections = 1;
// On top of the time that the service says it takes: the way, and calls of this process that it has not dropped yet.
constexpr Duration answerMargin = std::chrono::milliseconds(300);

} // namespace

PlacementAdvisor::PlacementAdvisor(NodeContext& context)
    : context_(context)
    , client_(context.loop, context.settings.adviceAddress, idleConnections)
{
}

void PlacementAdvisor::ask(const Shards::AskPermits& question, Callback callback)
{
    waiting_.push_back({ .content = question, .callback = std::move(callback) });
    sendNext();
}

void PlacementAdvisor::sendNext()
{
    if (asking_ || waiting_.empty())
        return;
    asking_ = true;
    auto question = std::move(waiting_.front());
    waiting_.pop_front();
    const auto sentAt = monotonicNow();
    const auto& content = question.content;
    const auto deadline = sentAt + content.policy.answerTime(content.upstreams.size()) + answerMargin;
    const auto request = Platform::encodePermitRequest(content);
    client_.send(request, deadline, [this, question = std::move(question), sentAt](const HttpResult& result) {
        asking_ = false;
        const auto tickets = decode(question.content, result);
        question.callback(tickets, sentAt);
        sendNext();
    });
}

std::optional<Shards::Tickets> PlacementAdvisor::decode(const Shards::AskPermits& question, const HttpResult& result)
{
    std::string reason = "no answer";
    if (result.response) {
        try {
            auto tickets = Platform::parsePermits(*result.response);
            context_.metrics.add("balsammill_advice_total", R"(outcome="answered")");
            if (context_.log.samples(question.job.job.value))
                context_.log.event("advice.answered",
                    { { "id", question.job.job.value }, { "step", std::uint64_t { question.step } },
                        { "asked", std::uint64_t { question.upstreams.size() } },
                        { "allowed", std::uint64_t { tickets.size() } } });
            return tickets;
        } catch (const Platform::FormatError& error) {
            reason = error.what();
        }
    }
    context_.metrics.add("balsammill_advice_total", R"(outcome="failed")");
    context_.log.event("advice.failed",
        { { "id", question.job.job.value }, { "step", std::uint64_t { question.step } }, { "reason", reason } });
    return std::nullopt;
}

} // namespace Balsammill
