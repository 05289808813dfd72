#include "balsammill/jobs/ShardRole.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Balsammill {

std::string ShardRole::placementKey() const { return shardTableKey(options_.domain, options_.shard); }

bool ShardRole::lost(const DomainPeers& peers, const ProcessId& process, TimePoint now) const
{
    return now >= *lossDetectionStart_ && !peers.selfSuspect() && peers.isLost(process);
}

std::vector<RoleAction> ShardRole::reconcile(const DomainPeers& peers, ClockReadings time)
{
    if (!lossDetectionStart_)
        lossDetectionStart_ = time.now + options_.startupGrace;
    updateFlags(peers, time.now);
    std::vector<RoleAction> actions;
    const auto add = [&actions](std::optional<RoleAction> action) {
        if (action)
            actions.push_back(std::move(*action));
    };
    add(chooseCandidate(peers, time.now));
    if (!readPending_ && !pendingWrite_ && time.now >= nextTableRequestAt_)
        add(decideTableRequest(peers, time));
    add(requestHandover(peers, time.now));
    updateKind(peers, time.now);
    return actions;
}

void ShardRole::updateFlags(const DomainPeers& peers, TimePoint now)
{
    if (!record_) {
        // Another process may have created the record since the last read found none.
        if (missing_ && !inDoubtWrite_ && now >= confirmedAt_ + options_.retryDelay)
            readNeeded_ = true;
        return;
    }
    const bool isHolder = record_->primary == options_.self || record_->backup == options_.self;
    const bool primaryLost = lost(peers, record_->primary, now);
    if (!hasUnconfirmedWrite())
        promoting_ = record_->backup == options_.self && (handoverRequested_ || primaryLost);
    if (isPrimary() && !record_->backup && now >= *lossDetectionStart_ && peers.ranked(placementKey()).empty())
        noBackupAvailable_ = true;
    unreplicatedStartAllowed_
        = !stale_ && (!peers.anyNotAlive() || now < confirmedAt_ + options_.unreplicatedConfirmTimeout);
    const bool holdersLost = !isHolder && primaryLost && (!record_->backup || lost(peers, *record_->backup, now));
    if (!holdersLost)
        holdersLostSince_.reset();
    else if (!holdersLostSince_)
        holdersLostSince_ = now;
    if (now >= confirmedAt_ + options_.confirmInterval)
        readNeeded_ = true;
    // The record is about to change if this process becomes the backup, is replaced because it is leaving, or waits for
    // a new primary of the shard.
    const bool recordChangeExpected
        = (staged_ && staged_->first > epoch()) || (isHolder && peers.selfLeaving()) || (!isHolder && primaryLost);
    if (recordChangeExpected && now >= confirmedAt_ + options_.retryDelay)
        readNeeded_ = true;
}

std::optional<RoleAction> ShardRole::decideTableRequest(const DomainPeers& peers, ClockReadings time)
{
    // Reads the table once and then repeats the write. Other pending reads must not delay the repetition.
    if (inDoubtWrite_)
        return readBackNeeded_ ? startRead() : startWrite(*inDoubtWrite_, writeTag_);
    if (superseded() || (!record_ && !missing_))
        return startRead();
    std::optional<RoleAction> action;
    if (!record_)
        action = decideCreation(peers, time.now);
    else if (isPrimary())
        action = decideAsPrimary(peers, time);
    else if (promoting_)
        action = writeNextEpoch(std::nullopt, record_->historyUnknownUntilMs);
    else
        action = decideTakeover(peers, time);
    if (!action && readNeeded_)
        return startRead();
    return action;
}

std::optional<RoleAction> ShardRole::decideCreation(const DomainPeers& peers, TimePoint now)
{
    const bool membershipKnown = peers.allAlive() || now >= *lossDetectionStart_;
    if (!membershipKnown || readNeeded_ || peers.selfSuspect() || peers.selfLeaving()
        || !peers.selfRanksFirst(placementKey()))
        return std::nullopt;
    return startWrite(ShardRecord { Epoch { 1 }, options_.self }, std::nullopt);
}

std::optional<RoleAction> ShardRole::decideAsPrimary(const DomainPeers& peers, ClockReadings time)
{
    if (candidate_)
        return candidateComplete_ ? std::optional(writeNextEpoch(candidate_, record_->historyUnknownUntilMs))
                                  : std::nullopt;
    if (record_->backup && lost(peers, *record_->backup, time.now))
        return writeNextEpoch(std::nullopt, record_->historyUnknownUntilMs);
    return std::nullopt;
}

