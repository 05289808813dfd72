#pragma once

#include "balsammill/membership/MemberTable.h"

#include <map>
#include <string>
#include <vector>

namespace Balsammill {

/// Registration row that an entry wrote to the store, as read back.
struct EntryRegistration {
    ListedEntry entry;
    /// Version tag of the row; changes with each renewal.
    std::string version;
};

/// Tracks which entries are registered. The store does not expire rows, so an entry that stops renewing its row is
/// dropped from the list after the expiry time. Not thread-safe; the caller passes the current time.
class EntryRegistry {
public:
    /// Entries renew their rows every two seconds; this leaves room for several renewals lost in an outage of the
    /// store.
    static constexpr Duration expiry = std::chrono::seconds(15);

    /// Replaces the known rows by those just read; rows that are no longer in the store are dropped.
    void apply(const std::vector<EntryRegistration>&, TimePoint now);
    /// Entries whose rows have been renewed within the expiry time.
    std::vector<ListedEntry> listed(TimePoint now) const;

private:
    struct TrackedEntry {
        ListedEntry entry;
        std::string version;
        TimePoint renewedAt {};
    };
    std::map<VmName, TrackedEntry> trackedEntries_;
};

} // namespace Balsammill
