#include "balsammill/membership/MemberTable.h"

#include <algorithm>

namespace Balsammill {

MemberTable::MemberTable(MemberTableOptions options)
    : options_(std::move(options))
{
}

std::size_t MemberTable::applyList(const std::vector<ListedEntry>& rows, TimePoint now)
{
    std::map<VmName, ListedEntry> merged;
    const auto ignored = mergeRows(rows, merged);
    if (merged.empty())
        return ignored;
    selfLeavingByList_ = false;
    for (const auto& [vm, row] : merged)
        applyRow(row, now);
    markMissing(merged, now);
    return ignored;
}

std::size_t MemberTable::mergeRows(const std::vector<ListedEntry>& rows, std::map<VmName, ListedEntry>& merged) const
{
    std::size_t ignored = 0;
    for (const auto& row : rows) {
        if (row.vm.empty() || row.failureDomain.empty()) {
            ++ignored;
            continue;
        }
        const auto [position, isNew] = merged.try_emplace(row.vm, row);
        if (isNew)
            continue;
        // If rows repeat a name, the row with the known address takes precedence. The VM counts as leaving if any of
        // the rows says so, because sending new work to a leaving VM is the worse mistake.
        ++ignored;
        const bool leaving = position->second.leaving || row.leaving;
        const auto known = entries_.find(row.vm);
        if (known != entries_.end() && known->second.address == row.peerAddress)
            position->second = row;
        position->second.leaving = leaving;
    }
    return ignored;
}

void MemberTable::applyRow(const ListedEntry& row, TimePoint now)
{
    if (row.vm == options_.self.vm) {
        selfLeavingByList_ = row.leaving;
        return;
    }
    const auto [position, isNew] = entries_.try_emplace(row.vm);
    auto& entry = position->second;
    if (isNew)
        entry.lastHeartbeatAt = now;
    // A heartbeat carries the domain from the settings of its sender, so the domain in the list is only used until the
    // first heartbeat.
    if (!entry.receivedHeartbeat)
        entry.failureDomain = row.failureDomain;
    entry.address = row.peerAddress;
    entry.leavingByList = row.leaving;
    entry.listed = true;
    entry.missingLists = 0;
}

void MemberTable::markMissing(const std::map<VmName, ListedEntry>& listed, TimePoint now)
{
    for (auto& [vm, entry] : entries_) {
        if (listed.contains(vm))
            continue;
        entry.listed = false;
        ++entry.missingLists;
    }
    // A removed member stays in the view as dead for some time, so that its shards and upstreams are taken over as
    // those of a dead member.
    const auto removedRetention = 20 * options_.deadAfter;
    std::erase_if(entries_, [&](const auto& item) {
        return isRemoved(item.second) && now - item.second.lastHeartbeatAt > removedRetention;
    });
}

bool MemberTable::applyHeartbeat(const HeartbeatUpdate& heartbeat, TimePoint now)
{
    if (heartbeat.sender.vm == options_.self.vm)
        return false;
    auto& entry = entries_[heartbeat.sender.vm];
    if (heartbeat.sender.incarnation < entry.incarnation)
        return false;
    entry.incarnation = heartbeat.sender.incarnation;
    entry.failureDomain = heartbeat.failureDomain;
    entry.configVersion = heartbeat.configVersion;
    entry.leavingByHeartbeat = heartbeat.leaving;
    entry.loads = heartbeat.loads;
    entry.lastHeartbeatAt = now;
    entry.receivedHeartbeat = true;
    return true;
}

void MemberTable::setDrained(std::set<VmName> drained) { drained_ = std::move(drained); }

void MemberTable::recordPause(TimePoint from, TimePoint until)
{
    selfSuspect_ = true;
    for (auto& [vm, entry] : entries_) {
        if (livenessOf(entry, from) != Liveness::Dead)
            entry.lastHeartbeatAt = std::max(entry.lastHeartbeatAt, until - options_.suspectAfter);
    }
}

bool MemberTable::isRemoved(const Entry& entry) const
{
    return !entry.listed && entry.missingLists >= options_.missingListsBeforeRemoval;
}

Duration MemberTable::heartbeatTimeout(const Entry& entry) const
{
    if (entry.failureDomain == options_.ownDomain)
        return options_.deadAfter;
    // A member of another domain sends heartbeats to the entries of this domain in turn, so each entry receives them
    // less often.
    const auto ownEntries = 1 + std::count_if(entries_.begin(), entries_.end(), [&](const auto& item) {
        return item.second.failureDomain == options_.ownDomain;
    });
    return options_.deadAfter + 2 * options_.heartbeatInterval * ownEntries;
}

Liveness MemberTable::livenessOf(const Entry& entry, TimePoint now) const
{
    const auto sinceLastHeartbeat = now - entry.lastHeartbeatAt;
    const bool ownDomain = entry.failureDomain == options_.ownDomain;
    const bool timedOut = sinceLastHeartbeat >= heartbeatTimeout(entry);
    if (timedOut && (ownDomain || isRemoved(entry)))
        return Liveness::Dead;
    if (!ownDomain)
        return timedOut || !entry.receivedHeartbeat ? Liveness::Unreachable : Liveness::Alive;
    return sinceLastHeartbeat >= options_.suspectAfter || !entry.receivedHeartbeat ? Liveness::Suspect
                                                                                   : Liveness::Alive;
}

MemberView MemberTable::view(TimePoint now) const
{
    MemberView view { .self = options_.self,
        .ownDomain = options_.ownDomain,
        .members = {},
        .selfSuspect = selfSuspect_,
        .selfLeaving = selfLeaving_ || selfLeavingByList_ || drained_.contains(options_.self.vm) };
    for (const auto& [vm, entry] : entries_) {
        view.members.push_back({ .id = { vm, entry.incarnation },
            .failureDomain = entry.failureDomain,
            .peerAddress = entry.address,
            .liveness = livenessOf(entry, now),
            .leaving = entry.leavingByList || entry.leavingByHeartbeat || drained_.contains(vm),
            .configVersion = entry.configVersion,
            .loads = entry.loads });
    }
    return view;
}

std::map<VmName, NetworkAddress> MemberTable::peerAddresses() const
{
    std::map<VmName, NetworkAddress> addresses;
    for (const auto& [vm, entry] : entries_) {
        if (!entry.address.empty())
            addresses.emplace(vm, entry.address);
    }
    return addresses;
}

} // namespace Balsammill
