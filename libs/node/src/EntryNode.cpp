#include "balsammill/node/EntryNode.h"

#include "NodeContext.h"
#include "TableFollower.h"
#include "TimeBudgets.h"
#include "clients/ClientBudget.h"
#include "clients/ClientRequestHandler.h"
#include "clients/JobClient.h"
#include "clients/JobMessageCodec.h"
#include "ownership/ShardDirectory.h"
#include "ownership/ShardOwnership.h"
#include "peers/ConfigExchange.h"
#include "peers/PeerNetwork.h"

#include "balsammill/base/ProcessId.h"
#include "balsammill/http/Timer.h"
#include "balsammill/internal/shard.pb.h"
#include "platform/Documents.h"
#include "platform/JobMessages.h"
#include "platform/SettingsFile.h"

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include <algorithm>
#include <csignal>
#include <set>
#include <utility>

namespace Balsammill {

namespace {

// The platform polls readiness once a second and removes a node from rotation after two failures.
constexpr Duration rotationDelay = std::chrono::milliseconds(2500);
// Part of the shutdown time that is reserved for the answers to abandoned requests and for process exit.
constexpr Duration exitMargin = std::chrono::milliseconds(700);
// Part of the shutdown time that is reserved for process exit: the log is flushed, and processes need some time to end.
constexpr Duration processEndMargin = std::chrono::milliseconds(350);
// An idle client connection is closed by a process that is stopped once it has been idle for this long, so that one
// that was just accepted can send its request.
constexpr Duration minIdleBeforeClose = std::chrono::milliseconds(250);
// Part of the shutdown time that is reserved for releasing shards that no other entry has taken over.
constexpr Duration releaseMargin = std::chrono::milliseconds(1200);
// Minimum interval between reads of the shard table, so that renewals are read in batches.
constexpr Duration shardRecordReadDelay = std::chrono::milliseconds(30);
// While a process starts, it looks more often whether it can claim a shard.
constexpr Duration startupTickInterval = std::chrono::milliseconds(10);
constexpr Duration maxStartupPeriod = std::chrono::seconds(1);
// Time allowed for flushing the log at exit; the log is written every 100 ms.
constexpr Duration logFlushTimeout = std::chrono::milliseconds(200);

Incarnation newIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return Incarnation(
        static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count()));
}

const char* nameOf(CloseReason reason)
{
    switch (reason) {
    case CloseReason::Refused:
        return "closed_by_peer";
    case CloseReason::Unresponsive:
        return "unresponsive";
    case CloseReason::Closed:
        break;
    }
    return "closed";
}

} // namespace

struct EntryNode::Detail {
    NodeOptions options;
    boost::asio::io_context loop { 1 };
    StructuredLog log;
    Metrics metrics;
    NodeContext context;
    Platform::Store store;
    PeerNetwork peers;
    ShardDirectory directory;
    TableFollower operatorRows;
    TableFollower shardRows;
    ShardOwnership ownership;
    ConfigExchange configuration;
    JobClient jobs;
    ClientRequestHandler front;
    HttpServer clientServer;
    HttpServer readinessServer;
    HttpServer metricsServer;
    boost::asio::signal_set signals;
    Timer tick;
    TimePoint startedAt { monotonicNow() };
    TimePoint statusAt {};
    TimePoint drainingSince {};
    bool draining { false };
    bool accepting { true };
    bool ready { false };

