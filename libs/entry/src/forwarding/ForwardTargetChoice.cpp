#include "ForwardTargetChoice.h"

#include <algorithm>
#include <tuple>

namespace Balsammill::Detail {

std::int64_t ForwardTargetChoice::availableSlots(const Member& member, const ReportedLoad& load) const
{
    std::int64_t available = load.freeSlots.value;
    for (const auto& sent : recentForwards_) {
        if (sent.vm == member.id.vm && sent.service == load.service)
            available -= sent.slots.value;
    }
    return available;
}

std::vector<ProcessId> ForwardTargetChoice::candidates(
    const MemberView& view, const ServiceName& service, Slots needed, const LocalQueueLoad& own, TimePoint now)
{
    while (!recentForwards_.empty() && recentForwards_.front().at + options_.maxReportAge <= now)
        recentForwards_.pop_front();
    struct Candidate {
        bool otherDomain;
        std::int64_t available;
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
        const bool hasOwnSlots = own.totalSlots > Slots(0);
        if (load->totalSlots == Slots(0)
            || (hasOwnSlots && otherDomain && own.expectedWait - load->expectedWait <= options_.otherDomainDelay))
            continue;
        const auto available = availableSlots(member, *load);
        const bool hasCapacity = available >= static_cast<std::int64_t>(std::max(needed.value, 1U));
        if (hasCapacity || !hasOwnSlots)
            found.push_back({ otherDomain, hasCapacity ? available : 0, load->expectedWait, member.id });
    }
    std::sort(found.begin(), found.end(), [](const Candidate& first, const Candidate& second) {
        return std::tuple(first.otherDomain, -first.available, first.wait, first.id)
            < std::tuple(second.otherDomain, -second.available, second.wait, second.id);
    });
    std::vector<ProcessId> ids;
    for (auto& candidate : found)
        ids.push_back(std::move(candidate.id));
    return ids;
}

void ForwardTargetChoice::recordSent(
    RequestId id, const VmName& vm, const ServiceName& service, Slots slots, TimePoint now)
{
    recentForwards_.push_back({ id, now, vm, service, Slots(std::max(slots.value, 1U)) });
}

void ForwardTargetChoice::recordEnded(RequestId id)
{
    std::erase_if(recentForwards_, [&](const Sent& sent) { return sent.id == id; });
}

} // namespace Balsammill::Detail
