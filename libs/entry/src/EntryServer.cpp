#include "balsammill/entry/EntryServer.h"

#include "balsammill/entry/ConfigService.h"
#include "balsammill/entry/Dispatcher.h"
#include "balsammill/entry/JobService.h"
#include "balsammill/entry/OperatorService.h"
#include "balsammill/entry/RequestPath.h"
#include "balsammill/entry/TaskForwarding.h"
#include "balsammill/internal/peer.pb.h"
#include "balsammill/observe/Metrics.h"
#include "balsammill/observe/Timeline.h"
#include "balsammill/peer/PeerTransport.h"
#include "balsammill/platform/PlatformClient.h"
#include "balsammill/rpc/ConnectServer.h"
#include "balsammill/v1/operator.pb.h"
#include "control/ControlLoop.h"
#include "control/StateReport.h"

#include <Poco/Random.h>
#include <Poco/Timestamp.h>

#include <algorithm>
#include <atomic>
#include <thread>

namespace Balsammill {

namespace {

// Heartbeats inform the other entries within 200 ms that this one is leaving; 1 s also covers lost heartbeats and the
// load balancer's reaction time.
constexpr Duration leavePropagationTime = std::chrono::seconds(1);
// The transport sends answers to forwarded tasks asynchronously; this delay lets it empty its queue.
constexpr Duration answerFlushTime = std::chrono::milliseconds(100);

// Start time in microseconds, followed by eight random bits that distinguish two starts in the same microsecond.
Incarnation newIncarnation()
{
    Poco::Random random;
    random.seed();
    return Incarnation(
        (static_cast<std::uint64_t>(Poco::Timestamp().epochMicroseconds()) << 8U) | (random.next() & 0xffU));
}

// The timeline identifies a call by this id; the incarnation distinguishes successive processes on the same VM.
std::string callIdPrefix(const ProcessId& self)
{
    constexpr std::uint64_t shortIncarnation = 1'000'000'000;
    return "call-" + self.vm.value + "-" + std::to_string((self.incarnation.value >> 8U) % shortIncarnation) + "-";
}

// The configured peer address with the actual port, which differs if port 0 was configured.
NetworkAddress peerAddress(const EntryOptions& options, std::uint16_t port)
{
    const auto& configured = options.peerAddress.value;
    return NetworkAddress(configured.substr(0, configured.rfind(':') + 1) + std::to_string(port));
}

} // namespace

struct EntryServer::Detail {
    Detail(EntryOptions settings, const PlatformClient&);

    void handlePeerMessage(const ProcessId& sender, const balsammill::internal::PeerMessage&);
    PageAnswer readiness() const;
    PageAnswer metricsPage();
    void publishMetrics();

