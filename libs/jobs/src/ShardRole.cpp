#include "balsammill/jobs/ShardRole.h"

#include <algorithm>
#include <utility>

namespace Balsammill {

std::string_view nameOf(ShardRoleKind kind)
{
    switch (kind) {
    case ShardRoleKind::NotHolder:
        return "not-holder";
    case ShardRoleKind::Primary:
        return "primary";
    case ShardRoleKind::PrimaryUnconfirmed:
        return "primary-unconfirmed";
    case ShardRoleKind::Backup:
        return "backup";
    case ShardRoleKind::Promoting:
        return "promoting";
    case ShardRoleKind::HandingOver:
        return "handing-over";
    }
    return "not-holder";
}

ShardRole::ShardRole(ShardRoleOptions options)
    : options_(std::move(options))
{
}

void ShardRole::adopt(const ShardRecord& record, const std::optional<std::string>& tag, ClockReadings)
{
    if (record.epoch < epoch())
        return;
    if (record.epoch > epoch()) {
        promoting_ = false;
        handoverRequested_ = false;
        noBackupAvailable_ = false;
        candidate_.reset();
        candidateComplete_ = false;
        holdersLostSince_.reset();
        tag_.reset();
    }
    record_ = record;
    missing_ = false;
    if (tag)
        tag_ = tag;
    // The conditional write cannot take effect any more once the table has a record of the same or a later epoch.
    if (inDoubtWrite_ && record.epoch >= inDoubtWrite_->epoch)
        inDoubtWrite_.reset();
    if (staged_ && staged_->first <= record.epoch)
        staged_.reset();
}

void ShardRole::recordRead(const RecordRead& result, ClockReadings time)
{
    readPending_ = false;
    if (const auto* found = std::get_if<RecordFound>(&result); found && found->record.epoch >= epoch()) {
        adopt(found->record, found->tag, time);
        confirmedAt_ = time.now;
        readNeeded_ = false;
        readBackNeeded_ = false;
        stale_ = false;
        if (inDoubtWrite_ || superseded())
            nextTableRequestAt_ = time.now + options_.retryDelay;
        return;
    }
    if (std::holds_alternative<RecordMissing>(result) && !record_) {
        missing_ = true;
        readNeeded_ = false;
        readBackNeeded_ = false;
        confirmedAt_ = time.now;
        if (inDoubtWrite_)
            nextTableRequestAt_ = time.now + options_.retryDelay;
        return;
    }
    nextTableRequestAt_ = time.now + options_.retryDelay;
}

void ShardRole::recordWritten(const RecordWrite& result, ClockReadings time)
{
    if (!pendingWrite_)
        return;
    const auto write = *std::exchange(pendingWrite_, std::nullopt);
    if (const auto* written = std::get_if<RecordWritten>(&result)) {
        adopt(write, written->tag, time);
        confirmedAt_ = time.now;
        stale_ = false;
    } else if (std::holds_alternative<RecordConflict>(result)) {
        // Another process has written a record of this or a later epoch.
        highestObservedEpoch_ = std::max(highestObservedEpoch_, write.epoch);
        readNeeded_ = true;
        readBackNeeded_ = true;
    } else if (std::holds_alternative<RecordInDoubt>(result)) {
        if (write.epoch > epoch())
            inDoubtWrite_ = write;
        readNeeded_ = true;
        readBackNeeded_ = true;
    } else {
        nextTableRequestAt_ = time.now + options_.retryDelay;
    }
}

void ShardRole::observeEpoch(Epoch epoch)
{
    highestObservedEpoch_ = std::max(highestObservedEpoch_, epoch);
    if (!record_ || highestObservedEpoch_ > record_->epoch)
        readNeeded_ = true;
}

void ShardRole::candidateIncomplete() { candidateComplete_ = false; }

void ShardRole::candidateProgressed(bool complete, TimePoint now)
{
    candidateComplete_ = complete;
    candidateProgressAt_ = now;
}

void ShardRole::requestRecordCheck(TimePoint now)
{
    if (now >= confirmedAt_ + options_.retryDelay)
        readNeeded_ = true;
}

void ShardRole::handoverRequested(const ProcessId& from, Epoch epoch)
{
    if (record_ && record_->epoch == epoch && record_->primary == from && record_->backup == options_.self)
        handoverRequested_ = true;
}

bool ShardRole::stageSnapshot(const ProcessId& primary, Epoch target)
{
    const std::pair offered(target, primary);
    if (target <= epoch())
        return target == epoch() && record_->primary == primary && record_->backup == options_.self;
    if (!staged_ || staged_->first <= target)
        staged_ = offered;
    return staged_ == offered;
}

bool ShardRole::acceptsReplication(const ProcessId& primary, Epoch replicated, ClockReadings time)
{
    if (hasUnconfirmedWrite() || promoting_)
        return false;
    if (replicated == epoch())
        return record_ && record_->primary == primary && record_->backup == options_.self;
    if (replicated < epoch())
        return false;
    readNeeded_ = true;
    if (staged_ != std::pair(replicated, primary))
        return false;
    // The primary replicates in an epoch only after its write succeeded, and writes only after this process
    // acknowledged the snapshot. So the record can be adopted without reading the table.
    adopt(ShardRecord { replicated, primary, options_.self, record_ ? record_->historyUnknownUntilMs : 0 },
        std::nullopt, time);
    return true;
}

void ShardRole::markStale(TimePoint now)
{
    stale_ = true;
    readNeeded_ = true;
    // Heartbeats that queued up during the pause have to be processed before a process is considered lost.
    lossDetectionStart_ = std::max(lossDetectionStart_.value_or(now), now + options_.startupGrace);
}

bool ShardRole::mayStartReplicated() const
{
    return isPrimary() && record_->backup && !hasUnconfirmedWrite() && !superseded();
}

bool ShardRole::mayStartUnreplicated() const
{
    return isPrimary() && !record_->backup && !hasUnconfirmedWrite() && !superseded() && noBackupAvailable_
        && unreplicatedStartAllowed_;
}

bool ShardRole::historyUnknown(ClockReadings time) const
{
    if (!record_ || record_->historyUnknownUntilMs == 0)
        return false;
    const auto margin = std::chrono::duration_cast<std::chrono::milliseconds>(options_.clockMargin).count();
    return time.wallClockMs < record_->historyUnknownUntilMs + margin;
}

} // namespace Balsammill