std::optional<RoleAction> ShardRole::decideTakeover(const DomainPeers& peers, ClockReadings time)
{
    if (!holdersLostSince_ || peers.selfLeaving())
        return std::nullopt;
    const auto delay = peers.selfRanksFirst(placementKey()) ? options_.takeoverDelay : options_.fallbackTakeoverDelay;
    if (time.now < *holdersLostSince_ + delay)
        return std::nullopt;
    // A previous primary without a backup may have admitted jobs until its record had to be confirmed again.
    const auto historyUnknownPeriod = std::chrono::duration_cast<std::chrono::milliseconds>(
        options_.historyRetention + options_.unreplicatedConfirmTimeout);
    return writeNextEpoch(
        std::nullopt, std::max(record_->historyUnknownUntilMs, time.wallClockMs + historyUnknownPeriod.count()));
}

std::optional<RoleAction> ShardRole::chooseCandidate(const DomainPeers& peers, TimePoint now)
{
    if (!isPrimary() || hasUnconfirmedWrite() || superseded())
        return std::nullopt;
    const auto& backup = record_->backup;
    if (backup && !lost(peers, *backup, now) && !peers.isLeaving(*backup)) {
        candidate_.reset();
        return std::nullopt;
    }
    auto processes = peers.ranked(placementKey());
    std::erase_if(processes, [&backup](const ProcessId& process) { return process == backup; });
    const auto current = candidate_ ? std::find(processes.begin(), processes.end(), *candidate_) : processes.end();
    const bool timedOut = now >= candidateProgressAt_ + options_.candidateTimeout;
    if (current != processes.end() && (candidateComplete_ || !timedOut || processes.size() == 1))
        return std::nullopt;
    candidate_.reset();
    candidateComplete_ = false;
    if (processes.empty())
        return std::nullopt;
    const bool last = current == processes.end() || std::next(current) == processes.end();
    candidate_ = last ? processes.front() : *std::next(current);
    candidateProgressAt_ = now;
    return OfferSnapshot { *candidate_, Epoch { epoch().value + 1 } };
}

std::optional<RoleAction> ShardRole::requestHandover(const DomainPeers& peers, TimePoint now)
{
    if (!peers.selfLeaving() || !isPrimary() || hasUnconfirmedWrite() || superseded() || now < nextHandoverAt_)
        return std::nullopt;
    if (!record_->backup || !peers.isAlive(*record_->backup) || peers.isLeaving(*record_->backup))
        return std::nullopt;
    nextHandoverAt_ = now + options_.retryDelay;
    // The read shows whether the backup has taken over.
    readNeeded_ = true;
    return RequestHandover { *record_->backup, record_->epoch };
}

void ShardRole::updateKind(const DomainPeers& peers, TimePoint now)
{
    if (!record_) {
        kind_ = hasUnconfirmedWrite() ? ShardRoleKind::Promoting : ShardRoleKind::NotHolder;
    } else if (!isPrimary()) {
        const bool backup = record_->backup == options_.self;
        if (hasUnconfirmedWrite() || promoting_)
            kind_ = ShardRoleKind::Promoting;
        else
            kind_ = backup ? ShardRoleKind::Backup : ShardRoleKind::NotHolder;
    } else if (peers.selfLeaving()) {
        kind_ = ShardRoleKind::HandingOver;
    } else {
        const bool backupUsable = mayStartReplicated() && !lost(peers, *record_->backup, now);
        const bool admitsJobs = !peers.selfSuspect() && (backupUsable || mayStartUnreplicated());
        kind_ = admitsJobs ? ShardRoleKind::Primary : ShardRoleKind::PrimaryUnconfirmed;
    }
}

RoleAction ShardRole::startRead()
{
    readPending_ = true;
    return ReadOwnRecord {};
}

RoleAction ShardRole::startWrite(const ShardRecord& record, std::optional<std::string> expectedTag)
{
    pendingWrite_ = record;
    writeTag_ = expectedTag;
    return WriteOwnRecord { record, std::move(expectedTag) };
}

RoleAction ShardRole::writeNextEpoch(const std::optional<ProcessId>& backup, std::int64_t historyUnknownUntilMs)
{
    if (!tag_)
        return startRead();
    return startWrite(ShardRecord { Epoch { epoch().value + 1 }, options_.self, backup, historyUnknownUntilMs }, tag_);
}

} // namespace Balsammill
