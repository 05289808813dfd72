#include "balsammill/membership/HeartbeatSchedule.h"
#include "balsammill/membership/UpstreamAssignment.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

using namespace Balsammill;
using std::chrono::milliseconds;

namespace {

const TimePoint start { std::chrono::seconds(1000) };

MemberView viewOf(const std::string& self, const std::vector<std::string>& names, const std::string& domain = "own")
{
    MemberView view;
    view.self.vm = VmName(self);
    view.ownDomain = FailureDomain("own");
    for (const auto& name : names) {
        if (name == self)
            continue;
        Member member;
        member.id.vm = VmName(name);
        member.failureDomain = FailureDomain(domain);
        member.liveness = Liveness::Alive;
        view.members.push_back(member);
    }
    return view;
}

std::vector<VmName> upstreams()
{
    std::vector<VmName> names;
    for (int i = 0; i < 600; ++i)
        names.emplace_back("upstream-" + std::to_string(i));
    return names;
}

} // namespace

// Guards against heartbeat traffic that grows with the square of the number of entries, and against a rotation that
// omits a member. A dead member of the own domain gets heartbeats as well.
TEST_CASE("Entries of the own domain get every heartbeat, and those of another domain get heartbeats in turn")
{
    auto view = viewOf("a", { "a", "b", "c" });
    for (const auto* name : { "x", "y", "z" })
        view.members.push_back(viewOf("a", { name }, "far").members.front());
    view.members[0].liveness = Liveness::Dead;
    HeartbeatSchedule schedule;
    std::map<std::string, int> counts;
    for (int i = 0; i < 6; ++i) {
        const auto now = start + i * milliseconds(200);
        const auto receivers = schedule.due(view, now);
        CHECK(receivers.size() == 3);
        CHECK(schedule.due(view, now + milliseconds(199)).empty());
        for (const auto& receiver : receivers)
            ++counts[receiver.value];
    }
    CHECK(counts == std::map<std::string, int> { { "b", 6 }, { "c", 6 }, { "x", 2 }, { "y", 2 }, { "z", 2 } });
}

// Guards against an interval that grows by the delay of each tick, and against a burst of heartbeats after a pause.
TEST_CASE("Late ticks do not delay the following heartbeats, and missed heartbeats are not sent later")
{
    const auto view = viewOf("a", { "b" });
    HeartbeatSchedule schedule;
    CHECK(schedule.due(view, start).size() == 1);
    CHECK(schedule.due(view, start + milliseconds(240)).size() == 1);
    CHECK(schedule.due(view, start + milliseconds(400)).size() == 1);
    CHECK(schedule.due(view, start + milliseconds(5000)).size() == 1);
    CHECK(schedule.due(view, start + milliseconds(5100)).empty());
    CHECK(schedule.due(view, start + milliseconds(5200)).size() == 1);
}

// Guards against upstreams without an owner or with two, and against an uneven distribution.
TEST_CASE("Every upstream has exactly one owner and the shares are similar")
{
    const std::vector<std::string> entries { "e1", "e2", "e3" };
    std::map<std::string, int> owners;
    for (const auto& entry : entries) {
        const auto owned = ownedUpstreams(upstreams(), viewOf(entry, entries));
        CHECK(owned.size() > 160);
        CHECK(owned.size() < 240);
        for (const auto& upstream : owned)
            ++owners[upstream.value];
    }
    CHECK(owners.size() == 600);
    CHECK(std::all_of(owners.begin(), owners.end(), [](const auto& item) { return item.second == 1; }));
}

// Guards against reassigning the upstreams of all entries when one entry fails or leaves.
TEST_CASE("A suspect entry keeps its upstreams, and only those of a dead or leaving one move")
{
    const std::vector<std::string> entries { "e1", "e2", "e3" };
    const auto before = ownedUpstreams(upstreams(), viewOf("e1", entries));
    auto view = viewOf("e1", entries);
    view.members[0].liveness = Liveness::Suspect;
    CHECK(ownedUpstreams(upstreams(), view) == before);
    view.members[0].liveness = Liveness::Dead;
    const auto afterDeath = ownedUpstreams(upstreams(), view);
    CHECK(afterDeath.size() > before.size());
    CHECK(std::includes(
        afterDeath.begin(), afterDeath.end(), before.begin(), before.end(), [](const auto& first, const auto& second) {
            const auto number = [](const VmName& name) { return std::stoi(name.value.substr(9)); };
            return number(first) < number(second);
        }));
    view.members[0].liveness = Liveness::Alive;
    view.members[0].leaving = true;
    CHECK(ownedUpstreams(upstreams(), view) == afterDeath);
}

// Guards against a leaving process that keeps upstreams which another entry could take over, and against one that
// gives up its upstreams while no other entry can run its queue.
TEST_CASE("A leaving process owns upstreams only if no other entry can")
{
    auto view = viewOf("e1", { "e1", "e2" });
    view.selfLeaving = true;
    CHECK(ownedUpstreams(upstreams(), view).empty());
    view.members[0].liveness = Liveness::Dead;
    CHECK(ownedUpstreams(upstreams(), view).size() == 600);
}
