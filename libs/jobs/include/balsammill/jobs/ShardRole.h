#pragma once

#include "balsammill/jobs/DomainPeers.h"
#include "balsammill/jobs/JobActions.h"

#include <optional>
#include <string>
#include <string_view>

namespace Balsammill {

enum class ShardRoleKind {
    /// Neither primary nor backup.
    NotHolder,
    Primary,
    /// Recorded as primary, but not allowed to admit jobs: its backup or its ownership of the shard is not confirmed.
    PrimaryUnconfirmed,
    Backup,
    /// Taking the shard over. Acknowledges no replication meanwhile.
    Promoting,
    /// Primary in a process that is shutting down; admits no jobs.
    HandingOver,
};

std::string_view nameOf(ShardRoleKind);

struct ShardRoleOptions {
    ProcessId self;
    FailureDomain domain;
    ShardIndex shard;
    /// Time for which finished jobs are kept and resubmissions of them are recognised.
    Duration historyRetention { std::chrono::minutes(15) };
    /// Added to ShardRecord::historyUnknownUntilMs, because the wall clocks of VMs differ.
    Duration clockMargin { std::chrono::seconds(5) };
    /// Interval at which the shard record is read again even if nothing indicates a change.
    Duration confirmInterval { std::chrono::seconds(5) };
    /// A primary without a backup stops admitting jobs if it has not confirmed its record for this time while a member
    /// of the domain sends no heartbeats, because that member may have taken the shard over.
    Duration unreplicatedConfirmTimeout { std::chrono::minutes(2) };
    /// Time after the start or a pause of this process during which neither primary nor backup is considered lost,
    /// because their heartbeats may not have arrived or been processed yet.
    Duration startupGrace { std::chrono::seconds(2) };
    /// Time after the loss of primary and backup at which the first-ranked process takes over. Without this delay, two
    /// processes that reach a third one but not each other would take the shard from each other before either has a
    /// backup.
    Duration takeoverDelay { std::chrono::seconds(1) };
    /// Time after the loss of primary and backup at which a process takes over even if another one ranks before it.
    Duration fallbackTakeoverDelay { std::chrono::seconds(5) };
    /// A candidate that acknowledges nothing for this time is replaced by the next one. With packet loss in one
    /// direction, its heartbeats arrive here although it receives nothing.
    Duration candidateTimeout { std::chrono::seconds(2) };
    /// Delay after a failed table request, and between handover requests.
    Duration retryDelay { std::chrono::milliseconds(200) };
};

/// Asks the backup to take the shard over.
struct RequestHandover {
    ProcessId to;
    Epoch epoch;
};
/// Copies all records of the shard to the process that becomes the backup in the target epoch.
struct OfferSnapshot {
    ProcessId to;
    Epoch target;
};
struct ReadOwnRecord { };
struct WriteOwnRecord {
    ShardRecord record;
    std::optional<std::string> expectedTag;
};
using RoleAction = std::variant<RequestHandover, OfferSnapshot, ReadOwnRecord, WriteOwnRecord>;

/// State machine for the role of this process in one shard: primary, backup or neither.
///
/// Inputs update the known state; reconcile() then decides the next step. At most one table request is outstanding.
class ShardRole {
public:
    explicit ShardRole(ShardRoleOptions);

    void recordRead(const RecordRead&, ClockReadings);
    void recordWritten(const RecordWrite&, ClockReadings);
    /// A peer reported this epoch of the shard. A newer one than recorded here causes a read of the table.
    void observeEpoch(Epoch);
    /// A record was sent to the candidate. The candidate has to acknowledge it before it can become the backup.
    void candidateIncomplete();
    /// The candidate acknowledged a message. Complete means that it holds every record of the shard.
    void candidateProgressed(bool complete, TimePoint now);
    /// Requests a read of the table, because replication is not acknowledged and the record may have changed.
    void requestRecordCheck(TimePoint now);
    /// The primary asks this backup to take over. Ignored unless sender and epoch match the record.
    void handoverRequested(const ProcessId& from, Epoch);
    /// The primary copies its records to this process, which becomes the backup in the target epoch. Returns false if
    /// the snapshot is outdated.
    bool stageSnapshot(const ProcessId& primary, Epoch target);
    /// Handles a replication request. True if this process is the primary's backup in that epoch and may acknowledge.
    bool acceptsReplication(const ProcessId& primary, Epoch, ClockReadings);
    /// The process was paused. The record has to be confirmed again before jobs are admitted without a backup, and no
    /// process is considered lost until startupGrace has passed again.
    void markStale(TimePoint now);

