#include "balsammill/jobs/JobLedger.h"

#include "balsammill/jobs/HomePlacement.h"
#include "balsammill/membership/MemberView.h"

#include <utility>

namespace Balsammill {

namespace {

using balsammill::v1::JobResult;

RpcErrorDetails historyUnknownError()
{
    return { ErrorCode::Unavailable, "the shard's earlier jobs are not known; this id may have run before",
        Verdict::MayHaveRun };
}

// Another process may have a record of the job, so only a first attempt is known not to have run.
RpcErrorDetails notReadyError(bool firstAttempt)
{
    return { ErrorCode::Unavailable, "the job's shard has no complete pair of entries at the moment",
        firstAttempt ? Verdict::NotRun : Verdict::MayHaveRun, {}, std::chrono::milliseconds(50) };
}

JobResult failedResult(const JobKey& key, ErrorCode code, const std::string& message, balsammill::v1::Verdict verdict)
{
    JobResult result;
    result.set_job_id(jobIdOf(key).value);
    result.set_state(balsammill::v1::JOB_STATE_FAILED);
    result.set_error_code(std::string(nameOf(code)));
    result.set_error_message(message);
    result.set_verdict(verdict);
    return result;
}

} // namespace

JobLedger::JobLedger(JobLedgerOptions options)
    : options_(std::move(options))
    , store_(options_.shards, options_.role.historyRetention, options_.answerBytesLimit)
    // Derived from the incarnation, so that late acknowledgements to an earlier incarnation match no request of this
    // one.
    , nextRequestId_(stableHash(options_.self.vm.value + '/' + std::to_string(options_.self.incarnation.value)))
{
    options_.role.self = options_.self;
    options_.role.domain = options_.domain;
    for (std::uint32_t index = 0; index < options_.shards; ++index) {
        options_.role.shard = ShardIndex { index };
        shards_.emplace_back(options_.role);
    }
}

void JobLedger::detectPause(ClockReadings time)
{
    if (lastInputAt_ && time.now - *lastInputAt_ > options_.pauseLimit) {
        for (auto& each : shards_)
            each.role.markStale(time.now);
    }
    lastInputAt_ = time.now;
}

ShardIndex JobLedger::shardIndexOf(const JobId& id) const { return shardOf(id, options_.shards); }

JobActions JobLedger::submit(JobSubmission submission, ClockReadings time)
{
    detectPause(time);
    const auto index = shardIndexOf(submission.id);
    reconcileShard(index, time);
    if (answerIfKnown(index, submission)
        || redirectToPrimary(index, submission.waiter, submission.content->first_attempt()))
        return takeActions();
    if (shard(index).role.historyUnknown(time))
        refuse(submission.waiter, historyUnknownError());
    else if (shard(index).role.kind() != ShardRoleKind::Primary)
        refuse(submission.waiter, notReadyError(submission.content->first_attempt()));
    else if (submission.admissionError)
        refuse(submission.waiter, *submission.admissionError);
    else
        admit(index, submission, time);
    return takeActions();
}

bool JobLedger::isAuthoritativeFor(ShardIndex index, const Job& job)
{
    return shard(index).role.isPrimary() || job.owner == options_.self;
}

bool JobLedger::answerIfKnown(ShardIndex index, const JobSubmission& submission)
{
    auto* job = store_.find(index, submission.key);
    if (!job)
        return answerIfEvicted(index, submission.key, &submission.digest, submission.waiter);
    if (job->digest != submission.digest) {
        refuse(submission.waiter,
            { ErrorCode::AlreadyExists, "the id belongs to a job with other content", Verdict::NotRun });
        return true;
    }
    if (job->phase != JobPhase::Finished && !isAuthoritativeFor(index, *job))
        return false;
    addWaiter(index, *job, submission.waiter);
    return true;
}

bool JobLedger::answerIfEvicted(ShardIndex index, const JobKey& key, const Digest128* digest, RequestId waiter)
{
    const auto* tombstone = store_.findTombstone(index, key);
    if (!tombstone)
        return false;
    if (digest && tombstone->content != *digest)
        refuse(waiter, { ErrorCode::AlreadyExists, "the id belongs to a job with other content", Verdict::NotRun });
    else
        refuse(
            waiter, { ErrorCode::DataLoss, "the job has ended; its answer is no longer stored", tombstone->verdict });
    return true;
}

void JobLedger::addWaiter(ShardIndex index, Job& job, RequestId waiter)
{
    job.waiters.insert(waiter);
    waiters_[waiter] = { index, job.key };
    if (job.phase == JobPhase::Finished && !job.outcomeUnacknowledged)
        answerWaiters(job);
}

bool JobLedger::redirectToPrimary(ShardIndex index, RequestId waiter, bool firstAttempt)
{
    const auto& role = shard(index).role;
    if (role.isPrimary())
        return false;
    if (role.record() && !peers_.isLost(role.record()->primary))
        actions_.emplace_back(RedirectWaiter { waiter, role.record()->primary });
    else
        refuse(waiter, notReadyError(firstAttempt));
    return true;
}

void JobLedger::refuse(RequestId waiter, RpcErrorDetails error)
{
    actions_.emplace_back(AnswerWaiters { { waiter }, std::move(error) });
}

void JobLedger::admit(ShardIndex index, const JobSubmission& submission, ClockReadings time)
{
    auto& shardState = shard(index);
    auto& job = store_.insert(index,
        Job { submission.key, submission.digest, shardState.role.epoch(), options_.self, JobPhase::AwaitingAck, {},
            submission.content, { submission.waiter } });
    waiters_[submission.waiter] = { index, job.key };
    shardState.awaitingAck.insert(job.key);
    const auto record = recordOf(index, job);
    if (shardState.role.mayStartReplicated())
        sendRecord(MessageKind::Record, index, *shardState.role.record()->backup, record, time);
    copyToCandidate(index, record, time);
    if (shardState.role.mayStartUnreplicated())
        startJob(index, job);
}

void JobLedger::startJob(ShardIndex index, Job& job)
{
    job.phase = JobPhase::Running;
    shard(index).awaitingAck.erase(job.key);
    started_.emplace(job.key, index);
    actions_.emplace_back(StartJob { job.key, std::exchange(job.submission, nullptr) });
}

JobActions JobLedger::get(const JobQuery& query, ClockReadings time)
{
    detectPause(time);
    const auto index = shardIndexOf(query.id);
    reconcileShard(index, time);
    const auto* job = store_.find(index, query.key);
    if (job && job->phase == JobPhase::Finished && !job->outcomeUnacknowledged) {
        actions_.emplace_back(AnswerWaiters { { query.waiter }, job->result });
    } else if (job && isAuthoritativeFor(index, *job)) {
        JobResult running;
        running.set_job_id(query.id.value);
        running.set_state(balsammill::v1::JOB_STATE_RUNNING);
        actions_.emplace_back(AnswerWaiters { { query.waiter }, running });
    } else {
        answerUnknown(index, query, time);
    }
    return takeActions();
}

JobActions JobLedger::cancel(const JobQuery& query, ClockReadings time)
{
    detectPause(time);
    const auto index = shardIndexOf(query.id);
    reconcileShard(index, time);
    auto* job = store_.find(index, query.key);
    if (!job || (job->phase != JobPhase::Finished && !isAuthoritativeFor(index, *job))) {
        answerUnknown(index, query, time);
        return takeActions();
    }
    addWaiter(index, *job, query.waiter);
    if (job->phase == JobPhase::AwaitingAck) {
        const auto result = failedResult(
            job->key, ErrorCode::Canceled, "the job was canceled before it started", balsammill::v1::VERDICT_NOT_RUN);
        finishJob(index, *job, result, time);
    } else if (job->phase == JobPhase::Running) {
        if (started_.contains(job->key))
            actions_.emplace_back(CancelJob { job->key });
    }
    return takeActions();
}

void JobLedger::answerUnknown(ShardIndex index, const JobQuery& query, ClockReadings time)
{
    if (answerIfEvicted(index, query.key, nullptr, query.waiter) || redirectToPrimary(index, query.waiter, false))
        return;
    const auto& role = shard(index).role;
    if (role.historyUnknown(time))
        refuse(query.waiter, historyUnknownError());
    else if (role.kind() != ShardRoleKind::Primary)
        refuse(query.waiter, notReadyError(false));
    else
        // MayHaveRun, because a newer primary that this process does not know of yet may have a record of the job.
        refuse(query.waiter, { ErrorCode::NotFound, "no job with this id is known", Verdict::MayHaveRun });
}

void JobLedger::removeWaiter(RequestId waiter)
{
    const auto found = waiters_.find(waiter);
    if (found == waiters_.end())
        return;
    if (auto* job = store_.find(found->second.first, found->second.second))
        job->waiters.erase(waiter);
    waiters_.erase(found);
}

JobActions JobLedger::outcome(const JobKey& key, const JobResult& result, ClockReadings time)
{
    detectPause(time);
    const auto started = started_.find(key);
    if (started == started_.end())
        return {};
    const auto index = started->second;
    reconcileShard(index, time);
    if (auto* job = store_.find(index, key); job && job->phase != JobPhase::Finished)
        finishJob(index, *job, result, time);
    started_.erase(key);
    return takeActions();
}

void JobLedger::finishJob(ShardIndex index, Job& job, const JobResult& result, ClockReadings time)
{
    auto& shardState = shard(index);
    shardState.awaitingAck.erase(job.key);
    shardState.inheritedJobs.erase(job.key);
    store_.finish(index, job, result, time.now);
    replicateOutcome(index, job, time);
}

void JobLedger::replicateOutcome(ShardIndex index, Job& job, ClockReadings time)
{
    const auto& role = shard(index).role;
    const auto record = recordOf(index, job);
    if (role.isPrimary()) {
        const auto& backup = role.record()->backup;
        job.outcomeUnacknowledged = backup && !peers_.isLost(*backup);
        if (job.outcomeUnacknowledged)
            sendRecord(MessageKind::Outcome, index, *backup, record, time);
        copyToCandidate(index, record, time);
    } else if (role.record()) {
        sendRecord(MessageKind::Report, index, role.record()->primary, record, time);
    }
    if (!job.outcomeUnacknowledged)
        answerWaiters(job);
}

void JobLedger::answerWaiters(Job& job)
{
    job.outcomeUnacknowledged = false;
    if (job.waiters.empty())
        return;
    for (const auto waiter : job.waiters)
        waiters_.erase(waiter);
    const auto waiters = std::exchange(job.waiters, {});
    actions_.emplace_back(AnswerWaiters { { waiters.begin(), waiters.end() }, job.result });
}

void JobLedger::dropWaiters(Job& job)
{
    if (job.waiters.empty())
        return;
    for (const auto waiter : job.waiters)
        waiters_.erase(waiter);
    const auto waiters = std::exchange(job.waiters, {});
    actions_.emplace_back(AnswerWaiters { { waiters.begin(), waiters.end() }, notReadyError(false) });
}

void JobLedger::failOrphans(ShardIndex index, ClockReadings time)
{
    for (const auto& key : std::set<JobKey>(shard(index).inheritedJobs)) {
        auto* job = store_.find(index, key);
        if (!job || job->phase == JobPhase::Finished) {
            shard(index).inheritedJobs.erase(key);
            continue;
        }
        const bool ownerGone = !peers_.selfSuspect() && peers_.isIncarnationGone(job->owner);
        if (ownerGone || (job->orphanAt && time.now >= *job->orphanAt)) {
            const auto result = failedResult(key, ErrorCode::Aborted,
                "the entry that ran the job was lost before it reported the outcome",
                balsammill::v1::VERDICT_MAY_HAVE_RUN);
            finishJob(index, *job, result, time);
        }
    }
}

JobActions JobLedger::recordRead(ShardIndex index, const RecordRead& result, ClockReadings time)
{
    detectPause(time);
    shard(index).role.recordRead(result, time);
    reconcileShard(index, time);
    return takeActions();
}

JobActions JobLedger::recordWritten(ShardIndex index, const RecordWrite& result, ClockReadings time)
{
    detectPause(time);
    shard(index).role.recordWritten(result, time);
    reconcileShard(index, time);
    return takeActions();
}

JobActions JobLedger::memberViewChanged(const MemberView& view, ClockReadings time)
{
    detectPause(time);
    peers_ = DomainPeers(view);
    for (std::uint32_t index = 0; index < options_.shards; ++index)
        reconcileShard(ShardIndex { index }, time);
    return takeActions();
}

JobActions JobLedger::tick(ClockReadings time)
{
    detectPause(time);
    store_.expire(time.now);
    for (std::uint32_t index = 0; index < options_.shards; ++index) {
        reconcileShard(ShardIndex { index }, time);
        failOrphans(ShardIndex { index }, time);
    }
    resend(time);
    return takeActions();
}

} // namespace Balsammill
