#include "ControlLoop.h"

#include "balsammill/base/Log.h"
#include "balsammill/entry/ConfigService.h"
#include "balsammill/entry/Dispatcher.h"
#include "balsammill/entry/JobService.h"
#include "balsammill/entry/TaskForwarding.h"
#include "balsammill/internal/peer.pb.h"
#include "balsammill/membership/UpstreamAssignment.h"
#include "balsammill/observe/Metrics.h"
#include "balsammill/observe/Timeline.h"
#include "balsammill/peer/PeerTransport.h"
#include "balsammill/v1/config.pb.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace Balsammill {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(50);
// Work must be moved off a VM within 3 s after the platform's list marks it as leaving; polling every second leaves
// time for a slow answer.
constexpr Duration platformPollInterval = std::chrono::seconds(1);
// Equals the time for which a silent member of the same failure domain is still considered possibly alive.
constexpr Duration settlingTime = std::chrono::milliseconds(1500);

// Heartbeats that were buffered in a socket while this process was paused may be stale, so heartbeats do not count as
// current until this long after the pause.
constexpr Duration staleHeartbeatWindow = std::chrono::milliseconds(600);

std::string describe(const Member& member)
{
    static constexpr std::array names { "alive", "suspect", "dead", "unreachable" };
    return std::string(names.at(static_cast<std::size_t>(member.liveness))) + (member.leaving ? ", leaving" : "");
}

const Member* find(const MemberView& view, const VmName& vm)
{
    const auto found = std::find_if(
        view.members.begin(), view.members.end(), [&](const Member& member) { return member.id.vm == vm; });
    return found == view.members.end() ? nullptr : &*found;
}

bool sameStatus(const Member& left, const Member& right)
{
    return left.id == right.id && left.liveness == right.liveness && left.leaving == right.leaving
        && left.peerAddress == right.peerAddress;
}

bool sameStatus(const MemberView& left, const MemberView& right)
{
    return left.selfSuspect == right.selfSuspect && left.selfLeaving == right.selfLeaving
        && std::equal(left.members.begin(), left.members.end(), right.members.begin(), right.members.end(),
            [](const Member& a, const Member& b) { return sameStatus(a, b); });
}

std::set<VmName> drainedVms(const ConfigService& config)
{
    std::set<VmName> drained;
    if (const auto active = config.active().load()) {
        for (const auto& vm : active->content->drained_vms())
            drained.insert(VmName(vm));
    }
    return drained;
}

} // namespace

ControlLoop::ControlLoop(const ControlLoopOptions& options)
    : options_(options)
    , table_({ .self = options.self, .ownDomain = options.settings.failureDomain })
{
}

ControlLoop::~ControlLoop() { stop(); }

void ControlLoop::start(const NetworkAddress& peerAddress)
{
    tickThread_ = std::thread([this] { runTicks(); });
    platformThread_ = std::thread([this, peerAddress] {
        EntryRegistrar registrar(options_.platform,
            { .self = options_.self, .failureDomain = options_.settings.failureDomain, .peerAddress = peerAddress });
        runPlatformPolling(registrar);
    });
}

void ControlLoop::stop()
{
    {
        std::lock_guard lock(stopMutex_);
        stopping_ = true;
    }
    stopCondition_.notify_all();
    for (auto* thread : { &tickThread_, &platformThread_ }) {
        if (thread->joinable())
            thread->join();
    }
}

bool ControlLoop::waitOrStop(Duration duration)
{
    std::unique_lock lock(stopMutex_);
    return stopCondition_.wait_for(lock, duration, [this] { return stopping_; });
}

void ControlLoop::setLeaving() { leaving_ = true; }

void ControlLoop::configChanged()
{
    std::lock_guard lock(mutex_);
    table_.setDrained(drainedVms(options_.config));
    assignmentDue_ = true;
}

void ControlLoop::runTicks()
{
    while (!waitOrStop(tickInterval))
        tick(monotonicNow());
}

