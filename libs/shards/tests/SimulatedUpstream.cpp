#include "SimulatedUpstream.h"

#include <algorithm>

namespace Balsammill::Shards::Testing {

void SimulatedUpstream::end(const TaskKey& task, RunEnd how)
{
    const auto found
        = std::find_if(running.begin(), running.end(), [&](const Running& each) { return each.task == task; });
    if (found == running.end())
        return;
    ended.push_back({ .sequence = ++lastSequence, .task = task, .run = found->run, .how = how, .checkpoint = {} });
    if (how == RunEnd::Done)
        done.push_back({ .sequence = lastSequence, .task = task });
    running.erase(found);
}

void SimulatedUpstream::restart()
{
    SimulatedUpstream next;
    next.startedUnixMs = startedUnixMs + 1;
    next.maxListedEnds = maxListedEnds;
    *this = next;
}

UpstreamReport SimulatedUpstream::report(std::uint64_t acknowledged, bool ofThisIncarnation)
{
    std::erase_if(ended, [&](const EndedTask& each) { return each.sequence <= acknowledged; });
    // A sequence number of an earlier incarnation makes this one drop ends that the owner has not seen.
    for (auto& each : done) {
        const bool forgotten = each.sequence <= acknowledged;
        each.mayRunAgain = each.mayRunAgain || (forgotten && !each.acknowledged && !ofThisIncarnation);
        each.acknowledged = each.acknowledged || forgotten;
    }
    UpstreamReport report { .startedUnixMs = startedUnixMs, .running = {}, .ended = ended };
    // As in the decoder of reports: a full list may lack ends.
    report.complete = ended.size() < maxListedEnds;
    report.ended.resize(std::min(ended.size(), maxListedEnds));
    for (const auto& each : running) {
        if (each.stopEffectiveAt == 0)
            report.running.push_back({ .task = each.task, .run = each.run, .checkpoint = {} });
    }
    return report;
}

} // namespace Balsammill::Shards::Testing
