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
    /// Own failure domain; only its shards are kept here.
    FailureDomain domain;
    /// The same in all processes of the deployment, for ever: a job's shard depends on it.
    std::uint32_t shards { 16 };
    /// Settings of every shard's role; self, domain and shard are filled in.
    ShardRoleOptions role {};
    std::size_t answerBytesLimit { 32U << 20U };
    /// A job fails this long after its owner lost the shard, if the owner has not reported its outcome.
    Duration orphanTimeout { std::chrono::seconds(30) };
    /// An unacknowledged message is repeated after this time.
    Duration resendInterval { std::chrono::milliseconds(150) };
    /// An outcome is returned after this time even if the backup has not acknowledged it.
    Duration outcomeAckTimeout { std::chrono::milliseconds(400) };
    /// A gap between inputs that counts as a pause of this process.
    Duration pauseLimit { std::chrono::seconds(1) };
    std::size_t snapshotPartBytes { 256U << 10U };
};

struct JobSubmission {
    JobId id;
    JobKey key;
    Digest128 digest {};
    std::shared_ptr<const balsammill::v1::SubmitRequest> content;
    RequestId waiter;
    /// Why a new job of this content cannot be admitted; a known job is answered all the same.
    std::optional<RpcErrorDetails> refusal {};
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

/// Decides about the jobs of the own failure domain in this process: which start, which wait and which are answered.
///
/// Each input returns the actions to carry out, in order. Not thread-safe; holds no clock. See section 2.1 of the
/// design.
class JobLedger {
public:
    explicit JobLedger(JobLedgerOptions);

    /// The waiter is answered once the job has ended, or at once if it is refused or redirected.
    JobActions submit(JobSubmission, LedgerTime);
    /// The waiter is answered at once with the current state.
    JobActions get(const JobQuery&, LedgerTime);
    /// The waiter is answered once the job has ended.
    JobActions cancel(const JobQuery&, LedgerTime);
    /// The waiter gave up; it will not be answered.
    void forgetWaiter(RequestId);

    /// Handles ReplicateJob, ReplicateAck, ShardSnapshot and ShardHandover; ignores other messages.
    JobActions peerMessage(const ProcessId& sender, const balsammill::internal::PeerMessage&, LedgerTime);
    /// A job that was started here has ended; its state is complete or failed.
    JobActions outcome(const JobKey&, const balsammill::v1::JobResult&, LedgerTime);
    JobActions recordRead(ShardIndex, const RecordRead&, LedgerTime);
    JobActions recordWritten(ShardIndex, const RecordWrite&, LedgerTime);
    JobActions memberViewChanged(const MemberView&, LedgerTime);
    JobActions tick(LedgerTime);

    /// Last known record of the shard; empty if it has not been read.
    std::optional<ShardRecord> shardRecord(ShardIndex) const;
    std::vector<ShardStatus> statuses() const;
    /// True if this process still is a primary or backup although another entry could take its place.
    bool hasSharesToHandOver() const;
    /// Jobs started here that have not ended, and outcomes that another entry has not acknowledged yet.
    std::size_t unfinishedJobs() const;

private:
    enum class MessageKind {
        Record,
        Outcome,
        SnapshotPart,
        /// Outcome or withdrawal of a job whose shard has another primary by now.
        Report,
    };
    /// A message that is repeated until it is acknowledged or no longer needed.
    struct Outgoing {
        MessageKind kind { MessageKind::Record };
        ShardIndex shard;
        ProcessId to;
        /// Epoch in which it was sent.
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
        /// Record at the last call of settle().
        std::optional<ShardRecord> seen {};
        std::set<JobKey> awaiting {};
        /// Running jobs of other owners, while this process is primary.
        std::set<JobKey> foreign {};
        /// Candidate at the last call of settle(), and the unacknowledged parts of its snapshot.
        std::optional<ProcessId> seenCandidate {};
        std::set<std::uint64_t> parts {};
    };

    // JobLedger.cpp: requests of callers and outcomes.
    void observe(LedgerTime);
    ShardIndex shardIndexOf(const JobId& id) const;
    Shard& shard(ShardIndex index) { return shards_.at(index.value); }
    bool answerKnown(ShardIndex, const JobSubmission&);
    bool answerEvicted(ShardIndex, const JobKey&, const Digest128*, RequestId);
    bool redirectToPrimary(ShardIndex, RequestId, bool firstAttempt);
    void answerUnknown(ShardIndex, const JobQuery&, LedgerTime);
    void refuse(RequestId, RpcErrorDetails);
    void join(ShardIndex, Job&, RequestId);
    /// True if this process decides about the job, rather than only holding a copy.
    bool decidesAbout(ShardIndex, const Job&);
    void admit(ShardIndex, const JobSubmission&, LedgerTime);
    void startJob(ShardIndex, Job&);
    void finishJob(ShardIndex, Job&, const balsammill::v1::JobResult&, LedgerTime);
    void replicateOutcome(ShardIndex, Job&, LedgerTime);
    void answerWaiters(Job&);
    void dropWaiters(Job&);
    void failOrphans(ShardIndex, LedgerTime);

    // JobLedgerShards.cpp: changes of ownership.
    void settle(ShardIndex, LedgerTime);
    void perform(ShardIndex, const RoleAction&, LedgerTime);
    void recordChanged(ShardIndex, const std::optional<ShardRecord>& previous, LedgerTime);
    void becamePrimary(ShardIndex, LedgerTime);
    void continuedAsPrimary(ShardIndex, LedgerTime);
    void lostPrimary(ShardIndex, LedgerTime);
    void withdraw(ShardIndex, const JobKey&, LedgerTime);
    void dropForeignRecords(ShardIndex);
    void dropOutdatedMessages(ShardIndex);
    void redirectReports(ShardIndex, LedgerTime);
    bool hasReport(const JobKey&) const;
    void offerSnapshot(ShardIndex, const OfferSnapshot&, LedgerTime);
    void sendSnapshotPart(ShardIndex, const balsammill::internal::ShardSnapshot&, LedgerTime);
    void eraseOutgoing(std::uint64_t requestId);
    void copyToCandidate(ShardIndex, const balsammill::internal::JobRecord&, LedgerTime);

    // JobLedgerMessages.cpp: messages of other entries.
    void handle(const ProcessId& sender, const balsammill::internal::ReplicateJob&, LedgerTime);
    void handle(const ProcessId& sender, const balsammill::internal::ReplicateAck&, LedgerTime);
    void handle(const ProcessId& sender, const balsammill::internal::ShardSnapshot&, LedgerTime);
    void handle(const ProcessId& sender, const balsammill::internal::ShardHandover&, LedgerTime);
    void mergeRecord(ShardIndex, const balsammill::internal::JobRecord&, LedgerTime);
    void applyReport(ShardIndex, const balsammill::internal::JobRecord&, LedgerTime);
    void acknowledge(const ProcessId& to, std::uint64_t requestId, bool accepted, Epoch);
    std::uint64_t sendTracked(Outgoing, LedgerTime);
    void sendRecord(MessageKind, ShardIndex, const ProcessId& to, const balsammill::internal::JobRecord&, LedgerTime);
    void resend(LedgerTime);
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