    /// Decides the next step. Must be called after each input and on every tick.
    std::vector<RoleAction> reconcile(const DomainPeers&, ClockReadings);

    ShardRoleKind kind() const { return kind_; }
    const std::optional<ShardRecord>& record() const { return record_; }
    Epoch epoch() const { return record_ ? record_->epoch : Epoch {}; }
    bool isPrimary() const { return record_ && record_->primary == options_.self; }
    /// True if a table write is outstanding or in doubt. Meanwhile nothing is acknowledged or started.
    bool hasUnconfirmedWrite() const { return pendingWrite_ || inDoubtWrite_; }
    /// True if this process is primary and may start jobs that its backup acknowledged in the current epoch.
    bool mayStartReplicated() const;
    /// True if this process is primary without a backup and may start jobs without replication.
    bool mayStartUnreplicated() const;
    /// Process that receives a snapshot in order to become the next backup.
    const std::optional<ProcessId>& candidate() const { return candidate_; }
    /// Target epoch and primary of the snapshot that this process receives.
    const std::optional<std::pair<Epoch, ProcessId>>& staged() const { return staged_; }
    /// True while jobs that are not on record may have run, see ShardRecord::historyUnknownUntilMs.
    bool historyUnknown(ClockReadings) const;

private:
    void adopt(const ShardRecord&, const std::optional<std::string>& tag, ClockReadings);
    bool lost(const DomainPeers&, const ProcessId&, TimePoint now) const;
    std::string placementKey() const;
    void updateKind(const DomainPeers&, TimePoint now);
    std::optional<RoleAction> settleWrite(TimePoint now);
    std::optional<RoleAction> decideTableRequest(const DomainPeers&, ClockReadings);
    std::optional<RoleAction> decideCreation(const DomainPeers&, TimePoint now);
    std::optional<RoleAction> decideAsPrimary(const DomainPeers&, ClockReadings);
    std::optional<RoleAction> decideTakeover(const DomainPeers&, ClockReadings);
    std::optional<RoleAction> chooseCandidate(const DomainPeers&, TimePoint now);
    std::optional<RoleAction> requestHandover(const DomainPeers&, TimePoint now);
    void updateFlags(const DomainPeers&, TimePoint now);
    /// True if a newer epoch than the recorded one is known.
    bool superseded() const { return record_ && highestObservedEpoch_ > record_->epoch; }
    RoleAction startRead();
    RoleAction startWrite(const ShardRecord&, std::optional<std::string> expectedTag);
    /// Writes the record of the next epoch with this process as primary; reads first if the current tag is unknown.
    RoleAction writeNextEpoch(const std::optional<ProcessId>& backup, std::int64_t historyUnknownUntilMs);

    ShardRoleOptions options_;
    ShardRoleKind kind_ { ShardRoleKind::NotHolder };
    std::optional<ShardRecord> record_;
    std::optional<std::string> tag_;
    bool missing_ { false };
    bool readNeeded_ { true };
    bool readPending_ { false };
    std::optional<ShardRecord> pendingWrite_;
    /// A write that got no response. Only the same write is repeated until its result is known, because the first
    /// attempt may still take effect.
    std::optional<ShardRecord> inDoubtWrite_;
    std::optional<std::string> writeTag_;
    /// True until the table is read after a write that was in doubt or failed with a conflict.
    bool readBackNeeded_ { false };
    /// Start of loss detection: until then no process is considered lost.
    std::optional<TimePoint> lossDetectionStart_;
    /// Time at which the table last confirmed the record or its absence.
    TimePoint confirmedAt_ {};
    TimePoint nextTableRequestAt_ {};
    TimePoint nextHandoverAt_ {};
    /// Time since which primary and backup have been lost.
    std::optional<TimePoint> holdersLostSince_;
    Epoch highestObservedEpoch_;
    bool promoting_ { false };
    bool handoverRequested_ { false };
    /// True once no other process was available as backup in the current epoch.
    bool noBackupAvailable_ { false };
    bool unreplicatedStartAllowed_ { false };
    /// True after a pause until the table confirms the record.
    bool stale_ { false };
    std::optional<ProcessId> candidate_;
    bool candidateComplete_ { false };
    TimePoint candidateProgressAt_ {};
    std::optional<std::pair<Epoch, ProcessId>> staged_;
};

} // namespace Balsammill
