#include "balsammill/membership/EntryRegistry.h"

namespace Balsammill {

void EntryRegistry::apply(const std::vector<EntryRegistration>& rows, TimePoint now)
{
    std::map<VmName, TrackedEntry> next;
    for (const auto& row : rows) {
        const auto previous = trackedEntries_.find(row.entry.vm);
        const bool renewed = previous == trackedEntries_.end() || previous->second.version != row.version;
        next[row.entry.vm]
            = { .entry = row.entry, .version = row.version, .renewedAt = renewed ? now : previous->second.renewedAt };
    }
    trackedEntries_ = std::move(next);
}

std::vector<ListedEntry> EntryRegistry::listed(TimePoint now) const
{
    std::vector<ListedEntry> entries;
    for (const auto& [vm, tracked] : trackedEntries_) {
        if (now - tracked.renewedAt < expiry)
            entries.push_back(tracked.entry);
    }
    return entries;
}

} // namespace Balsammill
