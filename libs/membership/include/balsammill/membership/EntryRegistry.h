#pragma once

#include "balsammill/membership/MemberTable.h"

#include <map>
#include <string>
#include <vector>

namespace Balsammill {

/// A row that an entry wrote about itself, as it was read.
struct EntryRegistration {
    ListedEntry entry;
    /// Changes whenever the entry renews its row.
    std::string version;
};

/// Which entries are registered. Rows never expire by themselves, so a row that its entry has stopped renewing counts
/// as gone after a while. Not thread-safe; holds no clock.
class EntryRegistry {
public:
    /// Renewals come every two seconds, and an outage of the store may swallow several.
    static constexpr Duration expiry = std::chrono::seconds(15);

    /// Adopts what was read; rows that are missing now are forgotten.
    void apply(const std::vector<EntryRegistration>&, TimePoint now);
    std::vector<ListedEntry> listed(TimePoint now) const;

private:
    struct Known {
        ListedEntry entry;
        std::string version;
        TimePoint changedAt {};
    };
    std::map<VmName, Known> known_;
};

} // namespace Balsammill
