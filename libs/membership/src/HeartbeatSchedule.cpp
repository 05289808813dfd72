#include "balsammill/membership/HeartbeatSchedule.h"

#include "RendezvousHash.h"

#include <algorithm>

namespace Balsammill {

std::vector<VmName> HeartbeatSchedule::due(const MemberView& view, TimePoint now)
{
    if (nextAt_ && now < *nextAt_)
        return {};
    // A late tick does not shift the following heartbeats. Heartbeats missed in a gap longer than the interval are not
    // sent later.
    nextAt_ = nextAt_ && now < *nextAt_ + interval_ ? *nextAt_ + interval_ : now + interval_;

    std::vector<VmName> receivers;
    std::map<FailureDomain, std::vector<VmName>> others;
    for (const auto& member : view.members) {
        // Dead members of the own domain also get heartbeats, so that both sides find each other again after a pause.
        if (member.failureDomain == view.ownDomain)
            receivers.push_back(member.id.vm);
        else if (member.liveness != Liveness::Dead)
            others[member.failureDomain].push_back(member.id.vm);
    }
    for (auto& [domain, members] : others)
        receivers.push_back(nextReceiver(domain, members, view.self.vm));
    return receivers;
}

VmName HeartbeatSchedule::nextReceiver(
    const FailureDomain& domain, const std::vector<VmName>& members, const VmName& self)
{
    auto sorted = members;
    std::sort(sorted.begin(), sorted.end());
    auto latest = latestReceivers_.find(domain);
    if (latest == latestReceivers_.end()) {
        // Each sender starts at a different receiver, so that the heartbeats of a domain are not all sent to one entry.
        const auto start = Detail::rendezvousHash(self, VmName(domain.value)) % sorted.size();
        return latestReceivers_.emplace(domain, sorted[start]).first->second;
    }
    const auto next = std::upper_bound(sorted.begin(), sorted.end(), latest->second);
    latest->second = next == sorted.end() ? sorted.front() : *next;
    return latest->second;
}

} // namespace Balsammill