void ControlLoop::runPlatformPolling(EntryRegistrar& registrar)
{
    do {
        const auto begin = monotonicNow();
        options_.config.refresh();
        const auto entries = registrar.refresh();
        auto upstreams = options_.platform.listUpstreams();
        if (auto* listed = std::get_if<std::vector<ListedUpstream>>(&upstreams); entries && listed != nullptr)
            applyLists(*entries, std::move(*listed), begin);
    } while (!waitOrStop(platformPollInterval));
}

void ControlLoop::applyLists(
    const std::vector<ListedEntry>& entries, std::vector<ListedUpstream> upstreams, TimePoint requestedAt)
{
    std::erase_if(upstreams,
        [this](const ListedUpstream& upstream) { return upstream.failureDomain != options_.settings.failureDomain; });
    std::lock_guard lock(mutex_);
    // A valid list contains at least this process, so an empty one is a platform fault.
    if (entries.empty())
        return;
    table_.applyList(entries, monotonicNow());
    upstreams_ = std::move(upstreams);
    if (!settledAt_)
        settledAt_ = monotonicNow() + settlingTime;
    assignmentDue_ = true;
    if (pausedUntil_ && requestedAt > *pausedUntil_) {
        pausedUntil_.reset();
        table_.clearSelfSuspicion();
    }
}

void ControlLoop::tick(TimePoint now)
{
    detectPause(now);
    connectPeers();
    const bool changed = publishView(now);
    const auto view = options_.members.load();
    if (changed)
        options_.jobs.membersChanged();
    options_.jobs.tick(now);
    options_.forwarding.tick(now);
    sendHeartbeats(*view, now);
    assignUpstreams(*view);
    updateReadiness(*view, now);
}

void ControlLoop::detectPause(TimePoint now)
{
    const auto pause = pauseDetector_.tick(now);
    if (!pause)
        return;
    const auto length = std::chrono::duration_cast<std::chrono::milliseconds>(pause->until - pause->from);
    logWarning(LogComponent::Membership, "this process was paused for " + std::to_string(length.count()) + " ms");
    std::lock_guard lock(mutex_);
    table_.recordPause(pause->from, pause->until);
    pausedUntil_ = now;
}

bool ControlLoop::publishView(TimePoint now)
{
    const auto previous = options_.members.load();
    std::shared_ptr<const MemberView> next;
    {
        std::lock_guard lock(mutex_);
        table_.setSelfLeaving(leaving_.load());
        next = std::make_shared<const MemberView>(table_.view(now));
    }
    // Storing waits for an RCU grace period, so an unchanged view is not stored.
    if (*previous == *next)
        return false;
    options_.members.store(next);
    if (sameStatus(*previous, *next))
        return false;
    reportChanges(*previous, *next);
    std::lock_guard lock(mutex_);
    assignmentDue_ = true;
    return true;
}

void ControlLoop::reportChanges(const MemberView& previous, const MemberView& next) const
{
    for (const auto& member : next.members) {
        const auto* before = find(previous, member.id.vm);
        if (before && sameStatus(*before, member))
            continue;
        logInfo(LogComponent::Membership, member.id.vm.value + " is " + describe(member));
        options_.timeline.record(EventKind::Membership, member.id.vm.value, describe(member));
    }
    for (const auto& member : previous.members) {
        if (!find(next, member.id.vm))
            logInfo(LogComponent::Membership, member.id.vm.value + " was removed from the member list");
    }
}

void ControlLoop::connectPeers()
{
    std::map<VmName, NetworkAddress> addresses;
    {
        std::lock_guard lock(mutex_);
        addresses = table_.peerAddresses();
    }
    for (auto& [vm, address] : addresses) {
        const auto replacement = options_.settings.peerOverrides.find(vm);
        if (replacement != options_.settings.peerOverrides.end())
            address = replacement->second;
    }
    options_.transport.setPeers(addresses);
}

void ControlLoop::sendHeartbeats(const MemberView& view, TimePoint now)
{
    const auto receivers = schedule_.due(view, now);
    if (receivers.empty())
        return;
    const auto message = makeHeartbeat(view.selfLeaving);
    for (const auto& receiver : receivers)
        options_.transport.send(receiver, message);
}

