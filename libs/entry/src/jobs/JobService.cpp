#include "JobServiceDetail.h"

#include "balsammill/config/ActiveConfig.h"
#include "balsammill/jobs/HomePlacement.h"
#include "balsammill/observe/Metrics.h"

#include "balsammill/v1/operator.pb.h"

#include <thread>
#include <utility>

namespace Balsammill {

using Detail::shardsOf;

namespace {

template <typename... Handlers> struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers> Overloaded(Handlers...) -> Overloaded<Handlers...>;

ClockReadings ledgerTime()
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return { monotonicNow(), std::chrono::duration_cast<std::chrono::milliseconds>(wall).count() };
}

} // namespace

JobService::Detail::Detail(JobServiceOptions options, Dispatcher& dispatcher, const RcuCell<ActiveConfig>& config,
    const RcuCell<MemberView>& members)
    : options_(std::move(options))
    , config_(config)
    , members_(members)
    // Request ids depend on the incarnation, so that answers to an earlier process on this VM match no current request.
    , waiters_(stableHash("waiters/" + options_.self.vm.value + "/" + std::to_string(options_.self.incarnation.value)))
    , runner_(dispatcher, [this](const JobKey& key, const auto& result) { onJobEnded(key, result); })
    , table_(options_.platform, options_.domain,
          { .read =
                  [this](ShardIndex shard, const RecordRead& result) {
                      applyToLedger(
                          [&](JobLedger& each, ClockReadings time) { return each.recordRead(shard, result, time); });
                  },
              .written =
                  [this](ShardIndex shard, const RecordWrite& result) {
                      applyToLedger(
                          [&](JobLedger& each, ClockReadings time) { return each.recordWritten(shard, result, time); });
                  } })
{
}

void JobService::Detail::stop()
{
    stopping_ = true;
    waiters_.shutDown({ ErrorCode::Unavailable, "this entry is stopping", Verdict::MayHaveRun });
    table_.stop();
}

JobLedger* JobService::Detail::ledger()
{
    const auto config = config_.load();
    if (ledger_) {
        if (config && shardsOf(*config) != shards_ && shardCountLog_.allow(monotonicNow()))
            logError(LogComponent::Jobs,
                "the configuration has " + std::to_string(shardsOf(*config)) + " shards per domain, but "
                    + std::to_string(shards_) + " are in use; the number must not change");
        return ledger_.get();
    }
    const auto view = members_.load();
    if (!config || !view)
        return nullptr;
    shards_ = shardsOf(*config);
    JobLedgerOptions options { .self = options_.self,
        .domain = options_.domain,
        .shards = shards_,
        .answerBytesLimit = options_.answerBytesLimit,
        .orphanTimeout = options_.orphanTimeout };
    options.role.historyRetention = options_.historyRetention;
    ledger_ = std::make_unique<JobLedger>(options);
    return ledger_.get();
}

bool JobService::Detail::applyToLedger(const std::function<JobActions(JobLedger&, ClockReadings)>& input)
{
    JobActions actions;
    {
        std::lock_guard lock(mutex_);
        const bool created = !ledger_;
        auto* ledger = this->ledger();
        if (!ledger)
            return false;
        if (created)
            actions = ledger->memberViewChanged(*members_.load(), ledgerTime());
        auto more = input(*ledger, ledgerTime());
        std::move(more.begin(), more.end(), std::back_inserter(actions));
    }
    perform(std::move(actions));
    return true;
}

void JobService::Detail::perform(JobActions actions)
{
    for (auto& action : actions) {
        std::visit(Overloaded {
                       [this](const SendPeer& send) { options_.send(send.to.vm, send.message); },
                       [this](const StartJob& start) { startJob(start); },
                       [this](const CancelJob& cancel) { runner_.cancel(cancel.key); },
                       [this](const AnswerWaiters& answers) {
                           for (const auto waiter : answers.waiters)
                               std::visit([&](const auto& each) { answer(waiter, each); }, answers.answer);
                       },
                       [this](const RedirectWaiter& other) { redirect(other.waiter, other.primary); },
                       [this](const ReadRecord& read) { table_.submit(read); },
                       [this](const WriteRecord& write) { table_.submit(write); },
                   },
            action);
    }
}

void JobService::Detail::startJob(const StartJob& start)
{
    const auto config = config_.load();
    const auto& limits = config->content->limits();
    Duration timeout = options_.defaultJobTimeout;
    if (start.submission->timeout_ms() != 0)
        timeout = std::chrono::milliseconds(start.submission->timeout_ms());
    else if (limits.default_deadline_ms() != 0)
        timeout = std::chrono::milliseconds(limits.default_deadline_ms());
    recordEvent(EventKind::Admitted, start.submission->job_id(),
        "job of " + std::to_string(start.submission->tasks_size()) + " tasks is recorded; its tasks are queued");
    count("balsammill_jobs_started_total", {});
    runner_.run(start.key, start.submission, config, monotonicNow() + timeout);
}

void JobService::Detail::onJobEnded(const JobKey& key, const balsammill::v1::JobResult& result)
{
    const bool complete = result.state() == balsammill::v1::JOB_STATE_COMPLETE;
    recordEvent(complete ? EventKind::Answered : EventKind::Failed, result.job_id(),
        complete ? "job is complete" : "job failed: " + result.error_message());
    count("balsammill_jobs_ended_total", complete ? "result=\"complete\"" : "result=\"failed\"");
    applyToLedger([&](JobLedger& each, ClockReadings time) { return each.outcome(key, result, time); });
}

