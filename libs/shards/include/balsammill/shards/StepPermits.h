#pragma once

#include "balsammill/shards/UpstreamInfo.h"

#include <map>
#include <string>
#include <vector>

namespace Balsammill::Shards {

/// Tickets of the upstreams that may run a step.
using Tickets = std::map<UpstreamId, std::string>;

/// The answers of the advice service for one step. An answer about an upstream applies to one incarnation of the
/// upstream; a ticket is valid for a limited time.
class StepPermits {
public:
    /// Maximum number of upstreams in one request. The response time objective includes the time for one request of
    /// this size.
    static constexpr std::size_t maxUpstreamsAsked = 30;

    /// True while a request is in flight, and during the retry delay after a request that failed or whose tickets
    /// expired before they could be used.
    bool isWaiting(TimePoint now) const { return !inFlight_.empty() || now < retryAt_; }
    /// True if no request has been answered yet.
    bool empty() const { return decisions_.empty(); }
    /// Ticket for a start on the upstream; null if there is none that will still be valid when the start arrives.
    const std::string* ticketFor(const UpstreamInfo&, TimePoint now) const;
    /// True if no request is needed for the upstream: there is a valid ticket, or it may not run the step.
    bool isDecided(const UpstreamInfo&, TimePoint now) const;
    /// True if the service has allowed the upstream to run the step, even if the ticket has expired since.
    bool isAllowed(const UpstreamInfo&) const;

    void markRequested(const std::vector<const UpstreamInfo*>&);
    /// Handles the answer for these upstreams. The validity of the tickets counts from sentAt, when the request was
    /// sent.
    void handleAnswer(
        const std::vector<UpstreamId>& asked, const Tickets&, TimePoint sentAt, Duration validity, TimePoint now);
    /// The request got no usable answer; it is retried after a delay.
    void handleNoAnswer(const std::vector<UpstreamId>& asked, TimePoint now);
    /// The upstream has refused the ticket.
    void dropTicket(const UpstreamId&);

private:
    struct Decision {
        std::int64_t startedUnixMs { 0 };
        bool allowed { false };
        std::string ticket;
        TimePoint expiresAt {};
    };
    const Decision* find(const UpstreamInfo&) const;

    std::map<UpstreamId, Decision> decisions_;
    // Upstreams of the request in flight, with their start times (startedUnixMs) when it was sent.
    std::map<UpstreamId, std::int64_t> inFlight_;
    TimePoint retryAt_ {};
};

} // namespace Balsammill::Shards