    Detail(const NodeSettings& settings, const NodeOptions& nodeOptions)
        : options(nodeOptions)
        , log({ .vm = settings.vm.value,
              .linesPerSecond = options.logLinesPerSecond,
              .sampleOneIn = options.logSampleOneIn })
        , context { .loop = loop,
            .settings = settings,
            .incarnation = newIncarnation(),
            .log = log,
            .metrics = metrics }
        , store(loop,
              { .address = settings.storeAddress,
                  .observer = [this](Platform::StoreCall call, Platform::StoreStatus status,
                                  Duration took) { recordStoreCall(call, status, took); },
                  .extendsReadsWhileReceiving = true })
        , peers(loop,
              { .listen = settings.peerListen,
                  .self = { .vm = settings.vm, .incarnation = context.incarnation },
                  .domain = settings.domain,
                  .capacity = capacityOf(settings) },
              { .message = [this](PeerLink& from, const auto& message) { handlePeerMessage(from, message); },
                  .closed = [this](PeerLink& link) { handlePeerClosed(link); } })
        , operatorRows(loop, store, Platform::operatorTable, Duration::zero(),
              { .changed =
                      [this](const Platform::Row& row) {
                          if (row.key == Platform::configurationKey)
                              configuration.handleStored(row.value);
                          else if (const auto domain = Platform::evacuatedDomain(row.key))
                              startEvacuation(*domain);
                      },
                  .removed =
                      [this](const std::string& key) {
                          if (const auto domain = Platform::evacuatedDomain(key))
                              endEvacuation(*domain);
                      },
                  .availabilityChanged
                  = [this](bool available, const std::string& reason) { logStoreAvailability(available, reason); } })
        , shardRows(loop, store, ShardDirectory::table, shardRecordReadDelay,
              { .changed =
                      [this](const Platform::Row& row) {
                          if (!directory.apply(row, monotonicNow()))
                              context.reportBadRecord(
                                  "shard.bad_record", ShardDirectory::table, { { "key", row.key } });
                          else if (row.key != ShardDirectory::layoutKey)
                              handleShardChange(Shards::ShardName(row.key));
                      },
                  .removed = [this](const std::string& key) { directory.remove(key); },
                  .availabilityChanged = [](bool, const std::string&) {} })
        , ownership(context, store, peers, directory, shardRows,
              { .answer = [this](const Submitter& to, const OwnerAnswer& answer) { answerSubmitter(to, answer); },
                  .moved = [this](const Submitter& to, const Shards::ShardName& shard,
                               const ShardLocation& owner) { notifyMoved(to, shard, owner); },
                  .holdsRequest = [this](std::uint64_t number) { return jobs.holds(RequestNumber(number)); } })
        , configuration(
              context, [this](const std::shared_ptr<const QueueTable>& queues) { applyConfiguration(queues); })
        , jobs(context, peers, directory, ownership)
        , front(context, jobs)
        , clientServer(loop, settings.clientListen,
              [this](const HttpRequest& request, const std::shared_ptr<HttpExchange>& exchange) {
                  front.handle(request, exchange);
              })
        , readinessServer(loop, settings.readinessListen,
              [this](const HttpRequest&, const std::shared_ptr<HttpExchange>& exchange) {
                  exchange->respond({ .status = ready ? 200U : 503U, .fields = {}, .body = {} });
              })
        , metricsServer(loop, settings.metricsListen,
              [this](const HttpRequest&, const std::shared_ptr<HttpExchange>& exchange) { respondMetrics(*exchange); })
        , signals(loop, SIGTERM, SIGINT, SIGHUP)
        , tick(loop)
    {
        clientServer.setBudget(clientBudget(settings), [this](HttpBudgetLimit limit) { front.handleLimit(limit); });
        readinessServer.setBudget(internalBudget());
        metricsServer.setBudget(internalBudget());
        operatorRows.start();
        shardRows.start();
        waitForSignal();
        scheduleTick();
        log.event("process.started",
            { { "failure_domain", settings.domain.value }, { "incarnation", context.incarnation.value },
                { "clients", settings.clientListen.value }, { "peers", settings.peerListen.value } });
        logExceededBudgets();
    }

    void handleShardChange(const Shards::ShardName& name)
    {
        ownership.handleRecordChange(name);
        jobs.advance(monotonicNow());
    }

    void startEvacuation(const FailureDomain& domain)
    {
        // The row was written after the table was last current. Half of the bound is left for the answers of the store
        // and for tasks that are being started. Before the table has been loaded, the row may be of any age.
        const auto noStartsFrom
            = operatorRows.loaded() ? operatorRows.currentAt() + context.settings.evacuationBound / 2 : TimePoint {};
        if (!context.evacuations.start(domain, noStartsFrom))
            return;
        const auto delay = std::max(noStartsFrom - monotonicNow(), Duration::zero());
        log.event("evacuation.started",
            { { "failure_domain", domain.value }, { "no_starts_in_ms", static_cast<std::int64_t>(toMs(delay)) } });
    }

