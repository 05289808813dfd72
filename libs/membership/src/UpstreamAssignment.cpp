#include "balsammill/membership/UpstreamAssignment.h"

#include "RendezvousHash.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace Balsammill {

namespace {

struct Owners {
    /// All known entries of the domain, regardless of liveness.
    std::vector<VmName> listed;
    /// Entries that can own upstreams at present.
    std::vector<VmName> live;
};

Owners candidateOwners(const MemberView& view)
{
    Owners owners { .listed = { view.self.vm }, .live = {} };
    for (const auto& member : view.members) {
        if (member.failureDomain != view.ownDomain)
            continue;
        owners.listed.push_back(member.id.vm);
        const bool isLive = member.liveness == Liveness::Alive || member.liveness == Liveness::Suspect;
        if (isLive && !member.leaving)
            owners.live.push_back(member.id.vm);
    }
    if (!view.selfLeaving || owners.live.empty())
        owners.live.push_back(view.self.vm);
    return owners;
}

/// A possible assignment of an upstream to an owner, with its rendezvous hash as weight.
struct Pairing {
    std::uint64_t weight;
    const VmName* upstream;
    const VmName* owner;
};

// Equal weights are ordered by name, so that every process computes the same order.
bool isHeavier(const Pairing& left, const Pairing& right)
{
    return std::tie(left.weight, *left.upstream, *left.owner) > std::tie(right.weight, *right.upstream, *right.owner);
}

std::vector<Pairing> pairingsByWeight(const std::vector<VmName>& upstreams, const std::vector<VmName>& owners)
{
    std::vector<Pairing> pairings;
    for (const auto& upstream : upstreams) {
        for (const auto& owner : owners)
            pairings.push_back({ Detail::rendezvousHash(upstream, owner), &upstream, &owner });
    }
    std::sort(pairings.begin(), pairings.end(), isHeavier);
    return pairings;
}

using OwnedByEntry = std::map<VmName, std::vector<VmName>>;

/// Assigns each upstream to an owner so that the numbers of upstreams of two owners differ by one at most. Pairings are
/// accepted in descending order of weight while their owner is below its equal share; the remainder of the division
/// allows some owners one more.
void distribute(const std::vector<VmName>& upstreams, const std::vector<VmName>& owners, OwnedByEntry& owned)
{
    std::size_t total = upstreams.size();
    for (const auto& owner : owners)
        total += owned[owner].size();
    const auto share = total / owners.size();
    auto remainder = total % owners.size();
    for (const auto& owner : owners)
        remainder -= owned[owner].size() > share ? 1 : 0;

    std::set<VmName> assigned;
    for (const auto& pairing : pairingsByWeight(upstreams, owners)) {
        auto& list = owned[*pairing.owner];
        const bool needsRemainder = list.size() == share;
        if (list.size() > share || (needsRemainder && remainder == 0) || !assigned.insert(*pairing.upstream).second)
            continue;
        remainder -= needsRemainder ? 1 : 0;
        list.push_back(*pairing.upstream);
    }
}

} // namespace

// Plain rendezvous hashing left some entries without any upstream while others had several, hence the equal shares.
// The upstreams are first distributed over all known entries; then only those assigned to dead or leaving entries are
// redistributed, so that live entries keep their upstreams.
std::vector<VmName> ownedUpstreams(const std::vector<VmName>& upstreams, const MemberView& view)
{
    const auto owners = candidateOwners(view);
    OwnedByEntry owned;
    distribute(upstreams, owners.listed, owned);
    std::vector<VmName> orphans;
    for (auto& [owner, list] : owned) {
        if (std::find(owners.live.begin(), owners.live.end(), owner) == owners.live.end())
            orphans.insert(orphans.end(), list.begin(), list.end());
    }
    distribute(orphans, owners.live, owned);

    const auto& own = owned[view.self.vm];
    const bool selfIsLive = std::find(owners.live.begin(), owners.live.end(), view.self.vm) != owners.live.end();
    const std::set<VmName> ownNames(own.begin(), own.end());
    std::vector<VmName> result;
    std::copy_if(upstreams.begin(), upstreams.end(), std::back_inserter(result),
        [&](const VmName& upstream) { return selfIsLive && ownNames.contains(upstream); });
    return result;
}

} // namespace Balsammill
