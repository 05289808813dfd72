#include "balsammill/membership/MemberTable.h"
#include "balsammill/membership/PauseDetector.h"

#include <doctest/doctest.h>

using namespace Balsammill;
using std::chrono::milliseconds;

namespace {

const TimePoint start { std::chrono::seconds(1000) };

MemberTable tableOf()
{
    return MemberTable({ .self = { VmName("self"), Incarnation(1) }, .ownDomain = FailureDomain("Omaruru") });
}

ListedEntry row(const std::string& vm, const std::string& domain = "Omaruru", bool leaving = false)
{
    return { VmName(vm), FailureDomain(domain), NetworkAddress("10.0.0.1:" + vm), leaving };
}

HeartbeatUpdate heartbeat(
    const std::string& vm, std::uint64_t incarnation = 5, const std::string& domain = "Omaruru", bool leaving = false)
{
    return { { VmName(vm), Incarnation(incarnation) }, FailureDomain(domain), ConfigVersion(3), leaving, {} };
}

Member memberOf(const MemberTable& table, const std::string& vm, TimePoint now)
{
    for (const auto& member : table.view(now).members) {
        if (member.id.vm.value == vm)
            return member;
    }
    FAIL("not a member: " << vm);
    return {};
}

Liveness livenessOf(const MemberTable& table, const std::string& vm, TimePoint now)
{
    return memberOf(table, vm, now).liveness;
}

} // namespace

// Guards against a failover that happens too early, too late or never.
TEST_CASE("A member of the own domain without heartbeats is suspect after 600 ms and dead after 1,500 ms")
{
    auto table = tableOf();
    table.applyList({ row("self"), row("a") }, start);
    CHECK(livenessOf(table, "a", start) == Liveness::Suspect);
    table.applyHeartbeat(heartbeat("a"), start);
    CHECK(livenessOf(table, "a", start + milliseconds(599)) == Liveness::Alive);
    CHECK(livenessOf(table, "a", start + milliseconds(600)) == Liveness::Suspect);
    CHECK(livenessOf(table, "a", start + milliseconds(1499)) == Liveness::Suspect);
    CHECK(livenessOf(table, "a", start + milliseconds(1500)) == Liveness::Dead);
    table.applyHeartbeat(heartbeat("a"), start + milliseconds(1600));
    CHECK(livenessOf(table, "a", start + milliseconds(1600)) == Liveness::Alive);
}

// Guards against treating the entries on the other side of a network partition as dead.
TEST_CASE("A member of another domain without heartbeats is unreachable, and dead only after two lists lack it")
{
    auto table = tableOf();
    table.applyList({ row("self"), row("k", "Karibib") }, start);
    CHECK(livenessOf(table, "k", start) == Liveness::Unreachable);
    table.applyHeartbeat(heartbeat("k", 5, "Karibib"), start);
    CHECK(livenessOf(table, "k", start + milliseconds(1000)) == Liveness::Alive);
    const auto later = start + std::chrono::minutes(10);
    CHECK(livenessOf(table, "k", later) == Liveness::Unreachable);
    table.applyList({ row("self") }, start + std::chrono::seconds(5));
    CHECK(livenessOf(table, "k", start + std::chrono::seconds(5)) == Liveness::Unreachable);
    table.applyList({ row("self") }, start + std::chrono::seconds(6));
    CHECK(livenessOf(table, "k", start + std::chrono::seconds(6)) == Liveness::Dead);
    table.applyList({ row("self") }, later);
    CHECK(table.view(later).members.empty());
}

// Guards against a list with missing or outdated rows that removes a member which is alive.
TEST_CASE("A member that sends heartbeats is kept even if the list lacks it")
{
    auto table = tableOf();
    table.applyHeartbeat(heartbeat("new"), start);
    CHECK(livenessOf(table, "new", start) == Liveness::Alive);
    table.applyList({ row("self"), row("a") }, start);
    table.applyHeartbeat(heartbeat("a"), start);
    for (int i = 1; i <= 4; ++i)
        table.applyList({ row("self") }, start + milliseconds(i));
    CHECK(livenessOf(table, "a", start + milliseconds(10)) == Liveness::Alive);
    CHECK(table.peerAddresses().contains(VmName("a")));
    table.applyList({}, start + milliseconds(20));
    CHECK(table.view(start + milliseconds(20)).members.size() == 2);
}