    void endEvacuation(const FailureDomain& domain)
    {
        if (context.evacuations.end(domain))
            log.event("evacuation.ended", { { "failure_domain", domain.value } });
    }

    void recordStoreCall(Platform::StoreCall call, Platform::StoreStatus status, Duration took)
    {
        const auto kind = "kind=\"" + std::string(nameOf(call)) + "\"";
        metrics.add("balsammill_store_calls_total", kind + ",outcome=\"" + std::string(nameOf(status)) + "\"");
        // The duration of a long poll for changes does not measure the store's latency.
        if (call != Platform::StoreCall::Follow)
            metrics.observe("balsammill_store_call_ms", kind, toMs(took));
    }

    void logStoreAvailability(bool available, const std::string& reason)
    {
        if (available)
            log.event("store.regained", {});
        else
            log.event("store.lost", { { "reason", reason } });
    }

    void applyConfiguration(const std::shared_ptr<const QueueTable>& queues)
    {
        const auto& limits = queues->config().limits;
        clientServer.setLimits({ .maxHeaderBytes = limits.maxHeaderBytes,
            .maxBodyBytes = limits.maxBodyBytes,
            .requestTimeout = limits.headerTimeout,
            .idleTimeout = limits.idleTimeout });
        front.setQueues(queues);
    }

    void handlePeerMessage(PeerLink& from, const balsammill::internal::ShardPeerMessage& message)
    {
        if (message.has_submit())
            handleSubmit(from, message.submit());
        else if (message.has_query())
            handleQuery(from, message.query());
        else if (message.has_answer())
            jobs.handleAnswer(RequestNumber(message.answer().submission()), decodeAnswer(message.answer()));
        else if (message.has_hand_over())
            ownership.handleHandOver(from, decodeHandOver(message.hand_over(), monotonicNow()));
        else if (message.has_moved())
            jobs.handleMoved(RequestNumber(message.moved().submission()), Shards::ShardName(message.moved().shard()),
                { .address = NetworkAddress(message.moved().owner_address()),
                    .epoch = Epoch(message.moved().epoch()) });
        else if (message.has_confirm())
            ownership.confirm(from, Shards::ShardName(message.confirm().shard()), message.confirm().submission(),
                responder(from, message.confirm().submission()));
        else if (message.has_cancel())
            ownership.cancel({ .peer = from.peer(), .number = message.cancel().submission() });
        else if (message.has_status())
            handleStatus(from, message.status());
        else if (message.has_take_over())
            ownership.handleTakeOver(
                from, Shards::ShardName(message.take_over().shard()), Epoch(message.take_over().epoch()));
        else if (message.has_taken())
            ownership.handleTaken(from, Shards::ShardName(message.taken().shard()), Epoch(message.taken().epoch()),
                NetworkAddress(message.taken().address()));
        else if (message.has_config_request())
            configuration.handleRequest(from, message.config_request());
        else if (message.has_config_copy())
            configuration.handleCopy(from, message.config_copy());
    }

    void handleSubmit(PeerLink& from, const balsammill::internal::SubmitShardJob& submit)
    {
        const auto respond = responder(from, submit.submission());
        auto* server = ownership.serverOf(Shards::ShardName(submit.shard()));
        if (server == nullptr) {
            respond({ .kind = OwnerAnswer::Kind::NotOwner });
            return;
        }
        server->submit({ .peer = from.peer(), .number = submit.submission() }, &from, decodeJob(submit.job()),
            Duration(submit.age_us()), Duration(submit.patience_us()), submit.may_redirect(), respond);
    }

    void handleQuery(PeerLink& from, const balsammill::internal::QueryShardJob& query)
    {
        const auto respond = responder(from, query.submission());
        auto* server = ownership.serverOf(Shards::ShardName(query.shard()));
        if (server == nullptr)
            respond({ .kind = OwnerAnswer::Kind::NotOwner });
        else if (query.cancel())
            server->cancelJob(JobId(query.job()), respond);
        else
            server->query(JobId(query.job()), respond);
    }

