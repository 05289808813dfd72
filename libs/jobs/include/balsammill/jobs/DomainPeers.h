#pragma once

#include "balsammill/membership/MemberView.h"

#include <string_view>
#include <vector>

namespace Balsammill {

/// Members of this process's failure domain, as used in decisions about shard ownership.
class DomainPeers {
public:
    DomainPeers() = default;
    explicit DomainPeers(const MemberView&);

    bool selfSuspect() const { return selfSuspect_; }
    bool selfLeaving() const { return selfLeaving_; }

    /// True if this incarnation sends heartbeats, or is this process itself.
    bool isAlive(const ProcessId&) const;
    bool isLeaving(const ProcessId&) const;
    /// True if the process is dead or its incarnation is gone. A paused process can be reported as lost too.
    bool isLost(const ProcessId&) const;
    /// True if the VM is no longer listed or runs a later incarnation, so that this incarnation cannot act any more.
    bool isIncarnationGone(const ProcessId&) const;
    /// True if a listed member sends no heartbeats. It may still run and write to the table.
    bool anyNotAlive() const;
    bool allAlive() const;

    /// Other members that are alive and not leaving, ordered by descending rendezvous score for the key.
    std::vector<ProcessId> ranked(std::string_view key) const;
    /// True if this process has a higher rendezvous score than every process returned by ranked().
    bool selfRanksFirst(std::string_view key) const;

private:
    const Member* find(const VmName&) const;

    ProcessId self_;
    std::vector<Member> members_;
    bool selfSuspect_ { false };
    bool selfLeaving_ { false };
};

} // namespace Balsammill
