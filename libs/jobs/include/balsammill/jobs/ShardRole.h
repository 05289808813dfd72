#pragma once

#include "balsammill/jobs/DomainPeers.h"
#include "balsammill/jobs/JobActions.h"

#include <optional>
#include <string>
#include <string_view>

namespace Balsammill {

enum class ShardRoleKind {
    NotHolder,
    Primary,
    /// Recorded as primary, but without a pair that is known to be complete; admits nothing.
    PrimaryUnconfirmed,
    Backup,
    /// Stopped acknowledging in order to take the shard over.
    Promoting,
    /// A primary that is leaving; admits nothing.
    HandingOver,
};

std::string_view nameOf(ShardRoleKind);

struct ShardRoleOptions {
    ProcessId self;
    FailureDomain domain;
    ShardIndex shard;
    Duration historyRetention { std::chrono::minutes(15) };
    /// Added to a stored end of an unknown history, because wall clocks of VMs differ.
    Duration clockMargin { std::chrono::seconds(5) };
    /// How often a holder's record is read again without a cause.
    Duration confirmInterval { std::chrono::seconds(5) };
    /// A primary without backup admits nothing if its record is older than this and another entry is out of sight,
    /// because that entry may have taken the shard over.
    Duration aloneConfirmLimit { std::chrono::minutes(2) };
    /// No holder is judged lost before this time after the start, because no heartbeat may have arrived yet.
    Duration startupGrace { std::chrono::seconds(2) };
    /// After this time without holders in sight, the first-ranked entry takes over. Two entries that see only a third
    /// one would otherwise take the shard from each other before either has a backup.
    Duration takeoverDelay { std::chrono::seconds(1) };
    /// After this time, an entry takes over even if another one ranks before it.
    Duration vacancyLimit { std::chrono::seconds(5) };
    /// A candidate that acknowledges nothing for this time is replaced by the next one: with loss in one direction, its
    /// heartbeats arrive here, but nothing arrives there.
    Duration candidateTimeout { std::chrono::seconds(2) };
    /// Pause after a table request that failed, and between requests to take a shard over.
    Duration retryDelay { std::chrono::milliseconds(200) };
};

/// Ask this process to take the shard over.
struct RequestHandover {
    ProcessId to;
    Epoch epoch;
};
/// Copy all records to this process, for the epoch in which it is to be the backup.
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

/// State machine of one shard in one process: who owns it, and what this process may do with it.
///
/// Inputs change the facts; reconcile() then decides the next step. At most one table request is outstanding.
class ShardRole {
public:
    explicit ShardRole(ShardRoleOptions);

    void recordRead(const RecordRead&, LedgerTime);
    void recordWritten(const RecordWrite&, LedgerTime);
    /// A peer answered with this newer epoch.
    void heardEpoch(Epoch);
    /// A record was sent to the candidate, which has to acknowledge it before it can become the backup.
    void candidateIncomplete();
    /// The candidate acknowledged something; complete if it now holds every record of the shard.
    void candidateProgressed(bool complete, TimePoint now);
    /// Replication gets no answer, so the record may have changed.
    void doubtRecord(TimePoint now);
    /// The recorded primary asked this backup to take over.
    void handoverRequested(const ProcessId& from, Epoch);
    /// The named primary copies its records here for that epoch.
    /// False if a newer epoch is known.
    bool stageSnapshot(const ProcessId& primary, Epoch target);
    /// A replication request arrived. True if this process is its confirmed backup in that epoch and may acknowledge.
    bool acceptsReplication(const ProcessId& primary, Epoch, LedgerTime);
    /// The clocks jumped: everything known has to be confirmed again.
    void markStale(TimePoint now);

    /// Decides the next step from everything known; call after each input and on every tick.
    std::vector<RoleAction> reconcile(const DomainPeers&, LedgerTime);

    ShardRoleKind kind() const { return kind_; }
    const std::optional<ShardRecord>& record() const { return record_; }
    Epoch epoch() const { return record_ ? record_->epoch : Epoch {}; }
    bool isPrimary() const { return record_ && record_->primary == options_.self; }
    /// True if a table write is outstanding or in doubt; then nothing is acknowledged or started.
    bool writeUnsettled() const { return pendingWrite_ || unresolvedWrite_; }
    /// True if a primary may start records that a backup acknowledged in the current epoch.
    bool mayStartAcknowledged() const;
    /// True if the record names no backup and this primary starts jobs alone.
    bool mayStartAlone() const;
    const std::optional<ProcessId>& candidate() const { return candidate_; }
    const std::optional<std::pair<Epoch, ProcessId>>& staged() const { return staged_; }
    bool historyUnknown(LedgerTime) const;

private:
    void adopt(const ShardRecord&, const std::optional<std::string>& tag, LedgerTime);
    bool lost(const DomainPeers&, const ProcessId&, TimePoint now) const;
    std::string subject() const;
    void updateKind(const DomainPeers&, TimePoint now);
    std::optional<RoleAction> settleWrite(TimePoint now);
    std::optional<RoleAction> decideTableRequest(const DomainPeers&, LedgerTime);
    std::optional<RoleAction> decideCreation(const DomainPeers&, TimePoint now);
    std::optional<RoleAction> decideAsPrimary(const DomainPeers&, LedgerTime);
    std::optional<RoleAction> decideTakeover(const DomainPeers&, LedgerTime);
    std::optional<RoleAction> chooseCandidate(const DomainPeers&, TimePoint now);
    std::optional<RoleAction> requestHandover(const DomainPeers&, TimePoint now);
    void updateFlags(const DomainPeers&, TimePoint now);
    bool superseded() const { return record_ && heardEpoch_ > record_->epoch; }
    RoleAction startRead();
    RoleAction startWrite(const ShardRecord&, std::optional<std::string> expectedTag);
    /// Writes the successor of the current record; reads first if its tag is unknown.
    RoleAction writeNext(const std::optional<ProcessId>& backup, std::int64_t historyUnknownUntilMs);

    ShardRoleOptions options_;
    ShardRoleKind kind_ { ShardRoleKind::NotHolder };
    std::optional<ShardRecord> record_;
    std::optional<std::string> tag_;
    bool missing_ { false };
    bool readNeeded_ { true };
    bool readPending_ { false };
    std::optional<ShardRecord> pendingWrite_;
    /// A write whose answer was lost. Only this same write is repeated until its result is definite, because the first
    /// copy may still take effect.
    std::optional<ShardRecord> unresolvedWrite_;
    std::optional<std::string> writeTag_;
    /// True until the table was read after a write whose answer was lost.
    bool readBackNeeded_ { false };
    std::optional<TimePoint> judgeFrom_;
    TimePoint confirmedAt_ {};
    TimePoint nextTableRequestAt_ {};
    TimePoint nextHandoverAt_ {};
    std::optional<TimePoint> vacantSince_;
    Epoch heardEpoch_;
    bool promoting_ { false };
    bool handoverRequested_ { false };
    bool alone_ { false };
    bool aloneAllowed_ { false };
    bool stale_ { false };
    std::optional<ProcessId> candidate_;
    bool candidateComplete_ { false };
    TimePoint candidateProgressAt_ {};
    std::optional<std::pair<Epoch, ProcessId>> staged_;
};

} // namespace Balsammill
