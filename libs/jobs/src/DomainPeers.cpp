#include "balsammill/jobs/DomainPeers.h"

#include "balsammill/jobs/HomePlacement.h"

#include <algorithm>

namespace Balsammill {

DomainPeers::DomainPeers(const MemberView& view)
    : self_(view.self)
    , selfSuspect_(view.selfSuspect)
    , selfLeaving_(view.selfLeaving)
{
    std::copy_if(view.members.begin(), view.members.end(), std::back_inserter(members_),
        [&view](const Member& member) { return member.failureDomain == view.ownDomain; });
}

const Member* DomainPeers::find(const VmName& vm) const
{
    const auto found
        = std::find_if(members_.begin(), members_.end(), [&vm](const Member& member) { return member.id.vm == vm; });
    return found == members_.end() ? nullptr : &*found;
}

bool DomainPeers::isAlive(const ProcessId& process) const
{
    const auto* member = find(process.vm);
    return process == self_ || (member && member->id == process && member->liveness == Liveness::Alive);
}

bool DomainPeers::isLeaving(const ProcessId& process) const
{
    const auto* member = find(process.vm);
    return process == self_ ? selfLeaving_ : member && member->id == process && member->leaving;
}

bool DomainPeers::isIncarnationGone(const ProcessId& process) const
{
    if (process.vm == self_.vm)
        return process != self_;
    const auto* member = find(process.vm);
    return !member || member->id.incarnation > process.incarnation;
}

bool DomainPeers::isLost(const ProcessId& process) const
{
    if (isIncarnationGone(process))
        return true;
    const auto* member = find(process.vm);
    return member && member->liveness == Liveness::Dead;
}

bool DomainPeers::anyNotAlive() const
{
    return std::any_of(
        members_.begin(), members_.end(), [](const Member& member) { return member.liveness != Liveness::Alive; });
}

bool DomainPeers::allAlive() const { return !anyNotAlive(); }

std::vector<ProcessId> DomainPeers::ranked(std::string_view key) const
{
    std::vector<ProcessId> result;
    for (const auto& member : members_) {
        if (member.liveness == Liveness::Alive && !member.leaving && member.id.incarnation.value != 0)
            result.push_back(member.id);
    }
    std::sort(result.begin(), result.end(), [key](const ProcessId& first, const ProcessId& second) {
        return rendezvousScore(key, first.vm.value) > rendezvousScore(key, second.vm.value);
    });
    return result;
}

bool DomainPeers::selfRanksFirst(std::string_view key) const
{
    const auto others = ranked(key);
    return others.empty() || rendezvousScore(key, self_.vm.value) > rendezvousScore(key, others.front().vm.value);
}

} // namespace Balsammill
