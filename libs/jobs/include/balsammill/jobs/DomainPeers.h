#pragma once

#include "balsammill/membership/MemberView.h"

#include <string_view>
#include <vector>

namespace Balsammill {

/// The own failure domain's entry processes, as decisions about shards see them.
class DomainPeers {
public:
    DomainPeers() = default;
    explicit DomainPeers(const MemberView&);

    bool selfSuspect() const { return selfSuspect_; }
    bool selfLeaving() const { return selfLeaving_; }

    /// True if heartbeats arrive from this very incarnation.
    bool isAlive(const ProcessId&) const;
    bool isLeaving(const ProcessId&) const;
    /// Dead, or its incarnation is gone. A paused process can look like this too.
    bool isLost(const ProcessId&) const;
    /// No longer listed, or replaced by a later start on the same VM: this incarnation never acts again.
    bool isIncarnationGone(const ProcessId&) const;
    /// True if another entry is listed and its heartbeats are missing, so that it may act unseen.
    bool anyDead() const;
    bool allAlive() const;

    /// Alive and not leaving, ranked by rendezvous hashing for the subject.
    std::vector<ProcessId> ranked(std::string_view subject) const;
    /// True if this process ranks before every alive one.
    bool selfRanksFirst(std::string_view subject) const;

private:
    const Member* find(const VmName&) const;

    ProcessId self_;
    std::vector<Member> members_;
    bool selfSuspect_ { false };
    bool selfLeaving_ { false };
};

} // namespace Balsammill
