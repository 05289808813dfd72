#include "ShardEngineDetail.h"

#include <algorithm>
#include <tuple>

namespace Balsammill::Shards {

namespace {

// How many upstreams are asked about for each waiting task, so that a policy which allows a quarter of them leaves one.
constexpr std::size_t askedPerTask = 4;
// A question about so few costs little more than one about a single upstream.
constexpr std::size_t fewestAsked = 8;

} // namespace

void ShardEngine::askPermits(Job& job, std::uint32_t stepIndex, TimePoint now)
{
    auto& step = job.steps[stepIndex];
    if (step.permits.isWaiting(now))
        return;
    struct Candidate {
        bool hasRoom { false };
        bool allowed { false };
        std::int64_t freeMilliCores { 0 };
        const UpstreamInfo* info { nullptr };
    };
    std::vector<Candidate> candidates;
    const auto& spec = job.spec->steps[stepIndex];
    for (const auto& [id, upstream] : upstreams_) {
        if (usable(upstream, now) && canHold(upstream, *job.spec, spec) && !step.permits.knows(upstream.info, now))
            candidates.push_back({ .hasRoom = spec.need.fitsIn(upstream.room),
                .allowed = step.permits.allows(upstream.info),
                .freeMilliCores = upstream.room.milliCores,
                .info = &upstream.info });
    }
    if (candidates.empty())
        return;
    const auto wanted = std::max(askedPerTask * step.waiting, fewestAsked);
    const auto count = std::min({ wanted, StepPermits::maxUpstreamsAsked, candidates.size() });
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count), candidates.end(),
        [](const Candidate& a, const Candidate& b) {
            return std::tie(a.hasRoom, a.allowed, a.freeMilliCores) > std::tie(b.hasRoom, b.allowed, b.freeMilliCores);
        });
    AskPermits question { .job = job.key, .step = stepIndex, .policy = *job.spec->advice, .upstreams = {} };
    std::vector<const UpstreamInfo*> asked;
    for (std::size_t i = 0; i < count; ++i) {
        question.upstreams.push_back(candidates[i].info->id);
        asked.push_back(candidates[i].info);
    }
    step.permits.noteAsked(asked);
    actions_.emplace_back(std::move(question));
}

void ShardEngine::handlePermits(const AskPermits& question, const Tickets& tickets, TimePoint sentAt, TimePoint now)
{
    auto* job = findJob(question.job);
    if (job != nullptr && question.step < job->steps.size())
        job->steps[question.step].permits.handleAnswer(
            question.upstreams, tickets, sentAt, question.policy.validity, now);
}

void ShardEngine::handleNoPermits(const AskPermits& question, TimePoint now)
{
    auto* job = findJob(question.job);
    if (job != nullptr && question.step < job->steps.size())
        job->steps[question.step].permits.handleNoAnswer(question.upstreams, now);
}

} // namespace Balsammill::Shards
