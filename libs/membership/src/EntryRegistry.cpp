#include "balsammill/membership/EntryRegistry.h"

namespace Balsammill {

void EntryRegistry::apply(const std::vector<EntryRegistration>& rows, TimePoint now)
{
    std::map<VmName, Known> next;
    for (const auto& row : rows) {
        const auto before = known_.find(row.entry.vm);
        const bool renewed = before == known_.end() || before->second.version != row.version;
        next[row.entry.vm]
            = { .entry = row.entry, .version = row.version, .changedAt = renewed ? now : before->second.changedAt };
    }
    known_ = std::move(next);
}

std::vector<ListedEntry> EntryRegistry::listed(TimePoint now) const
{
    std::vector<ListedEntry> entries;
    for (const auto& [vm, known] : known_) {
        if (now - known.changedAt < expiry)
            entries.push_back(known.entry);
    }
    return entries;
}

} // namespace Balsammill
