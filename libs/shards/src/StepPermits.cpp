#include "balsammill/shards/StepPermits.h"

namespace Balsammill::Shards {

namespace {

// Time for a start to arrive: a round trip within the failure domain, plus a margin for a slow sender or receiver.
constexpr Duration maxStartDelay = std::chrono::milliseconds(50);
// The service handles one call at a time from each process, so a rejected or lost call is retried after about the time
// of one call.
constexpr Duration retryDelay = std::chrono::milliseconds(100);

} // namespace

const StepPermits::Decision* StepPermits::find(const UpstreamInfo& upstream) const
{
    const auto found = decisions_.find(upstream.id);
    return found == decisions_.end() || found->second.startedUnixMs != upstream.startedUnixMs ? nullptr
                                                                                              : &found->second;
}

const std::string* StepPermits::ticketFor(const UpstreamInfo& upstream, TimePoint now) const
{
    const auto* decision = find(upstream);
    return decision != nullptr && decision->allowed && now + maxStartDelay < decision->expiresAt ? &decision->ticket
                                                                                                 : nullptr;
}

bool StepPermits::isDecided(const UpstreamInfo& upstream, TimePoint now) const
{
    const auto* decision = find(upstream);
    return decision != nullptr && (!decision->allowed || ticketFor(upstream, now) != nullptr);
}

bool StepPermits::isAllowed(const UpstreamInfo& upstream) const
{
    const auto* decision = find(upstream);
    return decision != nullptr && decision->allowed;
}

void StepPermits::markRequested(const std::vector<const UpstreamInfo*>& upstreams)
{
    for (const auto* upstream : upstreams)
        inFlight_[upstream->id] = upstream->startedUnixMs;
}

void StepPermits::handleAnswer(
    const std::vector<UpstreamId>& asked, const Tickets& tickets, TimePoint sentAt, Duration validity, TimePoint now)
{
    for (const auto& id : asked) {
        const auto request = inFlight_.find(id);
        // The answer belongs to a request of an earlier submission of the job.
        if (request == inFlight_.end())
            continue;
        const auto ticket = tickets.find(id);
        Decision decision {
            .startedUnixMs = request->second, .allowed = ticket != tickets.end(), .ticket = {}, .expiresAt = {}
        };
        if (decision.allowed) {
            decision.ticket = ticket->second;
            decision.expiresAt = sentAt + validity;
            // An immediate retry would take as long and return an expired ticket again.
            if (decision.expiresAt <= now + maxStartDelay)
                retryAt_ = now + retryDelay;
        }
        decisions_[id] = std::move(decision);
        inFlight_.erase(request);
    }
}

void StepPermits::handleNoAnswer(const std::vector<UpstreamId>& asked, TimePoint now)
{
    for (const auto& id : asked)
        inFlight_.erase(id);
    retryAt_ = now + retryDelay;
}

void StepPermits::dropTicket(const UpstreamId& id)
{
    if (const auto found = decisions_.find(id); found != decisions_.end())
        found->second.expiresAt = TimePoint {};
}

} // namespace Balsammill::Shards
