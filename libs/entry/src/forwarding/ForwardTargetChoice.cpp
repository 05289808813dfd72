#include "ForwardTargetChoice.h"

#include <algorithm>
#include <tuple>

namespace Balsammill::Detail {

std::int64_t ForwardTargetChoice::roomOf(const Member& member, const ReportedLoad& load) const
{
    std::int64_t room = load.freeSlots.value;
    for (const auto& sent : recent_) {
        if (sent.vm == member.id.vm && sent.service == load.service)
            room -= sent.slots.value;
    }
    return room;
}

std::vector<ProcessId> ForwardTargetChoice::candidates(
    const MemberView& view, const ServiceName& service, Slots needed, const OwnQueue& own, TimePoint now)
{
    while (!recent_.empty() && recent_.front().at + options_.reportAge <= now)
        recent_.pop_front();
    struct Candidate {
        bool otherDomain;
        std::int64_t room;
        Duration wait;
        ProcessId id;
    };
    std::vector<Candidate> found;
    for (const auto& member : view.members) {
        if (member.liveness != Liveness::Alive || member.leaving)
            continue;
        const auto load = std::find_if(member.loads.begin(), member.loads.end(),
            [&](const ReportedLoad& reported) { return reported.service == service; });
        if (load == member.loads.end())
            continue;
        const bool otherDomain = member.failureDomain != view.ownDomain;
        const bool mayStartHere = own.totalSlots > Slots(0);
        if (load->totalSlots == Slots(0)
            || (mayStartHere && otherDomain && own.expectedWait - load->expectedWait <= options_.otherDomainDelay))
            continue;
        const auto room = roomOf(member, *load);
        const bool hasRoom = room >= static_cast<std::int64_t>(std::max(needed.value, 1U));
        if (hasRoom || !mayStartHere)
            found.push_back({ otherDomain, hasRoom ? room : 0, load->expectedWait, member.id });
    }
    std::sort(found.begin(), found.end(), [](const Candidate& first, const Candidate& second) {
        return std::tuple(first.otherDomain, -first.room, first.wait, first.id)
            < std::tuple(second.otherDomain, -second.room, second.wait, second.id);
    });
    std::vector<ProcessId> ids;
    for (auto& candidate : found)
        ids.push_back(std::move(candidate.id));
    return ids;
}

void ForwardTargetChoice::noteSent(
    RequestId id, const VmName& vm, const ServiceName& service, Slots slots, TimePoint now)
{
    recent_.push_back({ id, now, vm, service, Slots(std::max(slots.value, 1U)) });
}

void ForwardTargetChoice::noteEnded(RequestId id)
{
    std::erase_if(recent_, [&](const Sent& sent) { return sent.id == id; });
}

} // namespace Balsammill::Detail