    // Another connection with the same entry may have gone silent, so the answer goes back on this one if it is open.
    OwnerAnswerCallback responder(PeerLink& from, std::uint64_t number)
    {
        return [this, weak = from.weak_from_this(), to = Submitter { .peer = from.peer(), .number = number }](
                   const OwnerAnswer& answer) {
            if (const auto link = weak.lock(); link && link->open())
                sendAnswer(*link, to.number, answer);
            else
                answerSubmitter(to, answer);
        };
    }

    static void sendAnswer(PeerLink& link, std::uint64_t number, const OwnerAnswer& answer)
    {
        balsammill::internal::ShardPeerMessage message;
        encodeAnswer(answer, *message.mutable_answer());
        message.mutable_answer()->set_submission(number);
        link.send(message);
    }

    void answerSubmitter(const Submitter& to, const OwnerAnswer& answer)
    {
        if (to.peer.vm.empty()) {
            boost::asio::post(
                loop, [this, number = to.number, answer] { jobs.handleAnswer(RequestNumber(number), answer); });
            return;
        }
        // An entry without a connection already treats the submission as lost, or will once it learns of the new owner.
        const auto link = peers.linkOf(to.peer);
        if (!link) {
            metrics.add("balsammill_answers_undelivered_total");
            return;
        }
        sendAnswer(*link, to.number, answer);
    }

    void notifyMoved(const Submitter& to, const Shards::ShardName& shard, const ShardLocation& owner)
    {
        if (to.peer == PeerId { .vm = context.settings.vm, .incarnation = context.incarnation }) {
            jobs.handleMoved(RequestNumber(to.number), shard, owner);
            return;
        }
        const auto link = peers.linkOf(to.peer);
        if (!link)
            return;
        balsammill::internal::ShardPeerMessage message;
        auto* moved = message.mutable_moved();
        moved->set_submission(to.number);
        moved->set_shard(shard.value);
        moved->set_owner_address(owner.address.value);
        moved->set_epoch(owner.epoch.value);
        link->send(message);
    }

    void handleStatus(PeerLink& from, const balsammill::internal::OwnerStatus& status)
    {
        const auto now = monotonicNow();
        from.setLeaving(status.leaving());
        for (const auto& shard : status.shards()) {
            ShardStatus update { .freeMilliCores = shard.free_milli_cores(),
                .waitingJobs = shard.waiting_jobs(),
                .epoch = Epoch(shard.epoch()),
                .reportedAt = now };
            if (shard.jobs_known()) {
                auto& counts = update.waitingByQueue.emplace();
                for (const auto& row : shard.waiting_by_queue())
                    counts[Shards::QueueName(row.queue())] = row.jobs();
            }
            directory.updateStatus(Shards::ShardName(shard.shard()), update);
        }
        // An owner starts a task on an upstream with a full lease only if the confirmation is younger than the clients'
        // resend delay less that lease.
        if (context.stall.isSettled(now))
            jobs.confirmSubmissions(from);
        configuration.handleVersion(from, ConfigVersion(status.config_version()));
    }

    void handlePeerClosed(const PeerLink& link)
    {
        const auto now = monotonicNow();
        if (!link.peer().vm.empty())
            log.event("peer.lost",
                { { "peer", link.peer().vm.value }, { "inbound", link.inbound() ? "yes" : "no" },
                    { "reason", nameOf(link.closeReason()) },
                    { "received_ms_ago", static_cast<std::int64_t>(toMs(now - link.lastReceivedAt())) },
                    { "confirmed_ms_ago", static_cast<std::int64_t>(toMs(now - link.confirmedAt())) } });
        ownership.handlePeerClosed(link);
        configuration.handlePeerClosed(link);
        jobs.handlePeerClosed(link);
    }

