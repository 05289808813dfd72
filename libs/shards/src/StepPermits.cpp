#include "balsammill/shards/StepPermits.h"

namespace Balsammill::Shards {

namespace {

// A start arrives within a round trip of a failure domain; the rest is for a slow process at either side.
constexpr Duration startDelivery = std::chrono::milliseconds(50);
// The service takes one call at a time from each process; a refused or lost call is repeated after about one call.
constexpr Duration retryPause = std::chrono::milliseconds(100);

} // namespace

const StepPermits::Known* StepPermits::find(const UpstreamInfo& upstream) const
{
    const auto found = known_.find(upstream.id);
    return found == known_.end() || found->second.bornMs != upstream.bornMs ? nullptr : &found->second;
}

const std::string* StepPermits::ticketFor(const UpstreamInfo& upstream, TimePoint now) const
{
    const auto* known = find(upstream);
    return known != nullptr && known->allowed && now + startDelivery < known->expiresAt ? &known->ticket : nullptr;
}

bool StepPermits::knows(const UpstreamInfo& upstream, TimePoint now) const
{
    const auto* known = find(upstream);
    return known != nullptr && (!known->allowed || ticketFor(upstream, now) != nullptr);
}

bool StepPermits::allows(const UpstreamInfo& upstream) const
{
    const auto* known = find(upstream);
    return known != nullptr && known->allowed;
}

void StepPermits::noteAsked(const std::vector<const UpstreamInfo*>& upstreams)
{
    for (const auto* upstream : upstreams)
        asked_[upstream->id] = upstream->bornMs;
}

void StepPermits::handleAnswer(
    const std::vector<UpstreamId>& asked, const Tickets& tickets, TimePoint sentAt, Duration validity, TimePoint now)
{
    for (const auto& id : asked) {
        const auto open = asked_.find(id);
        // The answer to a question of an earlier submission of the job.
        if (open == asked_.end())
            continue;
        const auto ticket = tickets.find(id);
        Known known { .bornMs = open->second, .allowed = ticket != tickets.end(), .ticket = {}, .expiresAt = {} };
        if (known.allowed) {
            known.ticket = ticket->second;
            known.expiresAt = sentAt + validity;
            // Asking again at once would get nothing better.
            if (known.expiresAt <= now + startDelivery)
                retryAt_ = now + retryPause;
        }
        known_[id] = std::move(known);
        asked_.erase(open);
    }
}

void StepPermits::handleNoAnswer(const std::vector<UpstreamId>& asked, TimePoint now)
{
    for (const auto& id : asked)
        asked_.erase(id);
    retryAt_ = now + retryPause;
}

void StepPermits::dropTicket(const UpstreamId& id)
{
    if (const auto found = known_.find(id); found != known_.end())
        found->second.expiresAt = TimePoint {};
}

} // namespace Balsammill::Shards
