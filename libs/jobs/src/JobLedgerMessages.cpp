#include "balsammill/jobs/JobLedger.h"

#include "balsammill/internal/peer.pb.h"

#include <charconv>
#include <utility>

namespace Balsammill {

namespace {

using balsammill::internal::JobRecord;

enum class RecordState {
    Running,
    Finished,
    Withdrawn,
};

RecordState stateOf(const JobRecord& record)
{
    switch (record.result().state()) {
    case balsammill::v1::JOB_STATE_COMPLETE:
    case balsammill::v1::JOB_STATE_FAILED:
        return RecordState::Finished;
    case balsammill::v1::JOB_STATE_RUNNING:
        return RecordState::Running;
    default:
        return RecordState::Withdrawn;
    }
}

ProcessId ownerOf(const JobRecord& record)
{
    return { VmName { record.owner().vm() }, Incarnation { record.owner().incarnation() } };
}

Job jobOf(const JobRecord& record)
{
    return Job { JobKey { record.job_key() }, digestFromBytes(record.content_digest()), Epoch { record.epoch() },
        ownerOf(record), JobPhase::Running };
}

std::optional<Digest128> parseTombstoneKey(const std::string& text)
{
    Digest128 digest {};
    if (text.size() != 1 + 2 * digest.size() || text[0] != '#')
        return std::nullopt;
    for (std::size_t index = 0; index < digest.size(); ++index) {
        const auto* begin = text.data() + 1 + 2 * index;
        if (std::from_chars(begin, begin + 2, digest[index], 16).ptr != begin + 2)
            return std::nullopt;
    }
    return digest;
}

Verdict verdictOf(const JobRecord& record)
{
    if (record.result().verdict() == balsammill::v1::VERDICT_RAN)
        return Verdict::Ran;
    return record.result().verdict() == balsammill::v1::VERDICT_NOT_RUN ? Verdict::NotRun : Verdict::MayHaveRun;
}

} // namespace

JobActions JobLedger::peerMessage(
    const ProcessId& sender, const balsammill::internal::PeerMessage& message, ClockReadings time)
{
    detectPause(time);
    switch (message.body_case()) {
    case balsammill::internal::PeerMessage::kReplicateJob:
        handle(sender, message.replicate_job(), time);
        break;
    case balsammill::internal::PeerMessage::kReplicateAck:
        handle(sender, message.replicate_ack(), time);
        break;
    case balsammill::internal::PeerMessage::kShardSnapshot:
        handle(sender, message.shard_snapshot(), time);
        break;
    case balsammill::internal::PeerMessage::kShardHandover:
        handle(sender, message.shard_handover(), time);
        break;
    default:
        break;
    }
    return takeActions();
}

void JobLedger::handle(const ProcessId& sender, const balsammill::internal::ReplicateJob& replicate, ClockReadings time)
{
    if (replicate.failure_domain() != options_.domain.value || replicate.shard() >= options_.shards)
        return;
    const ShardIndex index { replicate.shard() };
    const Epoch epoch { replicate.epoch() };
    auto& role = shard(index).role;
    reconcileShard(index, time);
    bool accepted = role.acceptsReplication(sender, epoch, time);
    if (accepted) {
        // With the new epoch, this process may have to promote itself. In that case it must not acknowledge.
        reconcileShard(index, time);
        accepted = role.acceptsReplication(sender, epoch, time);
    }
    const auto state = stateOf(replicate.record());
    if (accepted) {
        mergeRecord(index, replicate.record(), time);
        acknowledge(sender, replicate.request_id(), true, epoch);
    } else if (state == RecordState::Running) {
        if (role.epoch() > epoch)
            acknowledge(sender, replicate.request_id(), false, role.epoch());
    } else if (role.isPrimary() && epoch <= role.epoch()) {
        applyReport(index, replicate.record(), time);
        acknowledge(sender, replicate.request_id(), true, epoch);
    } else if (state == RecordState::Finished && role.record() && role.epoch() == epoch
        && role.record()->primary == sender && role.record()->backup == options_.self) {
        // An outcome is final, so it is stored even while this process takes the shard over.
        mergeRecord(index, replicate.record(), time);
    }
    reconcileShard(index, time);
}

void JobLedger::mergeRecord(ShardIndex index, const JobRecord& record, ClockReadings time)
{
    if (record.answer_evicted()) {
        if (const auto key = parseTombstoneKey(record.job_key()))
            store_.insertTombstone(index,
                Tombstone { *key, digestFromBytes(record.content_digest()), time.now + options_.role.historyRetention,
                    verdictOf(record) });
        return;
    }
    const auto incoming = jobOf(record);
    const auto state = stateOf(record);
    auto* job = store_.find(index, incoming.key);
    if (job && job->phase == JobPhase::Finished)
        return;
    if (state == RecordState::Withdrawn) {
        if (job && job->epoch == incoming.epoch && job->owner == incoming.owner && job->owner != options_.self)
            store_.erase(index, incoming.key);
        return;
    }
    if (!job) {
        job = &store_.insert(index, incoming);
    } else if (!started_.contains(job->key) && incoming.epoch > job->epoch) {
        // The newer record replaces one that was withdrawn or never acknowledged.
        shard(index).awaitingAck.erase(job->key);
        job->submission.reset();
        job->epoch = incoming.epoch;
        job->owner = incoming.owner;
        job->phase = JobPhase::Running;
    }
    if (state == RecordState::Finished) {
        shard(index).awaitingAck.erase(job->key);
        store_.finish(index, *job, record.result(), time.now);
        answerWaiters(*job);
    }
}

void JobLedger::applyReport(ShardIndex index, const JobRecord& record, ClockReadings time)
{
    const auto incoming = jobOf(record);
    const auto state = stateOf(record);
    auto* job = store_.find(index, incoming.key);
    if (job && (job->phase == JobPhase::Finished || job->epoch != incoming.epoch || job->owner != incoming.owner))
        return;
    if (state == RecordState::Finished) {
        if (!job)
            job = &store_.insert(index, incoming);
        finishJob(index, *job, record.result(), time);
        return;
    }
    if (!job)
        return;
    shard(index).inheritedJobs.erase(incoming.key);
    if (const auto& backup = shard(index).role.record()->backup)
        sendRecord(MessageKind::Report, index, *backup, record, time);
    copyToCandidate(index, record, time);
    dropWaiters(*job);
    store_.erase(index, incoming.key);
}

void JobLedger::handle(const ProcessId& sender, const balsammill::internal::ReplicateAck& ack, ClockReadings time)
{
    const auto found = outgoing_.find(ack.request_id());
    if (found == outgoing_.end() || found->second.to != sender)
        return;
    const auto outgoing = found->second;
    auto& shardState = shard(outgoing.shard);
    if (!ack.accepted()) {
        shardState.role.observeEpoch(Epoch { ack.epoch() });
        reconcileShard(outgoing.shard, time);
        return;
    }
    auto* job = store_.find(outgoing.shard, outgoing.key);
    if (outgoing.kind == MessageKind::Record) {
        // If jobs of the message's epoch may not be started now, the message stays outgoing. It is sent again and
        // acknowledged in the epoch that is current then.
        if (!shardState.role.mayStartReplicated() || outgoing.epoch != shardState.role.epoch())
            return;
        eraseOutgoing(ack.request_id());
        if (job && job->phase == JobPhase::AwaitingAck)
            startJob(outgoing.shard, *job);
        return;
    }
    eraseOutgoing(ack.request_id());
    if (outgoing.kind == MessageKind::Outcome && job)
        answerWaiters(*job);
    if (outgoing.kind == MessageKind::SnapshotPart)
        shardState.role.candidateProgressed(shardState.unackedSnapshotParts.empty(), time.now);
    reconcileShard(outgoing.shard, time);
}

void JobLedger::handle(const ProcessId& sender, const balsammill::internal::ShardSnapshot& part, ClockReadings time)
{
    if (part.failure_domain() != options_.domain.value || part.shard() >= options_.shards || part.epoch() == 0)
        return;
    const ShardIndex index { part.shard() };
    auto& role = shard(index).role;
    reconcileShard(index, time);
    if (!role.stageSnapshot(sender, Epoch { part.epoch() })) {
        if (role.epoch().value >= part.epoch())
            acknowledge(sender, part.request_id(), false, role.epoch());
        return;
    }
    // The sender is the primary of the epoch before the target epoch.
    role.observeEpoch(Epoch { part.epoch() - 1 });
    for (const auto& record : part.records())
        mergeRecord(index, record, time);
    acknowledge(sender, part.request_id(), true, Epoch { part.epoch() });
    reconcileShard(index, time);
}

void JobLedger::handle(const ProcessId& sender, const balsammill::internal::ShardHandover& handover, ClockReadings time)
{
    if (handover.failure_domain() != options_.domain.value || handover.shard() >= options_.shards)
        return;
    const ShardIndex index { handover.shard() };
    shard(index).role.handoverRequested(sender, Epoch { handover.epoch() });
    reconcileShard(index, time);
}

void JobLedger::acknowledge(const ProcessId& to, std::uint64_t requestId, bool accepted, Epoch epoch)
{
    balsammill::internal::PeerMessage message;
    auto& ack = *message.mutable_replicate_ack();
    ack.set_request_id(requestId);
    ack.set_accepted(accepted);
    ack.set_epoch(epoch.value);
    actions_.emplace_back(SendPeer { to, std::move(message) });
}

std::uint64_t JobLedger::sendTracked(Outgoing outgoing, ClockReadings time)
{
    const auto requestId = nextRequestId_++;
    if (outgoing.message.has_replicate_job())
        outgoing.message.mutable_replicate_job()->set_request_id(requestId);
    else
        outgoing.message.mutable_shard_snapshot()->set_request_id(requestId);
    outgoing.sentAt = time.now;
    outgoing.resendAt = time.now + options_.resendInterval;
    actions_.emplace_back(SendPeer { outgoing.to, outgoing.message });
    outgoing_.emplace(requestId, std::move(outgoing));
    return requestId;
}

void JobLedger::sendRecord(
    MessageKind kind, ShardIndex index, const ProcessId& to, const JobRecord& record, ClockReadings time)
{
    const auto epoch = shard(index).role.epoch();
    Outgoing outgoing { kind, index, to, epoch, JobKey { record.job_key() } };
    auto& replicate = *outgoing.message.mutable_replicate_job();
    replicate.set_failure_domain(options_.domain.value);
    replicate.set_shard(index.value);
    replicate.set_epoch(epoch.value);
    *replicate.mutable_record() = record;
    sendTracked(std::move(outgoing), time);
}

void JobLedger::resend(ClockReadings time)
{
    std::vector<std::uint64_t> expired;
    for (auto& [requestId, outgoing] : outgoing_) {
        if (time.now >= outgoing.sentAt + options_.role.historyRetention) {
            expired.push_back(requestId);
            continue;
        }
        auto* job = outgoing.kind == MessageKind::Outcome ? store_.find(outgoing.shard, outgoing.key) : nullptr;
        if (job && time.now >= outgoing.sentAt + options_.outcomeAckTimeout)
            answerWaiters(*job);
        if (time.now < outgoing.resendAt)
            continue;
        if (outgoing.kind != MessageKind::SnapshotPart)
            shard(outgoing.shard).role.requestRecordCheck(time.now);
        outgoing.resendAt = time.now + options_.resendInterval;
        actions_.emplace_back(SendPeer { outgoing.to, outgoing.message });
    }
    for (const auto requestId : expired)
        eraseOutgoing(requestId);
}

JobRecord JobLedger::recordOf(ShardIndex index, const Job& job) const
{
    JobRecord record;
    record.set_job_key(job.key.value);
    record.set_content_digest(toBytes(job.digest));
    record.set_shard(index.value);
    record.set_epoch(job.epoch.value);
    record.mutable_owner()->set_vm(job.owner.vm.value);
    record.mutable_owner()->set_incarnation(job.owner.incarnation.value);
    if (job.phase == JobPhase::Finished)
        *record.mutable_result() = job.result;
    else
        record.mutable_result()->set_state(balsammill::v1::JOB_STATE_RUNNING);
    return record;
}

} // namespace Balsammill
