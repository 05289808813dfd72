#include "balsammill/membership/UpstreamAssignment.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

using namespace Balsammill;

namespace {

std::vector<VmName> makeNames(const std::string& prefix, int count)
{
    std::vector<VmName> names;
    for (int i = 0; i < count; ++i)
        names.emplace_back(prefix + std::to_string(i));
    return names;
}

MemberView viewOf(const VmName& self, const std::vector<VmName>& entries)
{
    MemberView view { .self = { self, Incarnation(1) }, .ownDomain = FailureDomain("d"), .members = {} };
    for (const auto& entry : entries) {
        if (entry != self)
            view.members.push_back({ .id = { entry, Incarnation(1) },
                .failureDomain = FailureDomain("d"),
                .peerAddress = {},
                .liveness = Liveness::Alive,
                .configVersion = {},
                .loads = {} });
    }
    return view;
}

std::map<VmName, VmName> ownersOf(const std::vector<VmName>& upstreams, const std::vector<VmName>& entries)
{
    std::map<VmName, VmName> owners;
    for (const auto& entry : entries) {
        for (const auto& upstream : ownedUpstreams(upstreams, viewOf(entry, entries)))
            CHECK_MESSAGE(owners.emplace(upstream, entry).second, upstream.value << " has two owners");
    }
    return owners;
}

} // namespace

// Guards against an entry that owns no upstream while others own several, which happens with plain rendezvous hashing.
TEST_CASE("Every upstream has one owner and the shares differ by one at most")
{
    for (const int entryCount : { 1, 2, 3, 5, 16 }) {
        for (const int upstreamCount : { 0, 1, 2, 4, 17, 87 }) {
            const auto entries = makeNames("e", entryCount);
            const auto owners = ownersOf(makeNames("u", upstreamCount), entries);
            CHECK(owners.size() == static_cast<std::size_t>(upstreamCount));
            std::map<VmName, int> counts;
            for (const auto& [upstream, owner] : owners)
                ++counts[owner];
            for (const auto& entry : entries) {
                CHECK(counts[entry] >= upstreamCount / entryCount);
                CHECK(counts[entry] <= (upstreamCount + entryCount - 1) / entryCount);
            }
        }
    }
}

// Guards against moving upstreams of live entries, whose queues already hold state about them, and against shares that
// become unequal after a failure.
TEST_CASE("The upstreams of a dead entry go to the live entries in equal shares, and no others move")
{
    const auto upstreams = makeNames("u", 87);
    const auto entries = makeNames("e", 16);
    const auto before = ownersOf(upstreams, entries);
    std::map<VmName, VmName> after;
    std::map<VmName, int> counts;
    for (const auto& entry : entries) {
        if (entry == VmName("e15"))
            continue;
        auto view = viewOf(entry, entries);
        view.members.back().liveness = Liveness::Dead;
        for (const auto& upstream : ownedUpstreams(upstreams, view)) {
            CHECK(after.emplace(upstream, entry).second);
            ++counts[entry];
        }
    }
    CHECK(after.size() == upstreams.size());
    for (const auto& [upstream, owner] : before)
        CHECK((owner == VmName("e15") || after.at(upstream) == owner));
    for (const auto& [entry, count] : counts)
        CHECK((count == 5 || count == 6));
}
