#pragma once

#include "balsammill/base/StrongId.h"
#include "balsammill/base/Units.h"

#include <map>
#include <optional>

namespace Balsammill {

/// Failure domains on whose upstreams the operator wants no more tasks to be started.
class EvacuationTable {
public:
    /// An evacuation that is requested again keeps the earlier time. Returns false if the domain was evacuated already.
    bool start(const FailureDomain&, TimePoint noStartsFrom);
    /// Returns false if the domain was not evacuated.
    bool end(const FailureDomain&);
    /// The time from which no task may be started in the domain; empty if it is not evacuated.
    std::optional<TimePoint> noStartsFrom(const FailureDomain&) const;
    bool contains(const FailureDomain& domain) const { return domains_.contains(domain); }
    std::size_t size() const { return domains_.size(); }
    /// False until the operator's requests have been read for the first time.
    bool isKnown() const { return known_; }
    void setKnown() { known_ = true; }

private:
    std::map<FailureDomain, TimePoint> domains_;
    bool known_ { false };
};

} // namespace Balsammill
