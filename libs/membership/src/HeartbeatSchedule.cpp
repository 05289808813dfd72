#include "balsammill/membership/HeartbeatSchedule.h"

#include "RendezvousHash.h"

#include <algorithm>

namespace Balsammill {

std::vector<VmName> HeartbeatSchedule::due(const MemberView& view, TimePoint now)
{
    if (nextAt_ && now < *nextAt_)
        return {};
    // The rhythm is kept across late ticks; after a long gap, missed heartbeats are not made up for.
    nextAt_ = nextAt_ && now < *nextAt_ + interval_ ? *nextAt_ + interval_ : now + interval_;

    std::vector<VmName> receivers;
    std::map<FailureDomain, std::vector<VmName>> others;
    for (const auto& member : view.members) {
        // A dead member of the own domain is addressed as well, so that it is found again after a pause.
        if (member.failureDomain == view.ownDomain)
            receivers.push_back(member.id.vm);
        else if (member.liveness != Liveness::Dead)
            others[member.failureDomain].push_back(member.id.vm);
    }
    for (auto& [domain, members] : others)
        receivers.push_back(nextOf(domain, members, view.self.vm));
    return receivers;
}

VmName HeartbeatSchedule::nextOf(const FailureDomain& domain, const std::vector<VmName>& members, const VmName& self)
{
    auto sorted = members;
    std::sort(sorted.begin(), sorted.end());
    auto latest = latest_.find(domain);
    if (latest == latest_.end()) {
        // Senders start at different receivers, so that the heartbeats of a domain do not all reach the same entry.
        const auto start = Detail::rendezvousHash(self, VmName(domain.value)) % sorted.size();
        return latest_.emplace(domain, sorted[start]).first->second;
    }
    const auto next = std::upper_bound(sorted.begin(), sorted.end(), latest->second);
    latest->second = next == sorted.end() ? sorted.front() : *next;
    return latest->second;
}

} // namespace Balsammill
