// Prints the heartbeat traffic of the busiest entry for several sizes of the deployment, computed from
// HeartbeatSchedule and the sizes of sealed heartbeats.

#include "balsammill/membership/HeartbeatSchedule.h"
#include "balsammill/peer/EnvelopeCodec.h"

#include <algorithm>
#include <cstdio>
#include <map>

using namespace Balsammill;

namespace {

constexpr int domainCount = 7;
constexpr int simulatedSeconds = 60;
constexpr auto stepDuration = std::chrono::milliseconds(50);
// nng prefixes each message with its length in 8 bytes. The Ethernet, IPv4 and TCP headers, with the TCP timestamp
// option, take 66 bytes of a message that fits into one segment. TCP acknowledgements are not counted.
constexpr std::size_t nngHeaderBytes = 8;
constexpr std::size_t networkHeaderBytes = 66;

/// Messages per second.
struct Traffic {
    double sent { 0 };
    double received { 0 };
};

VmName entryName(int index) { return VmName("entry-" + std::to_string(index)); }
FailureDomain domainName(int index) { return FailureDomain("domain-" + std::to_string(index % domainCount)); }

MemberView memberViewOf(int self, int entryCount)
{
    MemberView view;
    view.self = { entryName(self), Incarnation(1) };
    view.ownDomain = domainName(self);
    for (int i = 0; i < entryCount; ++i) {
        if (i == self)
            continue;
        Member member;
        member.id = { entryName(i), Incarnation(1) };
        member.failureDomain = domainName(i);
        member.liveness = Liveness::Alive;
        view.members.push_back(member);
    }
    return view;
}

/// The highest rates that any entry sends and receives.
Traffic busiestEntry(int entryCount)
{
    std::map<VmName, Traffic> traffic;
    for (int self = 0; self < entryCount; ++self) {
        const auto view = memberViewOf(self, entryCount);
        HeartbeatSchedule schedule;
        for (Duration elapsed {}; elapsed < std::chrono::seconds(simulatedSeconds); elapsed += stepDuration) {
            for (const auto& receiver : schedule.due(view, TimePoint(elapsed))) {
                traffic[view.self.vm].sent += 1.0 / simulatedSeconds;
                traffic[receiver].received += 1.0 / simulatedSeconds;
            }
        }
    }
    Traffic highest;
    for (const auto& [vm, rates] : traffic) {
        highest.sent = std::max(highest.sent, rates.sent);
        highest.received = std::max(highest.received, rates.received);
    }
    return highest;
}

std::size_t heartbeatBytes(int clientAccounts)
{
    const EnvelopeCodec codec({ .self = { VmName("entry-100"), Incarnation(1'764'840'000'000'000) },
        .deployment = "mindanao-north",
        .secret = "secret" });
    balsammill::internal::PeerMessage message;
    auto& heartbeat = *message.mutable_heartbeat();
    heartbeat.set_failure_domain("Malaybalay");
    heartbeat.set_config_version(100'000);
    auto& load = *heartbeat.add_loads();
    load.set_service("banhay.tanim.Tanim");
    load.set_free_slots(200);
    load.set_total_slots(300);
    load.set_expected_wait_ms(150);
    for (int i = 0; i < clientAccounts; ++i) {
        auto& demand = *heartbeat.add_demands();
        demand.set_team("team-" + std::to_string(i));
        demand.set_slots_in_use(200);
        demand.set_queued(2000);
    }
    heartbeat.set_wall_clock_us(1'764'840'000'000'000);
    heartbeat.set_echo_wall_clock_us(1'764'839'999'900'000);
    heartbeat.set_echo_delay_us(99'000);
    return codec.seal(VmName("entry-101"), 1'000'000, message)->size() + nngHeaderBytes;
}

} // namespace

int main()
{
    std::printf(
        "| entries | teams with demand | bytes/heartbeat | sent/s | received/s | sent KB/s | received KB/s | sent KB/s "
        "with TCP/IP headers | sent KB/s, demands in every 5th |\n|---|---|---|---|---|---|---|---|---|\n");
    const auto bytesWithoutDemands = static_cast<double>(heartbeatBytes(0));
    for (const int entries : { 3, 9, 30, 110 }) {
        const auto traffic = busiestEntry(entries);
        for (const int clientAccounts : { 0, 2, 21 }) {
            const auto bytes = static_cast<double>(heartbeatBytes(clientAccounts));
            const auto bytesOnAverage = (bytes + 4 * bytesWithoutDemands) / 5;
            std::printf("| %d | %d | %.0f | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f |\n", entries, clientAccounts,
                bytes, traffic.sent, traffic.received, traffic.sent * bytes / 1000, traffic.received * bytes / 1000,
                traffic.sent * (bytes + networkHeaderBytes) / 1000, traffic.sent * bytesOnAverage / 1000);
        }
    }
}
