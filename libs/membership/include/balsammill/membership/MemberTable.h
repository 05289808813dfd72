#pragma once

#include "balsammill/membership/MemberView.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Balsammill {

/// An entry VM in the platform's list of entries.
struct ListedEntry {
    VmName vm;
    FailureDomain failureDomain;
    NetworkAddress peerAddress;
    bool leaving { false };
};

/// Content of a heartbeat: the state of its sender.
struct HeartbeatUpdate {
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
    /// A member without heartbeats counts as removed when this many consecutive lists lack it. One list is not enough
    /// because rows may be missing temporarily.
    int missingListsBeforeRemoval { 2 };
};

/// Combines the platform's list of entries with heartbeats. Not thread-safe; the caller passes the current time.
///
/// The list determines which members exist, and heartbeats determine which are alive: a member that still sends
/// heartbeats is kept even if the list lacks it, and a listed member is not alive before its first heartbeat.
class MemberTable {
public:
    explicit MemberTable(MemberTableOptions);

    /// Returns the number of rows that were ignored because they lack a name or domain or repeat a name. A list without
    /// valid rows is ignored altogether, since a correct list contains at least this process.
    std::size_t applyList(const std::vector<ListedEntry>&, TimePoint now);
    /// Returns false and ignores the heartbeat if its sender is this VM or an earlier incarnation of a member.
    bool applyHeartbeat(const HeartbeatUpdate&, TimePoint now);
    /// Sets the VMs that the operator drains according to the configuration in force.
    void setDrained(std::set<VmName>);
    void setSelfLeaving(bool leaving) { selfLeaving_ = leaving; }
    /// Called after this process was paused from `from` to `until`. Since heartbeats may have been missed, a member
    /// that was not dead before the pause is treated as if its latest heartbeat came no earlier than suspectAfter
    /// before `until`: the pause may make it suspect, but not dead. This process becomes suspect itself.
    void recordPause(TimePoint from, TimePoint until);
    /// Clears the suspect state of this process.
    void clearSelfSuspicion() { selfSuspect_ = false; }

    MemberView view(TimePoint now) const;
    /// Known addresses of all members, dead ones included because they may come back.
    std::map<VmName, NetworkAddress> peerAddresses() const;

private:
    struct Entry {
        Incarnation incarnation;
        FailureDomain failureDomain;
        NetworkAddress address;
        ConfigVersion configVersion;
        std::vector<ReportedLoad> loads;
        /// Time of the latest heartbeat, or of the first listing if none has been received yet. recordPause() may move
        /// it forward.
        TimePoint lastHeartbeatAt;
        bool receivedHeartbeat { false };
        bool listed { false };
        bool leavingByList { false };
        bool leavingByHeartbeat { false };
        int missingLists { 0 };
    };

    std::size_t mergeRows(const std::vector<ListedEntry>&, std::map<VmName, ListedEntry>& merged) const;
    void applyRow(const ListedEntry&, TimePoint now);
    void markMissing(const std::map<VmName, ListedEntry>& listed, TimePoint now);
    bool isRemoved(const Entry&) const;
    Duration heartbeatTimeout(const Entry&) const;
    Liveness livenessOf(const Entry&, TimePoint now) const;

    MemberTableOptions options_;
    std::map<VmName, Entry> entries_;
    std::set<VmName> drained_;
    bool selfLeaving_ { false };
    bool selfLeavingByList_ { false };
    bool selfSuspect_ { false };
};

} // namespace Balsammill
