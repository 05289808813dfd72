#include "balsammill/jobs/JobLedger.h"

#include "balsammill/internal/peer.pb.h"

#include <algorithm>
#include <utility>

namespace Balsammill {

namespace {

template <typename... Handlers> struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers> Overloaded(Handlers...) -> Overloaded<Handlers...>;

balsammill::internal::JobRecord tombstoneRecord(ShardIndex shard, const Tombstone& tombstone)
{
    static constexpr auto digits = "0123456789abcdef";
    // Only the digest of the key is stored. The prefix '#' distinguishes it from a job key, which cannot begin with
    // '#'.
    std::string key = "#";
    for (const auto byte : tombstone.key) {
        key += digits[byte >> 4U];
        key += digits[byte & 15U];
    }
    balsammill::internal::JobRecord record;
    record.set_job_key(key);
    record.set_content_digest(toBytes(tombstone.content));
    record.set_shard(shard.value);
    record.set_answer_evicted(true);
    record.mutable_result()->set_verdict(static_cast<balsammill::v1::Verdict>(static_cast<int>(tombstone.verdict) + 1));
    return record;
}

} // namespace

void JobLedger::reconcileShard(ShardIndex index, ClockReadings time)
{
    auto& shardState = shard(index);
    for (bool changed = true; changed;) {
        for (const auto& action : shardState.role.reconcile(peers_, time))
            perform(index, action, time);
        changed = shardState.role.record() != shardState.lastRecord;
        const auto previous = std::exchange(shardState.lastRecord, shardState.role.record());
        if (changed && (!previous || previous->epoch != shardState.lastRecord->epoch))
            recordChanged(index, previous, time);
    }
    if (std::exchange(shardState.lastCandidate, shardState.role.candidate()) != shardState.role.candidate())
        dropOutdatedMessages(index);
    if (!shardState.role.mayStartUnreplicated())
        return;
    for (const auto& key : std::set<JobKey>(shardState.awaitingAck))
        startJob(index, *store_.find(index, key));
}

void JobLedger::perform(ShardIndex index, const RoleAction& action, ClockReadings time)
{
    std::visit(Overloaded {
                   [&](const RequestHandover& request) {
                       balsammill::internal::PeerMessage message;
                       auto& handover = *message.mutable_shard_handover();
                       handover.set_failure_domain(options_.domain.value);
                       handover.set_shard(index.value);
                       handover.set_epoch(request.epoch.value);
                       actions_.emplace_back(SendPeer { request.to, std::move(message) });
                   },
                   [&](const OfferSnapshot& offer) { offerSnapshot(index, offer, time); },
                   [&](const ReadOwnRecord&) { actions_.emplace_back(ReadRecord { index }); },
                   [&](const WriteOwnRecord& write) {
                       actions_.emplace_back(WriteRecord { index, write.record, write.expectedTag });
                   },
               },
        action);
}

void JobLedger::recordChanged(ShardIndex index, const std::optional<ShardRecord>& previous, ClockReadings time)
{
    auto& shardState = shard(index);
    const auto& record = *shardState.role.record();
    const bool wasPrimary = previous && previous->primary == options_.self;
    const bool continued = wasPrimary && shardState.role.isPrimary() && record.epoch.value == previous->epoch.value + 1;
    if (wasPrimary && !continued)
        lostPrimary(index, time);
    if (continued)
        continuedAsPrimary(index, time);
    else if (shardState.role.isPrimary())
        becamePrimary(index, time);
    else if (record.backup != options_.self && !shardState.role.staged())
        dropUnneededRecords(index);
    dropOutdatedMessages(index);
    redirectReports(index, time);
}

void JobLedger::becamePrimary(ShardIndex index, ClockReadings time)
{
    auto& shardState = shard(index);
    for (auto& [key, job] : store_.jobs(index)) {
        if (job.phase != JobPhase::Running || started_.contains(key))
            continue;
        // The process that recorded the job may have started it and may still run, even if it is reported dead. So the
        // job is not started here; it fails after the timeout.
        shardState.inheritedJobs.insert(key);
        job.orphanAt = time.now + options_.orphanTimeout;
    }
}

void JobLedger::continuedAsPrimary(ShardIndex index, ClockReadings)
{
    auto& shardState = shard(index);
    // The new backup acknowledged these jobs as part of the snapshot, before the table named it as backup.
    if (!shardState.role.mayStartReplicated())
        return;
    for (const auto& key : std::set<JobKey>(shardState.awaitingAck))
        startJob(index, *store_.find(index, key));
}

void JobLedger::lostPrimary(ShardIndex index, ClockReadings time)
{
    auto& shardState = shard(index);
    for (const auto& key : std::set<JobKey>(shardState.awaitingAck))
        withdraw(index, key, time);
    shardState.inheritedJobs.clear();
    for (auto& [requestId, outgoing] : outgoing_) {
        if (outgoing.shard != index || outgoing.kind != MessageKind::Outcome)
            continue;
        outgoing.kind = MessageKind::Report;
        if (auto* job = store_.find(index, outgoing.key))
            answerWaiters(*job);
    }
}

void JobLedger::withdraw(ShardIndex index, const JobKey& key, ClockReadings time)
{
    auto& shardState = shard(index);
    shardState.awaitingAck.erase(key);
    auto* job = store_.find(index, key);
    if (!job || job->phase != JobPhase::AwaitingAck)
        return;
    if (!shardState.role.isPrimary()) {
        // A result with an unspecified state tells the new primary that this job will never be started.
        auto record = recordOf(index, *job);
        record.mutable_result()->set_state(balsammill::v1::JOB_STATE_UNSPECIFIED);
        sendRecord(MessageKind::Report, index, shardState.role.record()->primary, record, time);
    }
    dropWaiters(*job);
    store_.erase(index, key);
}

bool JobLedger::hasReport(const JobKey& key) const
{
    return std::any_of(outgoing_.begin(), outgoing_.end(),
        [&key](const auto& entry) { return entry.second.kind == MessageKind::Report && entry.second.key == key; });
}

void JobLedger::dropUnneededRecords(ShardIndex index)
{
    std::vector<JobKey> dropped;
    for (auto& [key, job] : store_.jobs(index)) {
        const bool needed = started_.contains(key) || (job.owner == options_.self && hasReport(key));
        if (!needed)
            dropped.push_back(key);
    }
    for (const auto& key : dropped) {
        auto& job = *store_.find(index, key);
        if (job.phase == JobPhase::Finished)
            answerWaiters(job);
        dropWaiters(job);
        store_.erase(index, key);
    }
    store_.tombstones(index).clear();
}

void JobLedger::dropOutdatedMessages(ShardIndex index)
{
    const auto& role = shard(index).role;
    const auto backup = role.isPrimary() ? role.record()->backup : std::nullopt;
    std::vector<std::uint64_t> outdated;
    for (const auto& [requestId, outgoing] : outgoing_) {
        if (outgoing.shard != index || outgoing.kind == MessageKind::Report)
            continue;
        const bool current = outgoing.to == backup && outgoing.epoch == role.epoch();
        const bool part = outgoing.kind == MessageKind::SnapshotPart;
        const bool needed = part ? outgoing.to == backup || outgoing.to == role.candidate() : current;
        if (!needed)
            outdated.push_back(requestId);
    }
    for (const auto requestId : outdated) {
        const auto& outgoing = outgoing_.at(requestId);
        auto* job = outgoing.kind == MessageKind::Outcome ? store_.find(index, outgoing.key) : nullptr;
        if (job)
            answerWaiters(*job);
        eraseOutgoing(requestId);
    }
}

void JobLedger::eraseOutgoing(std::uint64_t requestId)
{
    const auto found = outgoing_.find(requestId);
    shard(found->second.shard).unackedSnapshotParts.erase(requestId);
    outgoing_.erase(found);
}

void JobLedger::redirectReports(ShardIndex index, ClockReadings time)
{
    const auto& role = shard(index).role;
    const auto& record = *role.record();
    const auto target = role.isPrimary() ? record.backup : std::optional(record.primary);
    std::vector<std::uint64_t> obsolete;
    for (auto& [requestId, outgoing] : outgoing_) {
        if (outgoing.shard != index || outgoing.kind != MessageKind::Report)
            continue;
        if (!target) {
            obsolete.push_back(requestId);
            continue;
        }
        outgoing.to = *target;
        outgoing.epoch = record.epoch;
        outgoing.message.mutable_replicate_job()->set_epoch(record.epoch.value);
        outgoing.resendAt = time.now;
    }
    for (const auto requestId : obsolete)
        eraseOutgoing(requestId);
}

void JobLedger::offerSnapshot(ShardIndex index, const OfferSnapshot& offer, ClockReadings time)
{
    auto& shardState = shard(index);
    dropOutdatedMessages(index);
    for (const auto requestId : std::set<std::uint64_t>(shardState.unackedSnapshotParts))
        eraseOutgoing(requestId);
    balsammill::internal::ShardSnapshot part;
    part.set_epoch(offer.target.value);
    std::size_t bytes = 0;
    const auto add = [&](const balsammill::internal::JobRecord& record) {
        *part.add_records() = record;
        bytes += record.ByteSizeLong();
        if (bytes < options_.snapshotPartBytes)
            return;
        sendSnapshotPart(index, part, time);
        part.clear_records();
        bytes = 0;
    };
    for (const auto& [key, job] : store_.jobs(index))
        add(recordOf(index, job));
    for (const auto& [key, tombstone] : store_.tombstones(index))
        add(tombstoneRecord(index, tombstone));
    part.set_last(true);
    sendSnapshotPart(index, part, time);
}

void JobLedger::sendSnapshotPart(ShardIndex index, const balsammill::internal::ShardSnapshot& part, ClockReadings time)
{
    auto& shardState = shard(index);
    Outgoing outgoing { MessageKind::SnapshotPart, index, *shardState.role.candidate(), shardState.role.epoch() };
    auto& snapshot = *outgoing.message.mutable_shard_snapshot();
    snapshot = part;
    snapshot.set_failure_domain(options_.domain.value);
    snapshot.set_shard(index.value);
    if (shardState.role.historyUnknown(time)) {
        const auto until = shardState.role.record()->historyUnknownUntilMs;
        snapshot.set_history_unknown_ms(
            static_cast<std::uint64_t>(std::max<std::int64_t>(until - time.wallClockMs, 0)));
    }
    shardState.unackedSnapshotParts.insert(sendTracked(std::move(outgoing), time));
    shardState.role.candidateIncomplete();
}

void JobLedger::copyToCandidate(ShardIndex index, const balsammill::internal::JobRecord& record, ClockReadings time)
{
    const auto& role = shard(index).role;
    if (!role.candidate())
        return;
    balsammill::internal::ShardSnapshot part;
    part.set_epoch(role.epoch().value + 1);
    *part.add_records() = record;
    part.set_last(true);
    sendSnapshotPart(index, part, time);
}

std::optional<ShardRecord> JobLedger::shardRecord(ShardIndex index) const
{
    return shards_.at(index.value).role.record();
}

std::vector<ShardStatus> JobLedger::statuses() const
{
    std::vector<ShardStatus> result;
    for (std::uint32_t index = 0; index < options_.shards; ++index) {
        const auto& role = shards_[index].role;
        result.push_back(
            { ShardIndex { index }, role.record(), role.kind(), store_.jobs(ShardIndex { index }).size() });
    }
    return result;
}

std::size_t JobLedger::unfinishedJobs() const
{
    const auto unacknowledged = std::count_if(outgoing_.begin(), outgoing_.end(), [](const auto& entry) {
        return entry.second.kind == MessageKind::Outcome || entry.second.kind == MessageKind::Report;
    });
    return started_.size() + static_cast<std::size_t>(unacknowledged);
}

bool JobLedger::hasShardsToHandOver() const
{
    const auto others = peers_.ranked({});
    return std::any_of(shards_.begin(), shards_.end(), [&](const Shard& each) {
        const auto& record = each.role.record();
        if (!record)
            return false;
        if (each.role.isPrimary())
            return !others.empty();
        const auto isOther = [&record](const ProcessId& process) { return process != record->primary; };
        return record->backup == options_.self && std::any_of(others.begin(), others.end(), isOther);
    });
}

} // namespace Balsammill
