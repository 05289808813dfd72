#pragma once

#include "balsammill/base/Units.h"
#include "balsammill/routing/NodeSettings.h"
#include "platform/UpstreamMessages.h"

namespace Balsammill {

/// The leases that an owner grants on one upstream. A lease applies to everything that runs there and ends by the
/// upstream's own clock, which may be slow and is known from the last answer only.
class UpstreamLeases {
public:
    struct Grant {
        Platform::UpstreamClock until;
        /// Time by which this lease has ended on the upstream, if it is carried out before then.
        TimePoint endsBy {};
        /// When to extend the lease if runs still need it.
        TimePoint renewAt {};
    };

    explicit UpstreamLeases(const NodeSettings& settings)
        : settings_(settings)
    {
    }

    /// Time from now by which every lease granted so far, by any owner, has expired even on the slowest allowed clock.
    static Duration maxLifetime(const NodeSettings&);

    void readClock(Platform::UpstreamClock, TimePoint readAt);
    TimePoint clockReadAt() const { return clockReadAt_; }
    /// Longest lease, at most the wanted one, that ends before the limit; zero or less if there is none.
    Duration longestWithin(TimePoint limit, Duration wanted, TimePoint now) const;
    Grant grant(Duration length, TimePoint now);
    /// The upstream has carried out a grant.
    void confirm(const Grant&);
    /// The upstream has restarted, so it holds no lease.
    void forgetConfirmed() { renewAt_ = TimePoint {}; }
    /// Earlier owners may have granted leases up to now. Returns the time by which they have ended, or an unset time if
    /// a grant of this owner covers them already.
    TimePoint inherit(TimePoint now);

    bool isRenewalDue(TimePoint now) const { return now >= renewAt_; }
    /// Time by which all leases granted so far have ended.
    TimePoint expiresAt() const { return expiresAt_; }
    bool hasExpired(TimePoint now) const { return now >= expiresAt_; }
    bool hasUnreportedExpiry(TimePoint now) const { return !expiryReported_ && hasExpired(now); }
    /// The engine knows whether the leases granted so far have expired.
    void reportExpiry(TimePoint now) { expiryReported_ = hasExpired(now); }
    bool isExpiryReported(TimePoint now) const { return expiryReported_ && hasExpired(now); }

private:
    Duration longestLifetime(Duration granted, TimePoint now) const;

    const NodeSettings& settings_;
    Platform::UpstreamClock clock_;
    TimePoint clockReadAt_ {};
    TimePoint expiresAt_ {};
    TimePoint renewAt_ {};
    bool expiryReported_ { true };
};

} // namespace Balsammill
