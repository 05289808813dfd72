#pragma once

#include "balsammill/jobs/JobActions.h"
#include "balsammill/jobs/JobStore.h"
#include "balsammill/jobs/ShardRole.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace Balsammill {

struct MemberView;

struct JobLedgerOptions {
    ProcessId self;
    /// Failure domain of this process. The ledger keeps only shards of this domain.
    FailureDomain domain;
    /// Number of shards. It must be the same in all processes and must never change, because the shard of a job id
    /// depends on it.
    std::uint32_t shards { 16 };
    /// Options of the role of each shard; the constructor sets self, domain and shard.
    ShardRoleOptions role {};
    /// Memory limit for stored results; older results are evicted above it.
    std::size_t answerBytesLimit { 32U << 20U };
    /// Time after a change of the primary at which a job of the previous owner fails if its outcome was not reported.
    Duration orphanTimeout { std::chrono::seconds(30) };
    /// Time after which an unacknowledged message is sent again.
    Duration resendInterval { std::chrono::milliseconds(150) };
    /// Time after which an outcome is returned to the client even if the backup has not acknowledged it.
    Duration outcomeAckTimeout { std::chrono::milliseconds(400) };
    /// If two inputs are further apart than this, the process is assumed to have been paused.
    Duration pauseLimit { std::chrono::seconds(1) };
    /// Size at which a snapshot message is sent and the next one begins.
    std::size_t snapshotPartBytes { 256U << 10U };
};

struct JobSubmission {
    JobId id;
    JobKey key;
    Digest128 digest {};
    std::shared_ptr<const balsammill::v1::SubmitRequest> content;
    RequestId waiter;
    /// Error with which a new job is refused. Resubmissions of a known job are answered regardless.
    std::optional<RpcErrorDetails> admissionError {};
};

struct JobQuery {
    JobId id;
    JobKey key;
    RequestId waiter;
};

struct ShardStatus {
    ShardIndex shard;
    std::optional<ShardRecord> record;
    ShardRoleKind role { ShardRoleKind::NotHolder };
    std::size_t records { 0 };
};

/// Replicated record of the jobs of one failure domain. Decides when a job starts and when its clients are answered.
///
/// Every input returns actions that the caller carries out in order. Performs no I/O, reads no clock and is not
/// thread-safe. See section 2.1 of the design.
class JobLedger {
public:
    explicit JobLedger(JobLedgerOptions);

    /// The waiter is answered when the job has ended, or immediately if the submission is refused or redirected.
    JobActions submit(JobSubmission, ClockReadings);
    /// The waiter is answered immediately with the current state.
    JobActions get(const JobQuery&, ClockReadings);
    /// The waiter is answered when the job has ended, or immediately if the job is unknown.
    JobActions cancel(const JobQuery&, ClockReadings);
    /// Removes a waiter whose client no longer waits; it is not answered.
    void removeWaiter(RequestId);

    /// Handles ReplicateJob, ReplicateAck, ShardSnapshot and ShardHandover; ignores other messages.
    JobActions peerMessage(const ProcessId& sender, const balsammill::internal::PeerMessage&, ClockReadings);
    /// Reports the result of a job that this process started. Its state is complete or failed.
    JobActions outcome(const JobKey&, const balsammill::v1::JobResult&, ClockReadings);
    JobActions recordRead(ShardIndex, const RecordRead&, ClockReadings);
    JobActions recordWritten(ShardIndex, const RecordWrite&, ClockReadings);
    JobActions memberViewChanged(const MemberView&, ClockReadings);
    JobActions tick(ClockReadings);

    /// Last known record of the shard; empty if none has been read or written yet.
    std::optional<ShardRecord> shardRecord(ShardIndex) const;
    std::vector<ShardStatus> statuses() const;
    /// True if this process is the primary or backup of a shard and another process could replace it.
    bool hasShardsToHandOver() const;
    /// Number of jobs started here that have not ended, plus outcomes and withdrawals not yet acknowledged by a peer.
    std::size_t unfinishedJobs() const;

private:
    enum class MessageKind {
        Record,
        Outcome,
        SnapshotPart,
        /// Outcome or withdrawal of a job whose shard has a new primary.
        Report,
    };
    /// A message that is sent again until it is acknowledged or obsolete.
    struct Outgoing {
        MessageKind kind { MessageKind::Record };
        ShardIndex shard;
        ProcessId to;
        /// Epoch of the shard when the message was sent.
        Epoch epoch;
        JobKey key {};
        balsammill::internal::PeerMessage message {};
        TimePoint resendAt {};
        TimePoint sentAt {};
    };
    struct Shard {
        explicit Shard(ShardRoleOptions options)
            : role(std::move(options))
        {
        }
        ShardRole role;
        /// Record at the end of the last call of reconcileShard().
        std::optional<ShardRecord> lastRecord {};
        /// Jobs in phase AwaitingAck that this process recorded.
        std::set<JobKey> awaitingAck {};
        /// Running jobs that another process recorded; filled while this process is primary.
        std::set<JobKey> inheritedJobs {};
        /// Candidate at the end of the last call of reconcileShard().
        std::optional<ProcessId> lastCandidate {};
        /// Request ids of snapshot messages that the candidate has not acknowledged.
        std::set<std::uint64_t> unackedSnapshotParts {};
    };

