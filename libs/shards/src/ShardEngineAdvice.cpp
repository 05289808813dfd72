#include "ShardEngineDetail.h"

#include <algorithm>
#include <tuple>

namespace Balsammill::Shards {

namespace {

// Number of upstreams in a request for each waiting task, so that a policy that allows a quarter of them yields one.
constexpr std::size_t upstreamsAskedPerTask = 4;
// A request about this few upstreams takes little longer than one about a single upstream.
constexpr std::size_t minUpstreamsAsked = 8;

} // namespace

void ShardEngine::requestPermits(Job& job, std::uint32_t stepIndex, TimePoint now)
{
    auto& step = job.steps[stepIndex];
    if (step.permits.isWaiting(now))
        return;
    struct Candidate {
        bool hasFreeCapacity { false };
        bool allowed { false };
        std::int64_t freeMilliCores { 0 };
        const UpstreamInfo* info { nullptr };
    };
    std::vector<Candidate> candidates;
    const auto& spec = job.spec->steps[stepIndex];
    for (const auto& [id, upstream] : upstreams_) {
        if (isUsable(upstream, now) && canHold(upstream, *job.spec, spec)
            && !step.permits.isDecided(upstream.info, now))
            candidates.push_back({ .hasFreeCapacity = spec.need.fitsIn(upstream.freeCapacity),
                .allowed = step.permits.isAllowed(upstream.info),
                .freeMilliCores = upstream.freeCapacity.milliCores,
                .info = &upstream.info });
    }
    if (candidates.empty())
        return;
    const auto wantedCount = std::max(upstreamsAskedPerTask * step.waiting, minUpstreamsAsked);
    const auto count = std::min({ wantedCount, StepPermits::maxUpstreamsAsked, candidates.size() });
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count), candidates.end(),
        [](const Candidate& a, const Candidate& b) {
            return std::tie(a.hasFreeCapacity, a.allowed, a.freeMilliCores)
                > std::tie(b.hasFreeCapacity, b.allowed, b.freeMilliCores);
        });
    PermitRequest request { .job = job.key, .step = stepIndex, .policy = *job.spec->advice, .upstreams = {} };
    std::vector<const UpstreamInfo*> asked;
    for (std::size_t i = 0; i < count; ++i) {
        request.upstreams.push_back(candidates[i].info->id);
        asked.push_back(candidates[i].info);
    }
    step.permits.markRequested(asked);
    actions_.emplace_back(std::move(request));
}

void ShardEngine::handlePermits(const PermitRequest& request, const Tickets& tickets, TimePoint sentAt, TimePoint now)
{
    auto* job = findJob(request.job);
    if (job != nullptr && request.step < job->steps.size())
        job->steps[request.step].permits.handleAnswer(request.upstreams, tickets, sentAt, request.policy.validity, now);
}

void ShardEngine::handlePermitFailure(const PermitRequest& request, TimePoint now)
{
    auto* job = findJob(request.job);
    if (job != nullptr && request.step < job->steps.size())
        job->steps[request.step].permits.handleNoAnswer(request.upstreams, now);
}

} // namespace Balsammill::Shards
