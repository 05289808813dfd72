#include "balsammill/jobs/ShardRole.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Balsammill {

std::string ShardRole::subject() const { return shardTableKey(options_.domain, options_.shard); }

bool ShardRole::lost(const DomainPeers& peers, const ProcessId& process, TimePoint now) const
{
    return now >= *judgeFrom_ && !peers.selfSuspect() && peers.isLost(process);
}

std::vector<RoleAction> ShardRole::reconcile(const DomainPeers& peers, LedgerTime time)
{
    if (!judgeFrom_)
        judgeFrom_ = time.now + options_.startupGrace;
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
        // Another entry may have created the record since this process found it missing.
        if (missing_ && !unresolvedWrite_ && now >= confirmedAt_ + options_.retryDelay)
            readNeeded_ = true;
        return;
    }
    const bool holder = record_->primary == options_.self || record_->backup == options_.self;
    const bool primaryLost = lost(peers, record_->primary, now);
    if (!writeUnsettled())
        promoting_ = record_->backup == options_.self && (handoverRequested_ || primaryLost);
    if (isPrimary() && !record_->backup && now >= *judgeFrom_ && peers.ranked(subject()).empty())
        alone_ = true;
    aloneAllowed_ = !stale_ && (!peers.anyDead() || now < confirmedAt_ + options_.aloneConfirmLimit);
    const bool vacant = !holder && primaryLost && (!record_->backup || lost(peers, *record_->backup, now));
    if (!vacant)
        vacantSince_.reset();
    else if (!vacantSince_)
        vacantSince_ = now;
    if (now >= confirmedAt_ + options_.confirmInterval)
        readNeeded_ = true;
    // In these states the record changes soon: this process becomes the backup, is released before it leaves, or has to
    // find the shard's next primary.
    const bool changesSoon
        = (staged_ && staged_->first > epoch()) || (holder && peers.selfLeaving()) || (!holder && primaryLost);
    if (changesSoon && now >= confirmedAt_ + options_.retryDelay)
        readNeeded_ = true;
}

std::optional<RoleAction> ShardRole::decideTableRequest(const DomainPeers& peers, LedgerTime time)
{
    // One read back, then the write again; other reasons to read must not keep it from being repeated.
    if (unresolvedWrite_)
        return readBackNeeded_ ? startRead() : startWrite(*unresolvedWrite_, writeTag_);
    if (superseded() || (!record_ && !missing_))
        return startRead();
    std::optional<RoleAction> action;
    if (!record_)
        action = decideCreation(peers, time.now);
    else if (isPrimary())
        action = decideAsPrimary(peers, time);
    else if (promoting_)
        action = writeNext(std::nullopt, record_->historyUnknownUntilMs);
    else
        action = decideTakeover(peers, time);
    if (!action && readNeeded_)
        return startRead();
    return action;
}

std::optional<RoleAction> ShardRole::decideCreation(const DomainPeers& peers, TimePoint now)
{
    const bool complete = peers.allAlive() || now >= *judgeFrom_;
    if (!complete || readNeeded_ || peers.selfSuspect() || peers.selfLeaving() || !peers.selfRanksFirst(subject()))
        return std::nullopt;
    return startWrite(ShardRecord { Epoch { 1 }, options_.self }, std::nullopt);
}

std::optional<RoleAction> ShardRole::decideAsPrimary(const DomainPeers& peers, LedgerTime time)
{
    if (candidate_)
        return candidateComplete_ ? std::optional(writeNext(candidate_, record_->historyUnknownUntilMs)) : std::nullopt;
    if (record_->backup && lost(peers, *record_->backup, time.now))
        return writeNext(std::nullopt, record_->historyUnknownUntilMs);
    return std::nullopt;
}

std::optional<RoleAction> ShardRole::decideTakeover(const DomainPeers& peers, LedgerTime time)
{
    if (!vacantSince_ || peers.selfLeaving())
        return std::nullopt;
    const auto delay = peers.selfRanksFirst(subject()) ? options_.takeoverDelay : options_.vacancyLimit;
    if (time.now < *vacantSince_ + delay)
        return std::nullopt;
    // An old primary without backup may still admit jobs until it has to confirm its record.
    const auto unknownFor
        = std::chrono::duration_cast<std::chrono::milliseconds>(options_.historyRetention + options_.aloneConfirmLimit);
    return writeNext(std::nullopt, std::max(record_->historyUnknownUntilMs, time.wallClockMs + unknownFor.count()));
}

std::optional<RoleAction> ShardRole::chooseCandidate(const DomainPeers& peers, TimePoint now)
{
    if (!isPrimary() || writeUnsettled() || superseded())
        return std::nullopt;
    const auto& backup = record_->backup;
    if (backup && !lost(peers, *backup, now) && !peers.isLeaving(*backup)) {
        candidate_.reset();
        return std::nullopt;
    }
    auto processes = peers.ranked(subject());
    std::erase_if(processes, [&backup](const ProcessId& process) { return process == backup; });
    const auto current = candidate_ ? std::find(processes.begin(), processes.end(), *candidate_) : processes.end();
    const bool silent = now >= candidateProgressAt_ + options_.candidateTimeout;
    if (current != processes.end() && (candidateComplete_ || !silent || processes.size() == 1))
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
    if (!peers.selfLeaving() || !isPrimary() || writeUnsettled() || superseded() || now < nextHandoverAt_)
        return std::nullopt;
    if (!record_->backup || !peers.isAlive(*record_->backup) || peers.isLeaving(*record_->backup))
        return std::nullopt;
    nextHandoverAt_ = now + options_.retryDelay;
    // The next round learns from the table whether the backup has taken over.
    readNeeded_ = true;
    return RequestHandover { *record_->backup, record_->epoch };
}

void ShardRole::updateKind(const DomainPeers& peers, TimePoint now)
{
    if (!record_) {
        kind_ = writeUnsettled() ? ShardRoleKind::Promoting : ShardRoleKind::NotHolder;
    } else if (!isPrimary()) {
        const bool backup = record_->backup == options_.self;
        if (writeUnsettled() || promoting_)
            kind_ = ShardRoleKind::Promoting;
        else
            kind_ = backup ? ShardRoleKind::Backup : ShardRoleKind::NotHolder;
    } else if (peers.selfLeaving()) {
        kind_ = ShardRoleKind::HandingOver;
    } else {
        const bool paired = mayStartAcknowledged() && !lost(peers, *record_->backup, now);
        const bool open = !peers.selfSuspect() && (paired || mayStartAlone());
        kind_ = open ? ShardRoleKind::Primary : ShardRoleKind::PrimaryUnconfirmed;
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

RoleAction ShardRole::writeNext(const std::optional<ProcessId>& backup, std::int64_t historyUnknownUntilMs)
{
    if (!tag_)
        return startRead();
    return startWrite(ShardRecord { Epoch { epoch().value + 1 }, options_.self, backup, historyUnknownUntilMs }, tag_);
}

} // namespace Balsammill