    // JobLedger.cpp: client requests and outcomes.
    /// Marks all shard roles stale after a pause of the process.
    void detectPause(ClockReadings);
    ShardIndex shardIndexOf(const JobId& id) const;
    Shard& shard(ShardIndex index) { return shards_.at(index.value); }
    bool answerIfKnown(ShardIndex, const JobSubmission&);
    bool answerIfEvicted(ShardIndex, const JobKey&, const Digest128*, RequestId);
    bool redirectToPrimary(ShardIndex, RequestId, bool firstAttempt);
    void answerUnknown(ShardIndex, const JobQuery&, ClockReadings);
    void refuse(RequestId, RpcErrorDetails);
    void addWaiter(ShardIndex, Job&, RequestId);
    /// True if this process is the primary or started the job, so that its copy of the state is authoritative.
    bool isAuthoritativeFor(ShardIndex, const Job&);
    void admit(ShardIndex, const JobSubmission&, ClockReadings);
    void startJob(ShardIndex, Job&);
    void finishJob(ShardIndex, Job&, const balsammill::v1::JobResult&, ClockReadings);
    void replicateOutcome(ShardIndex, Job&, ClockReadings);
    void answerWaiters(Job&);
    void dropWaiters(Job&);
    void failOrphans(ShardIndex, ClockReadings);

    // JobLedgerShards.cpp: changes of ownership.
    /// Carries out all pending decisions of the shard's role and the effects of a changed record.
    void reconcileShard(ShardIndex, ClockReadings);
    void perform(ShardIndex, const RoleAction&, ClockReadings);
    void recordChanged(ShardIndex, const std::optional<ShardRecord>& previous, ClockReadings);
    void becamePrimary(ShardIndex, ClockReadings);
    void continuedAsPrimary(ShardIndex, ClockReadings);
    void lostPrimary(ShardIndex, ClockReadings);
    void withdraw(ShardIndex, const JobKey&, ClockReadings);
    void dropUnneededRecords(ShardIndex);
    void dropOutdatedMessages(ShardIndex);
    void redirectReports(ShardIndex, ClockReadings);
    bool hasReport(const JobKey&) const;
    void offerSnapshot(ShardIndex, const OfferSnapshot&, ClockReadings);
    void sendSnapshotPart(ShardIndex, const balsammill::internal::ShardSnapshot&, ClockReadings);
    void eraseOutgoing(std::uint64_t requestId);
    void copyToCandidate(ShardIndex, const balsammill::internal::JobRecord&, ClockReadings);

    // JobLedgerMessages.cpp: messages from other processes.
    void handle(const ProcessId& sender, const balsammill::internal::ReplicateJob&, ClockReadings);
    void handle(const ProcessId& sender, const balsammill::internal::ReplicateAck&, ClockReadings);
    void handle(const ProcessId& sender, const balsammill::internal::ShardSnapshot&, ClockReadings);
    void handle(const ProcessId& sender, const balsammill::internal::ShardHandover&, ClockReadings);
    void mergeRecord(ShardIndex, const balsammill::internal::JobRecord&, ClockReadings);
    void applyReport(ShardIndex, const balsammill::internal::JobRecord&, ClockReadings);
    void acknowledge(const ProcessId& to, std::uint64_t requestId, bool accepted, Epoch);
    std::uint64_t sendTracked(Outgoing, ClockReadings);
    void sendRecord(
        MessageKind, ShardIndex, const ProcessId& to, const balsammill::internal::JobRecord&, ClockReadings);
    void resend(ClockReadings);
    balsammill::internal::JobRecord recordOf(ShardIndex, const Job&) const;
    JobActions takeActions() { return std::exchange(actions_, {}); }

    JobLedgerOptions options_;
    DomainPeers peers_;
    JobStore store_;
    std::vector<Shard> shards_;
    std::map<RequestId, std::pair<ShardIndex, JobKey>> waiters_;
    /// Jobs started here that have not ended.
    std::map<JobKey, ShardIndex> started_;
    std::map<std::uint64_t, Outgoing> outgoing_;
    std::uint64_t nextRequestId_;
    std::optional<TimePoint> lastInputAt_;
    JobActions actions_;
};

} // namespace Balsammill