balsammill::internal::PeerMessage ControlLoop::makeHeartbeat(bool leaving) const
{
    balsammill::internal::PeerMessage message;
    auto& heartbeat = *message.mutable_heartbeat();
    heartbeat.set_failure_domain(options_.settings.failureDomain.value);
    heartbeat.set_config_version(options_.config.version().value);
    heartbeat.set_leaving(leaving);
    for (const auto& service : options_.dispatcher.services()) {
        const auto load = options_.dispatcher.load(service);
        auto& row = *heartbeat.add_loads();
        row.set_service(service.value);
        row.set_free_slots(load.freeSlots);
        row.set_total_slots(load.totalSlots);
        row.set_expected_wait_ms(static_cast<std::uint32_t>(load.expectedWait.count() / 1000));
    }
    return message;
}

void ControlLoop::handleHeartbeat(const ProcessId& sender, const balsammill::internal::Heartbeat& heartbeat)
{
    HeartbeatUpdate update { .sender = sender,
        .failureDomain = FailureDomain(heartbeat.failure_domain()),
        .configVersion = ConfigVersion(heartbeat.config_version()),
        .leaving = heartbeat.leaving(),
        .loads = {} };
    for (const auto& load : heartbeat.loads()) {
        update.loads.push_back({ .service = ServiceName(load.service()),
            .freeSlots = Slots(load.free_slots()),
            .totalSlots = Slots(load.total_slots()),
            .expectedWait = std::chrono::milliseconds(load.expected_wait_ms()) });
    }
    {
        std::lock_guard lock(mutex_);
        const auto now = monotonicNow();
        if (!table_.applyHeartbeat(update, now))
            return;
        if (pausedUntil_ && now > *pausedUntil_ + staleHeartbeatWindow) {
            pausedUntil_.reset();
            table_.clearSelfSuspicion();
        }
    }
    options_.config.observeVersion(sender.vm, update.configVersion);
}

void ControlLoop::assignUpstreams(const MemberView& view)
{
    std::vector<ListedUpstream> upstreams;
    {
        std::lock_guard lock(mutex_);
        if (!settledAt_ || !std::exchange(assignmentDue_, false))
            return;
        upstreams = upstreams_;
    }
    const auto active = options_.config.active().load();
    if (!active)
        return;
    const auto drained = drainedVms(options_.config);
    std::vector<VmName> names;
    for (const auto& upstream : upstreams)
        names.push_back(upstream.name);
    const auto owned = options_.settings.placement == Placement::Owned ? ownedUpstreams(names, view) : names;
    const std::set<VmName> ownedNames(owned.begin(), owned.end());

    std::map<ClientAccountName, std::uint32_t> weights;
    for (const auto& clientAccount : active->content->teams())
        weights[ClientAccountName(clientAccount.name())] = std::max(1U, clientAccount.quota_weight());
    options_.dispatcher.setClientAccountWeights(weights);
    for (const auto& service : active->content->services()) {
        std::vector<ReachableUpstream> assigned;
        for (const auto& upstream : upstreams) {
            if (upstream.label != service.upstream_label() || !ownedNames.contains(upstream.name))
                continue;
            const auto slots = service.slots_per_upstream() ? Slots(service.slots_per_upstream()) : upstream.slots;
            const bool leaving = upstream.leaving || drained.contains(upstream.name);
            assigned.push_back(
                { .spec = { .vm = upstream.name, .slots = slots, .leaving = leaving }, .address = upstream.address });
        }
        options_.dispatcher.setUpstreams(ServiceName(service.name()), assigned);
    }
    assigned_ = true;
}

// A process that has just started has not received any heartbeats and would report the homes of other domains' jobs as
// unreachable. It becomes ready once all members are alive or the settling time has passed.
void ControlLoop::updateReadiness(const MemberView& view, TimePoint now)
{
    if (ready_ || !assigned_)
        return;
    const bool allAlive = std::all_of(view.members.begin(), view.members.end(),
        [](const Member& member) { return member.liveness == Liveness::Alive; });
    std::lock_guard lock(mutex_);
    ready_ = allAlive || now >= *settledAt_;
}

} // namespace Balsammill