    void sendStatus(TimePoint now, bool immediately)
    {
        const bool owner = !ownership.ownsNothing();
        if (!immediately && now - statusAt < (owner ? ownerStatusInterval : heartbeatInterval))
            return;
        // A status confirms that the clients of this process still wait, so the ends of their connections have to be
        // read first.
        if (!context.stall.isSettled(now))
            return;
        statusAt = now;
        balsammill::internal::ShardPeerMessage message;
        auto* status = message.mutable_status();
        status->set_config_version(configuration.version().value);
        status->set_leaving(draining);
        for (const auto& [name, server] : ownership.servers()) {
            const auto load = server->load();
            const auto waitingByQueue = server->waitingByQueue();
            directory.updateStatus(name,
                { .freeMilliCores = load.freeMilliCores,
                    .waitingJobs = load.waitingJobs,
                    .waitingByQueue = waitingByQueue,
                    .epoch = server->epoch(),
                    .reportedAt = now });
            auto* out = status->add_shards();
            out->set_shard(name.value);
            out->set_epoch(server->epoch().value);
            out->set_free_milli_cores(load.freeMilliCores);
            out->set_capacity_milli_cores(load.capacityMilliCores);
            out->set_waiting_jobs(load.waitingJobs);
            out->set_jobs_known(waitingByQueue.has_value());
            if (!waitingByQueue)
                continue;
            for (const auto& [queue, waiting] : *waitingByQueue) {
                auto* row = out->add_waiting_by_queue();
                row->set_queue(queue.value);
                row->set_jobs(waiting);
            }
        }
        peers.sendToAll(message);
    }

    void respondMetrics(HttpExchange& exchange)
    {
        metrics.set(
            "balsammill_peer_bytes_sent", R"(to="own_domain")", static_cast<double>(peers.sentBytes().ownDomain));
        metrics.set(
            "balsammill_peer_bytes_sent", R"(to="other_domains")", static_cast<double>(peers.sentBytes().otherDomains));
        metrics.set("balsammill_open_requests", {}, static_cast<double>(clientServer.openRequests()));
        metrics.set("balsammill_buffered_bytes", {}, static_cast<double>(clientServer.bufferedBytes()));
        metrics.set("balsammill_open_connections", {}, static_cast<double>(clientServer.openConnections()));
        metrics.set("balsammill_config_version", {}, static_cast<double>(configuration.version().value));
        metrics.set("balsammill_loop_lag_ms", {}, toMs(context.loopLag.lastLag()));
        metrics.set("balsammill_evacuated_domains", {}, static_cast<double>(context.evacuations.size()));
        metrics.set("balsammill_log_lines_dropped", {}, static_cast<double>(log.droppedLines()));
        for (const auto& [name, server] : ownership.servers()) {
            const auto load = server->load();
            const auto shardLabel = "shard=\"" + name.value + "\"";
            metrics.set("balsammill_shard_waiting_jobs", shardLabel, load.waitingJobs);
            metrics.set("balsammill_shard_running_tasks", shardLabel, load.runningTasks);
            metrics.set("balsammill_shard_free_millicores", shardLabel, static_cast<double>(load.freeMilliCores));
            metrics.set("balsammill_shard_usable_upstreams", shardLabel, load.usableUpstreams);
            metrics.set("balsammill_cold_upstreams", shardLabel, load.coldUpstreams);
        }
        exchange.respond(
            { .status = 200, .fields = {}, .body = metrics.exposition(), .contentType = "text/plain; version=0.0.4" });
    }

    // True until the store's tables have been read, if that takes no longer than usual.
    bool starting() const
    {
        return monotonicNow() < startedAt + maxStartupPeriod && !(configuration.queues() && shardRows.loaded());
    }

    void scheduleTick()
    {
        tick.expires_after(starting() ? startupTickInterval : tickInterval);
        tick.async_wait([this](const boost::system::error_code& error) {
            if (error)
                return;
            noteTick();
            advance();
            scheduleTick();
        });
    }

    void noteTick()
    {
        const bool wasOverloaded = context.loopLag.isOverloaded();
        context.loopLag.noteTick(tick.expiry(), monotonicNow());
        const bool overloaded = context.loopLag.isOverloaded();
        if (overloaded != wasOverloaded)
            log.event("process.overloaded", { { "overloaded", overloaded ? "yes" : "no" } });
    }