    EntryOptions options;
    ProcessId self;
    Timeline timeline;
    Metrics metrics;
    std::atomic<bool> draining { false };
    RcuCell<MemberView> members;
    const PlatformClient& platform;
    PeerTransport transport;
    Dispatcher dispatcher;
    ConfigService config;
    JobService jobs;
    TaskForwarding forwarding;
    ControlLoop control;
    RequestPath requestPath;
    OperatorService operators;
    ConnectServer callerServer;
    ConnectServer operatorServer;
};

EntryServer::Detail::Detail(EntryOptions settings, const PlatformClient& platformClient)
    : options(std::move(settings))
    , self { options.vm, newIncarnation() }
    , timeline(options.timelineCapacity)
    , members(std::make_shared<const MemberView>(
          MemberView { .self = self, .ownDomain = options.failureDomain, .members = {} }))
    , platform(platformClient)
    , transport({ .self = self,
          .deployment = options.deployment,
          .secret = options.peerSecret,
          .listenAddress = options.peerAddress,
          .handler = [this](const ProcessId& sender, const auto& message) { handlePeerMessage(sender, message); } })
    , dispatcher({ .scheduler = { .order = options.queueOrder, .choice = options.upstreamChoice },
          .pool = {},
          .maxExecutorThreads = options.maxExecutorThreads,
          .timeline = &timeline,
          .metrics = &metrics })
    , config({ .platform = platform,
          .members = members,
          .timeline = timeline,
          .send = [this](const VmName& to, const auto& message) { return transport.send(to, message); },
          .adopted = [this](const ActiveConfig&) { control.configChanged(); } })
    , jobs({ .self = self,
               .domain = options.failureDomain,
               .platform = &platform,
               .send = [this](const VmName& to, const auto& message) { return transport.send(to, message); },
               .timeline = &timeline,
               .metrics = &metrics,
               .historyRetention = options.historyRetention,
               .orphanTimeout = options.jobOrphanTimeout },
          dispatcher, config.active(), members)
    , forwarding({ .self = self,
                     .send = [this](const VmName& to, const auto& message) { return transport.send(to, message); } },
          dispatcher, config.active(), members)
    , control({ .settings = options,
          .self = self,
          .members = members,
          .platform = platform,
          .config = config,
          .dispatcher = dispatcher,
          .jobs = jobs,
          .forwarding = forwarding,
          .transport = transport,
          .timeline = timeline,
          .metrics = metrics })
    , requestPath({ .config = config.active(),
          .members = members,
          .dispatcher = dispatcher,
          .jobs = jobs,
          .timeline = timeline,
          .metrics = metrics,
          .callIdPrefix = callIdPrefix(self) })
    , operators({ .self = self,
          .token = options.operatorToken,
          .config = config,
          .timeline = timeline,
          .state
          = [this] { return Balsammill::Detail::reportState(self, config, *members.load(), dispatcher, jobs); } })
    , callerServer({ .listenAddress = options.callerAddress,
          .maxConnections = options.maxConnections,
          .drainVerdict = RequestPath::verdictOfRefusal,
          .handler = [this](const RpcRequest& request) { return requestPath.handle(request); },
          .pages = { { "/healthz", [] { return PageAnswer { .body = "ok\n" }; } },
              { "/readyz", [this] { return readiness(); } } } })
    , operatorServer({ .listenAddress = options.operatorAddress,
          .maxConnections = 64,
          .handler = [this](const RpcRequest& request) { return operators.handle(request); },
          .pages = { { "/metrics", [this] { return metricsPage(); } },
              { "/healthz", [] { return PageAnswer { .body = "ok\n" }; } } } })
{
}

void EntryServer::Detail::handlePeerMessage(const ProcessId& sender, const balsammill::internal::PeerMessage& message)
{
    using balsammill::internal::PeerMessage;
    switch (message.body_case()) {
    case PeerMessage::kHeartbeat:
        control.handleHeartbeat(sender, message.heartbeat());
        return;
    case PeerMessage::kConfigPush:
    case PeerMessage::kConfigFetch:
        config.handlePeerMessage(sender, message);
        return;
    case PeerMessage::kForwardTask:
    case PeerMessage::kTaskDone:
    case PeerMessage::kRevokeTask:
    case PeerMessage::kRevoked:
        forwarding.handlePeerMessage(sender, message);
        return;
    default:
        jobs.handlePeerMessage(sender, message);
    }
}

PageAnswer EntryServer::Detail::readiness() const
{
    if (draining.load() || members.load()->selfLeaving)
        return { .status = 503, .body = "draining\n" };
    if (!config.active().load())
        return { .status = 503, .body = "no configuration\n" };
    if (!control.isReady())
        return { .status = 503, .body = "no upstreams assigned yet\n" };
    return { .body = "ready\n" };
}

PageAnswer EntryServer::Detail::metricsPage()
{
    publishMetrics();
    return { .contentType = "text/plain; version=0.0.4; charset=utf-8", .body = metrics.exposition() };
}

void EntryServer::Detail::publishMetrics()
{
    const auto counters = transport.counters();
    metrics.set("balsammill_peer_sent_bytes", "", static_cast<double>(counters.sentBytes));
    metrics.set("balsammill_peer_sent_messages", "", static_cast<double>(counters.sent));
    metrics.set("balsammill_peer_received_messages", "", static_cast<double>(counters.received));
    metrics.set("balsammill_peer_received_bytes", "", static_cast<double>(counters.receivedBytes));
    metrics.set("balsammill_config_version", "", static_cast<double>(config.version().value));
    for (const auto& [reason, count] : { std::pair { "malformed", counters.droppedMalformed },
             std::pair { "digest", counters.droppedDigest }, std::pair { "deployment", counters.droppedDeployment },
             std::pair { "version", counters.droppedVersion }, std::pair { "replay", counters.droppedReplay },
             std::pair { "incarnation", counters.droppedOldIncarnation } })
        metrics.set(
            "balsammill_peer_dropped_messages", std::string("reason=\"") + reason + "\"", static_cast<double>(count));
    for (const auto& service : dispatcher.services()) {
        const auto load = dispatcher.load(service);
        const auto label = "service=\"" + service.value + "\"";
        metrics.set("balsammill_queued_tasks", label, load.queuedTasks);
        metrics.set("balsammill_running_tasks", label, load.runningTasks);
        metrics.set("balsammill_free_slots", label, load.freeSlots);
    }
}

EntryServer::EntryServer(EntryOptions options, const PlatformClient& platform)
{
    validate(options);
    detail_ = std::make_unique<Detail>(std::move(options), platform);
}

EntryServer::~EntryServer() = default;

EntryPorts EntryServer::start()
{
    auto& d = *detail_;
    d.dispatcher.setForwarder([&d](const DispatchTask& task, const DispatchCompletion& completion) {
        return d.forwarding.forward(task, completion);
    });
    d.dispatcher.start();
    d.transport.start();
    d.jobs.start();
    d.control.start(peerAddress(d.options, d.transport.port()));
    d.callerServer.start();
    d.operatorServer.start();
    d.timeline.record(
        EventKind::Lifecycle, d.self.vm.value, "started, incarnation " + std::to_string(d.self.incarnation.value));
    logInfo(LogComponent::Main, "incarnation " + std::to_string(d.self.incarnation.value) + " started");
    return { .caller = d.callerServer.port(), .operators = d.operatorServer.port(), .peer = d.transport.port() };
}

bool EntryServer::shutDown()
{
    auto& d = *detail_;
    const auto deadline = monotonicNow() + d.options.shutdownTimeout;
    d.timeline.record(EventKind::Lifecycle, d.self.vm.value, "draining");
    const auto leavePropagatedAt = monotonicNow() + leavePropagationTime;
    d.draining = true;
    d.control.setLeaving();
    d.callerServer.beginDrain();

    bool complete = d.callerServer.waitUntilIdle(deadline);
    if (!complete)
        logError(LogComponent::Main,
            std::to_string(d.callerServer.requestsInFlight())
                + " caller requests still in flight at the shutdown deadline");
    // Tasks forwarded by other entries and jobs submitted to other entries have no caller connection to this process,
    // so callerServer does not wait for them.
    if (!d.dispatcher.waitUntilIdle(deadline)) {
        complete = false;
        logError(LogComponent::Main,
            std::to_string(d.dispatcher.unfinishedTasks()) + " tasks unfinished at the shutdown deadline");
    }
    if (!d.jobs.handOverShards(deadline)) {
        complete = false;
        logError(LogComponent::Main, "shards not handed over before the shutdown deadline");
    }
    // Callers and entries that have not been informed yet still send work; it is refused or finished.
    std::this_thread::sleep_until(std::min(leavePropagatedAt, deadline));
    // Work may arrive while the last answers are being sent, so the process ends only once it was idle all that time.
    bool idle = false;
    do {
        d.callerServer.waitUntilIdle(deadline);
        d.dispatcher.waitUntilIdle(deadline);
        std::this_thread::sleep_for(answerFlushTime);
        idle = d.callerServer.requestsInFlight() == 0 && d.dispatcher.unfinishedTasks() == 0;
    } while (!idle && monotonicNow() < deadline);
    if (!idle) {
        complete = false;
        logError(LogComponent::Main,
            std::to_string(d.dispatcher.unfinishedTasks()) + " tasks and "
                + std::to_string(d.callerServer.requestsInFlight())
                + " caller requests received during shutdown are unfinished at the deadline");
    }
    d.operatorServer.stop();
    d.callerServer.stop();
    d.control.stop();
    d.jobs.stop();
    d.transport.stop();
    d.dispatcher.stop();
    logInfo(LogComponent::Main, complete ? "stopped" : "stopped with unfinished work");
    return complete;
}

} // namespace Balsammill