// Guards against rows of one VM that contradict each other, and against rows without a name or domain.
TEST_CASE("Incomplete and contradicting rows are ignored and counted")
{
    auto table = tableOf();
    table.applyList({ row("self"), row("a") }, start);
    auto moved = row("a", "Omaruru", true);
    moved.peerAddress = NetworkAddress("10.0.0.9:1");
    CHECK(table.applyList({ row("self"), row(""), row("b", ""), moved, row("a") }, start) == 3);
    const auto member = memberOf(table, "a", start);
    CHECK(member.peerAddress == row("a").peerAddress);
    CHECK(member.leaving);
    CHECK(table.view(start).members.size() == 1);
    // The domain in a member's heartbeat takes precedence over the one in the list.
    table.applyHeartbeat(heartbeat("a"), start);
    table.applyList({ row("self"), row("a", "Usakos") }, start);
    CHECK(memberOf(table, "a", start).failureDomain.value == "Omaruru");
}

// Guards against delayed heartbeats of an earlier incarnation, and against a restarted process that keeps the state of
// its predecessor.
TEST_CASE("A higher incarnation replaces a lower one and a lower one is ignored")
{
    auto table = tableOf();
    CHECK(table.applyHeartbeat(heartbeat("a", 5, "Omaruru", true), start));
    CHECK(memberOf(table, "a", start).leaving);
    CHECK(table.applyHeartbeat(heartbeat("a", 6), start));
    CHECK_FALSE(table.applyHeartbeat(heartbeat("a", 5, "Omaruru", true), start + milliseconds(1)));
    CHECK_FALSE(table.applyHeartbeat(heartbeat("self", 9), start));
    const auto member = memberOf(table, "a", start);
    CHECK(member.id.incarnation.value == 6);
    CHECK_FALSE(member.leaving);
}

// Guards against new work for a VM that is leaving according to only one of the three sources.
TEST_CASE("The list, the heartbeat or the operator can each mark a VM as leaving")
{
    auto table = tableOf();
    table.applyList({ row("self"), row("a", "Omaruru", true), row("b"), row("c"), row("d") }, start);
    table.applyHeartbeat(heartbeat("a"), start);
    table.applyHeartbeat(heartbeat("b", 5, "Omaruru", true), start);
    table.setDrained({ VmName("c") });
    CHECK(memberOf(table, "a", start).leaving);
    CHECK(memberOf(table, "b", start).leaving);
    CHECK(memberOf(table, "c", start).leaving);
    CHECK_FALSE(memberOf(table, "d", start).leaving);
    CHECK_FALSE(table.view(start).selfLeaving);
    table.setDrained({ VmName("self") });
    CHECK(table.view(start).selfLeaving);
    CHECK_FALSE(memberOf(table, "c", start).leaving);
}

// Guards against a process that resumes after a pause, has received no heartbeats meanwhile, and takes over the shards
// and upstreams of members that are alive.
TEST_CASE("After a pause members are suspect, not dead, and the process suspects itself")
{
    auto table = tableOf();
    PauseDetector detector;
    table.applyHeartbeat(heartbeat("a"), start);
    table.applyHeartbeat(heartbeat("dead"), start - std::chrono::seconds(10));
    CHECK_FALSE(detector.tick(start).has_value());
    CHECK_FALSE(detector.tick(start + std::chrono::seconds(1)).has_value());
    const auto end = start + std::chrono::seconds(9);
    const auto pause = detector.tick(end);
    REQUIRE(pause.has_value());
    CHECK(pause->from == start + std::chrono::seconds(1));
    table.recordPause(pause->from, pause->until);
    CHECK(livenessOf(table, "a", end) == Liveness::Suspect);
    CHECK(livenessOf(table, "dead", end) == Liveness::Dead);
    CHECK(livenessOf(table, "a", end + milliseconds(900)) == Liveness::Dead);
    CHECK(table.view(end).selfSuspect);
    table.clearSelfSuspicion();
    CHECK_FALSE(table.view(end).selfSuspect);
}
