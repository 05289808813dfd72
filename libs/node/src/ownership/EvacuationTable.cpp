#include "EvacuationTable.h"

#include <algorithm>

namespace Balsammill {

bool EvacuationTable::start(const FailureDomain& domain, TimePoint noStartsFrom)
{
    const auto [entry, added] = domains_.try_emplace(domain, noStartsFrom);
    entry->second = std::min(entry->second, noStartsFrom);
    return added;
}

bool EvacuationTable::end(const FailureDomain& domain) { return domains_.erase(domain) > 0; }

std::optional<TimePoint> EvacuationTable::noStartsFrom(const FailureDomain& domain) const
{
    const auto found = domains_.find(domain);
    return found == domains_.end() ? std::nullopt : std::optional(found->second);
}

} // namespace Balsammill
