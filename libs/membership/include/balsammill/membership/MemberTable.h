#pragma once

#include "balsammill/membership/MemberView.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Balsammill {

/// An entry VM as the platform's list shows it.
struct ListedEntry {
    VmName vm;
    FailureDomain failureDomain;
    NetworkAddress peerAddress;
    bool leaving { false };
};

/// What a heartbeat says about its sender.
struct HeartbeatNews {
    ProcessId sender;
    FailureDomain failureDomain;
    ConfigVersion configVersion;
    bool leaving { false };
    std::vector<ReportedLoad> loads;
};

struct MemberTableOptions {
    ProcessId self;
    FailureDomain ownDomain;
    Duration heartbeatInterval { std::chrono::milliseconds(200) };
    Duration suspectAfter { std::chrono::milliseconds(600) };
    Duration deadAfter { std::chrono::milliseconds(1500) };
    /// A silent member counts as removed when it is missing from this many lists in a row, because the list may flap.
    int missingListsBeforeRemoval { 2 };
};

/// Merges the platform's list with heartbeats. Not thread-safe; holds no clock.
///
/// The list decides which members may exist, heartbeats decide which are alive: a member that still sends heartbeats is
/// kept even if the list lacks it, and a listed one is not alive before its first heartbeat.
class MemberTable {
public:
    explicit MemberTable(MemberTableOptions);

    /// Returns the number of rows that were ignored: without a name or domain, or repeating a name. An empty list is
    /// ignored altogether, since it would at least have to contain this process.
    std::size_t applyList(const std::vector<ListedEntry>&, TimePoint now);
    /// False if the sender is this VM or an earlier incarnation; the news is then ignored.
    bool applyHeartbeat(const HeartbeatNews&, TimePoint now);
    /// VMs that the operator drains, by the configuration in force.
    void setDrained(std::set<VmName>);
    void setSelfLeaving(bool leaving) { selfLeaving_ = leaving; }
    /// To be called after this process was paused from the one time to the other. Members that were not dead before
    /// become suspect, since their heartbeats may have been missed, and this process suspects itself.
    void notePause(TimePoint from, TimePoint until);
    /// Ends the suspicion of this process against itself.
    void confirmSelf() { selfSuspect_ = false; }

    MemberView view(TimePoint now) const;
    /// Addresses of all members that may be alive or come back.
    std::map<VmName, NetworkAddress> peerAddresses() const;

private:
    struct Entry {
        Incarnation incarnation;
        FailureDomain failureDomain;
        NetworkAddress address;
        ConfigVersion configVersion;
        std::vector<ReportedLoad> loads;
        /// Time of the latest heartbeat; before the first one, the time at which the member was first listed.
        TimePoint heardAt;
        bool heard { false };
        bool listed { false };
        bool leavingByList { false };
        bool leavingByHeartbeat { false };
        int missingLists { 0 };
    };

    std::size_t mergeRows(const std::vector<ListedEntry>&, std::map<VmName, ListedEntry>& merged) const;
    void applyRow(const ListedEntry&, TimePoint now);
    void noteMissing(const std::map<VmName, ListedEntry>& listed, TimePoint now);
    bool isRemoved(const Entry&) const;
    Duration silenceLimit(const Entry&) const;
    Liveness livenessOf(const Entry&, TimePoint now) const;

    MemberTableOptions options_;
    std::map<VmName, Entry> entries_;
    std::set<VmName> drained_;
    bool selfLeaving_ { false };
    bool selfLeavingByList_ { false };
    bool selfSuspect_ { false };
};

} // namespace Balsammill
