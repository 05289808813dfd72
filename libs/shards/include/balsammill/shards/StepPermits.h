#pragma once

#include "balsammill/shards/UpstreamInfo.h"

#include <map>
#include <string>
#include <vector>

namespace Balsammill::Shards {

/// Tickets of the upstreams that may run a step.
using Tickets = std::map<UpstreamId, std::string>;

/// What the advice service has said of one step. An answer about an upstream holds for one life of it; a ticket can be
/// used for a limited time.
class StepPermits {
public:
    /// Most upstreams in one question. The response time objective allows for one question of this size.
    static constexpr std::size_t maxUpstreamsAsked = 30;

    /// True while a question is open, or has just failed.
    bool isWaiting(TimePoint now) const { return !asked_.empty() || now < retryAt_; }
    /// No question has been answered yet.
    bool empty() const { return known_.empty(); }
    /// The ticket for a start on the upstream; null if there is none that is still valid when the start arrives.
    const std::string* ticketFor(const UpstreamInfo&, TimePoint now) const;
    /// True if nothing has to be asked about the upstream: it has a ticket, or may not run the step.
    bool knows(const UpstreamInfo&, TimePoint now) const;
    /// True if the upstream has been allowed to run the step, whatever has become of its ticket.
    bool allows(const UpstreamInfo&) const;

    void noteAsked(const std::vector<const UpstreamInfo*>&);
    /// The question about these upstreams was answered. Tickets count from the time at which it was sent.
    void handleAnswer(
        const std::vector<UpstreamId>& asked, const Tickets&, TimePoint sentAt, Duration validity, TimePoint now);
    /// The question got no usable answer; it is asked again after a while.
    void handleNoAnswer(const std::vector<UpstreamId>& asked, TimePoint now);
    /// The upstream has refused the ticket.
    void dropTicket(const UpstreamId&);

private:
    struct Known {
        std::int64_t bornMs { 0 };
        bool allowed { false };
        std::string ticket;
        TimePoint expiresAt {};
    };
    const Known* find(const UpstreamInfo&) const;

    std::map<UpstreamId, Known> known_;
    // Upstreams of the open question, with their lives when it was asked.
    std::map<UpstreamId, std::int64_t> asked_;
    TimePoint retryAt_ {};
};

} // namespace Balsammill::Shards
