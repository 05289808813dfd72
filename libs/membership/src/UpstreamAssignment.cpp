#include "balsammill/membership/UpstreamAssignment.h"

#include "RendezvousHash.h"

#include <algorithm>

namespace Balsammill {

namespace {

std::vector<VmName> candidateOwners(const MemberView& view)
{
    std::vector<VmName> owners;
    for (const auto& member : view.members) {
        const bool live = member.liveness == Liveness::Alive || member.liveness == Liveness::Suspect;
        if (live && !member.leaving && member.failureDomain == view.ownDomain)
            owners.push_back(member.id.vm);
    }
    if (!view.selfLeaving || owners.empty())
        owners.push_back(view.self.vm);
    return owners;
}

VmName ownerOf(const VmName& upstream, const std::vector<VmName>& owners)
{
    // The name decides between equal weights, so that every process finds the same owner.
    return *std::max_element(owners.begin(), owners.end(), [&](const VmName& first, const VmName& second) {
        return std::pair(Detail::rendezvousHash(upstream, first), first)
            < std::pair(Detail::rendezvousHash(upstream, second), second);
    });
}

} // namespace

std::vector<VmName> ownedUpstreams(const std::vector<VmName>& upstreams, const MemberView& view)
{
    const auto owners = candidateOwners(view);
    std::vector<VmName> owned;
    std::copy_if(upstreams.begin(), upstreams.end(), std::back_inserter(owned),
        [&](const VmName& upstream) { return ownerOf(upstream, owners) == view.self.vm; });
    return owned;
}

} // namespace Balsammill
