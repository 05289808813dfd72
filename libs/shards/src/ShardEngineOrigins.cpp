#include "ShardEngineDetail.h"

#include <algorithm>

namespace Balsammill::Shards {

void ShardEngine::confirmOrigin(OriginId origin, TimePoint confirmedAt)
{
    const auto [entry, added] = originConfirmedAt_.try_emplace(origin, confirmedAt);
    if (!added) {
        entry->second = std::max(entry->second, confirmedAt);
        return;
    }
    for (auto& [id, upstream] : upstreams_) {
        for (auto& [task, run] : upstream.runs)
            run.awaitsConfirmation = run.awaitsConfirmation && run.origin != origin;
    }
}

void ShardEngine::setOrigin(SubmissionId submission, OriginId origin)
{
    const auto found = submissions_.find(submission);
    if (found == submissions_.end())
        return;
    if (auto* job = findJob(found->second))
        setOrigin(*job, origin);
}

void ShardEngine::setOrigin(Job& job, OriginId origin)
{
    job.origin = origin;
    for (auto& [id, upstream] : upstreams_) {
        for (auto& [task, run] : upstream.runs) {
            if (run.job != job.key)
                continue;
            run.origin = origin;
            run.awaitsConfirmation = latestEndFor(origin) == TimePoint::min();
        }
    }
}

void ShardEngine::forgetOrigin(OriginId origin)
{
    for (auto& [id, upstream] : upstreams_) {
        for (auto& [task, run] : upstream.runs) {
            if (run.origin == origin)
                run.endBy = latestEndOf(run);
        }
    }
    originConfirmedAt_.erase(origin);
}

bool ShardEngine::isOriginConfirmed(const Job& job, TimePoint now) const
{
    if (job.origin == OriginId())
        return now + minStartLease <= ownershipValidUntil_;
    const auto confirmed = originConfirmedAt_.find(job.origin);
    return confirmed != originConfirmedAt_.end() && now <= confirmed->second + options_.confirmationTimeout;
}

TimePoint ShardEngine::latestEndFor(OriginId origin) const
{
    if (origin == OriginId())
        return ownershipValidUntil_;
    const auto confirmed = originConfirmedAt_.find(origin);
    return confirmed == originConfirmedAt_.end() ? TimePoint::min() : confirmed->second + options_.clientResendDelay;
}

TimePoint ShardEngine::latestEndOf(const Run& run) const { return run.endBy.value_or(latestEndFor(run.origin)); }

bool ShardEngine::Upstream::mayExtendLease(TimePoint now) const
{
    return std::none_of(runs.begin(), runs.end(), [now](const auto& entry) {
        const auto& run = entry.second;
        const bool stopOverdue = run.state == RunState::Stopping && run.stopSentAt + stopTimeout <= now;
        return stopOverdue || run.awaitsConfirmation || run.endBy.value_or(TimePoint::max()) < now + minStartLease;
    });
}

void ShardEngine::noteLease(const UpstreamId& id, TimePoint endsBy)
{
    if (const auto found = upstreams_.find(id); found != upstreams_.end())
        found->second.leaseEndsBy = std::max(found->second.leaseEndsBy, endsBy);
}

TimePoint ShardEngine::leaseLimit(const UpstreamId& id) const
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end())
        return TimePoint::max();
    // A lease applies to everything that runs on the upstream.
    auto limit = found->second.hasDurableWork() ? ownershipValidUntil_ : TimePoint::max();
    for (const auto& [task, run] : found->second.runs)
        limit = std::min(limit, latestEndOf(run));
    return limit;
}

bool ShardEngine::isLeaseLimitedByOwnership(const Upstream& upstream, TimePoint now) const
{
    return now + minStartLease > ownershipValidUntil_ && upstream.hasDurableWork();
}

void ShardEngine::noteLapsedLeases(TimePoint now)
{
    for (auto& [id, upstream] : upstreams_) {
        if (now <= upstream.leaseEndsBy)
            continue;
        for (auto& end : upstream.unrecorded)
            end.leaseLapsed = true;
    }
}

} // namespace Balsammill::Shards