    void advance()
    {
        const auto now = monotonicNow();
        if (const auto gap = context.stall.noteProgress(now); gap > Duration::zero())
            log.event("process.stalled", { { "ms", static_cast<std::int64_t>(toMs(gap)) } });
        if (operatorRows.loaded())
            context.evacuations.setKnown();
        peers.advance(now);
        ownership.advance(now);
        jobs.advance(now);
        front.advance(now);
        sendStatus(now, false);
        const bool nowReady = configuration.queues() && !draining && jobs.canServe();
        if (nowReady != ready) {
            ready = nowReady;
            log.event("readiness.changed", { { "ready", ready ? "yes" : "no" } });
        }
        if (draining)
            finishDraining(now);
    }

    void waitForSignal()
    {
        signals.async_wait([this](const boost::system::error_code& error, int signal) {
            if (error)
                return;
            if (signal == SIGHUP)
                reloadSettings();
            else if (!draining)
                beginDraining();
            waitForSignal();
        });
    }

    void logExceededBudgets()
    {
        for (const auto& budget : exceededBudgets(context.settings))
            log.event("settings.time_budget",
                { { "setting", budget.setting }, { "available_ms", static_cast<std::int64_t>(toMs(budget.available)) },
                    { "needed_ms", static_cast<std::int64_t>(toMs(budget.needed)) } });
    }

    void reloadSettings()
    {
        try {
            const auto fresh = Platform::readSettingsFile(options.settingsPath);
            // Listening addresses are already bound and change only when the process restarts.
            context.settings.processorShare = fresh.processorShare;
            context.settings.maxLease = fresh.maxLease;
            context.settings.stopGrace = fresh.stopGrace;
            context.settings.shutdownGrace = fresh.shutdownGrace;
            context.settings.clientResendDelay = fresh.clientResendDelay;
            context.settings.evacuationBound = fresh.evacuationBound;
            log.event("settings.reloaded", {});
            logExceededBudgets();
        } catch (const std::exception& error) {
            log.event("settings.rejected", { { "reason", error.what() } });
        }
    }

    void beginDraining()
    {
        draining = true;
        ready = false;
        drainingSince = monotonicNow();
        log.event("process.draining", { { "open_requests", std::uint64_t { clientServer.openRequests() } } });
        clientServer.drain();
        front.stopAt(drainingSince + context.settings.shutdownGrace - exitMargin);
        ownership.leave(drainingSince + context.settings.shutdownGrace - releaseMargin);
        sendStatus(drainingSince, true);
    }

    void finishDraining(TimePoint now)
    {
        const auto abandonAt = drainingSince + context.settings.shutdownGrace - exitMargin;
        const auto endAt = drainingSince + context.settings.shutdownGrace - processEndMargin;
        if (now >= abandonAt && jobs.openRequests() > 0) {
            log.event("process.abandons_requests", { { "requests", std::uint64_t { jobs.openRequests() } } });
            jobs.abandonAll();
        }
        if (now < std::min(drainingSince + rotationDelay, abandonAt))
            return;
        clientServer.closeIdle(now - minIdleBeforeClose);
        if (now < endAt && !isQuiet(now >= abandonAt))
            return;
        // The connections that were established until now are served first.
        if (now < endAt && std::exchange(accepting, false)) {
            clientServer.stopAccepting();
            return;
        }
        loop.stop();
    }

    // True if no client and no entry waits for anything from this process.
    bool isQuiet(bool mayKeepShards) const
    {
        return clientServer.isQuiet() && (mayKeepShards || ownership.ownsNothing()) && !peers.hasPendingBytes();
    }
};

EntryNode::EntryNode(const NodeSettings& settings, const NodeOptions& options)
    : detail_(std::make_unique<Detail>(settings, options))
{
}

EntryNode::~EntryNode() = default;

int EntryNode::run()
{
    detail_->loop.run();
    const auto unanswered = detail_->clientServer.openRequests();
    detail_->log.event("process.stopped", { { "unanswered_requests", std::uint64_t { unanswered } } });
    detail_->log.flush(monotonicNow() + logFlushTimeout);
    return unanswered == 0 ? 0 : 1;
}

} // namespace Balsammill