void JobService::Detail::handle(const ProcessId& sender, const balsammill::internal::PeerMessage& message)
{
    if (message.has_job_submit())
        handleSubmit(sender, message.job_submit());
    else if (message.has_job_done())
        handleDone(sender, message.job_done());
    else if (message.has_replicate_job() || message.has_replicate_ack() || message.has_shard_snapshot()
        || message.has_shard_handover())
        applyToLedger([&](JobLedger& each, ClockReadings time) { return each.peerMessage(sender, message, time); });
}

void JobService::Detail::membersChanged()
{
    const auto view = members_.load();
    if (view)
        applyToLedger([&](JobLedger& each, ClockReadings time) { return each.memberViewChanged(*view, time); });
}

void JobService::Detail::tick(TimePoint now)
{
    std::vector<ShardStatus> statuses;
    applyToLedger([&](JobLedger& each, ClockReadings time) {
        auto actions = each.tick(time);
        statuses = each.statuses();
        return actions;
    });
    recordRoles(statuses);
    repeatRelays(now);
}

// Called only by tick(), so roles_ needs no lock.
void JobService::Detail::recordRoles(const std::vector<ShardStatus>& statuses)
{
    for (const auto& status : statuses) {
        const std::pair current(status.record ? status.record->epoch : Epoch {}, status.role);
        auto& known = roles_[status.shard];
        if (known == current)
            continue;
        known = current;
        const auto text = "shard " + std::to_string(status.shard.value) + " epoch "
            + std::to_string(current.first.value) + ": " + std::string(nameOf(status.role));
        recordEvent(EventKind::Ownership, options_.self.vm.value, text);
        logDebug(LogComponent::Jobs, "role change (" + text + ")");
    }
}

void JobService::Detail::recordEvent(EventKind kind, const std::string& subject, const std::string& detail)
{
    if (options_.timeline)
        options_.timeline->record(kind, subject, detail);
}

void JobService::Detail::count(std::string_view name, std::string_view labels)
{
    if (options_.metrics)
        options_.metrics->add(name, labels, 1);
}

bool JobService::Detail::handOverShards(TimePoint deadline)
{
    constexpr auto pollInterval = std::chrono::milliseconds(20);
    for (;;) {
        {
            std::lock_guard lock(mutex_);
            if (!ledger_ || !ledger_->hasShardsToHandOver())
                return true;
        }
        if (monotonicNow() + pollInterval >= deadline || stopping_)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
}

std::size_t JobService::Detail::unfinishedJobs() const
{
    std::lock_guard lock(mutex_);
    return ledger_ ? ledger_->unfinishedJobs() : 0;
}

std::vector<balsammill::v1::ShardState> JobService::Detail::shardStates() const
{
    std::vector<ShardStatus> statuses;
    {
        std::lock_guard lock(mutex_);
        if (ledger_)
            statuses = ledger_->statuses();
    }
    std::vector<balsammill::v1::ShardState> result;
    for (const auto& status : statuses) {
        auto& state = result.emplace_back();
        state.set_failure_domain(options_.domain.value);
        state.set_shard(status.shard.value);
        state.set_role(std::string(nameOf(status.role)));
        state.set_records(static_cast<std::uint32_t>(status.records));
        if (!status.record)
            continue;
        state.set_epoch(status.record->epoch.value);
        state.set_primary(status.record->primary.vm.value);
        if (status.record->backup)
            state.set_backup(status.record->backup->vm.value);
    }
    return result;
}

JobService::JobService(JobServiceOptions options, Dispatcher& dispatcher, const RcuCell<ActiveConfig>& config,
    const RcuCell<MemberView>& members)
    : detail_(std::make_unique<Detail>(std::move(options), dispatcher, config, members))
{
}

JobService::~JobService() { detail_->stop(); }

void JobService::start() { detail_->start(); }
void JobService::stop() { detail_->stop(); }

balsammill::v1::JobResult JobService::submit(const balsammill::v1::SubmitRequest& request, TimePoint deadline)
{
    balsammill::internal::JobSubmit call;
    *call.mutable_submit() = request;
    return detail_->call(std::move(call), deadline);
}

balsammill::v1::JobResult JobService::get(const balsammill::v1::GetRequest& request, TimePoint deadline)
{
    balsammill::internal::JobSubmit call;
    *call.mutable_get() = request;
    return detail_->call(std::move(call), deadline);
}

balsammill::v1::JobResult JobService::cancel(const balsammill::v1::CancelRequest& request, TimePoint deadline)
{
    balsammill::internal::JobSubmit call;
    *call.mutable_cancel() = request;
    return detail_->call(std::move(call), deadline);
}

void JobService::handlePeerMessage(const ProcessId& sender, const balsammill::internal::PeerMessage& message)
{
    detail_->handle(sender, message);
}

void JobService::membersChanged() { detail_->membersChanged(); }
void JobService::tick(TimePoint now) { detail_->tick(now); }
bool JobService::handOverShards(TimePoint deadline) { return detail_->handOverShards(deadline); }
std::size_t JobService::unfinishedJobs() const { return detail_->unfinishedJobs(); }
std::vector<balsammill::v1::ShardState> JobService::shardStates() const { return detail_->shardStates(); }

} // namespace Balsammill
