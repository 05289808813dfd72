#include "balsammill/shards/InterferenceModel.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Balsammill::Shards {

namespace {

// Samples in the averages of a pair: some seconds of traffic, so that a changed disturbance is noticed.
constexpr std::uint32_t pairWindow = 100;
// Samples in an upstream's usual speed. Longer than the disturbances by single tasks, which must not be taken for it.
constexpr std::uint32_t upstreamWindow = 50;
// Samples of an upstream from which its usual speed is known well enough.
constexpr std::uint32_t minUpstreamSamples = 10;
// Samples with and without the other kind before a difference counts.
constexpr std::uint32_t minPairSamples = 40;
// Smallest slowdown that is worth a worse placement, and the one below which an interference has ended.
constexpr double minLogSlowdown = 0.10;
constexpr double endLogSlowdown = 0.05;
// The difference has to exceed its standard error by this factor. Each pair is tested with every run.
constexpr double significance = 4.0;
// A kind without a run for this long is forgotten when its place is needed.
constexpr Duration kindRetention = std::chrono::minutes(5);

} // namespace

void InterferenceModel::Average::add(double value, std::uint32_t window)
{
    samples = std::min(samples + 1, window);
    const double weight = 1.0 / samples;
    const double difference = value - mean;
    mean += weight * difference;
    variance += weight * (difference * (value - mean) - variance);
}

double InterferenceModel::Average::standardErrorSquared(std::uint32_t window) const
{
    return variance / std::max<std::uint32_t>(std::min(samples, window), 1);
}

std::optional<TaskKind> InterferenceModel::kindOf(const JobSpec& job, const StepSpec& step, TimePoint now)
{
    const auto& name = step.image.empty() ? job.queue.value : step.image;
    const auto found = kindByName_.find(name);
    if (found != kindByName_.end()) {
        kinds_[found->second].seenAt = now;
        return TaskKind(found->second);
    }
    auto index = kinds_.size();
    if (index == maxKinds) {
        const auto oldest = std::min_element(
            kinds_.begin(), kinds_.end(), [](const Kind& a, const Kind& b) { return a.seenAt < b.seenAt; });
        if (now - oldest->seenAt < kindRetention)
            return std::nullopt;
        index = static_cast<std::size_t>(oldest - kinds_.begin());
        forgetKind(index);
    } else {
        kinds_.emplace_back();
    }
    kinds_[index] = { .name = name, .seenAt = now };
    kindByName_[name] = index;
    return TaskKind(index);
}

void InterferenceModel::noteInUse(TaskKinds kinds, TimePoint now)
{
    for (std::size_t i = 0; i < kinds_.size(); ++i) {
        if ((kinds & bitOf(TaskKind(i))) != 0)
            kinds_[i].seenAt = now;
    }
}

void InterferenceModel::forgetKind(std::size_t index)
{
    for (const auto& [key, pair] : pairs_) {
        if (pair.active && (key.first == index || key.second == index))
            changes_.push_back({ .interference = describe(key.first, key.second), .begins = false });
    }
    kindByName_.erase(kinds_[index].name);
    std::erase_if(pairs_, [&](const auto& entry) {
        const bool concerned = entry.first.first == index || entry.first.second == index;
        if (concerned && entry.second.active)
            --activePairs_;
        return concerned;
    });
}

void InterferenceModel::record(
    TaskKind kind, const UpstreamId& upstream, double logRatio, TaskKinds beside, TimePoint now)
{
    auto& usual = upstreams_[upstream];
    const bool known = usual.samples >= minUpstreamSamples;
    const double value = logRatio - usual.mean;
    usual.add(logRatio, upstreamWindow);
    if (!known)
        return;
    for (std::size_t other = 0; other < kinds_.size(); ++other) {
        const bool present = (beside & bitOf(TaskKind(other))) != 0;
        if (present)
            kinds_[other].seenAt = now;
        update(kind.value, other, present, value);
    }
}

void InterferenceModel::update(std::size_t kind, std::size_t beside, bool present, double value)
{
    auto& pair = pairs_[{ kind, beside }];
    (present ? pair.with : pair.without).add(value, pairWindow);
    if (pair.with.samples < minPairSamples || pair.without.samples < minPairSamples)
        return;
    const double difference = pair.with.mean - pair.without.mean;
    const double error
        = std::sqrt(pair.with.standardErrorSquared(pairWindow) + pair.without.standardErrorSquared(pairWindow));
    const bool active
        = pair.active ? difference >= endLogSlowdown : difference >= std::max(minLogSlowdown, significance * error);
    if (active == pair.active)
        return;
    pair.active = active;
    active ? ++activePairs_ : --activePairs_;
    changes_.push_back({ .interference = describe(kind, beside), .begins = active });
}

double InterferenceModel::cost(TaskKind kind, TaskKinds beside) const
{
    double sum = 0;
    const auto slowdown = [this](std::size_t slowed, std::size_t by) {
        const auto found = pairs_.find({ slowed, by });
        if (found == pairs_.end() || !found->second.active)
            return 0.0;
        return std::exp(found->second.with.mean - found->second.without.mean) - 1;
    };
    for (std::size_t other = 0; other < kinds_.size(); ++other) {
        if ((beside & bitOf(TaskKind(other))) == 0)
            continue;
        sum += slowdown(kind.value, other);
        if (other != kind.value)
            sum += slowdown(other, kind.value);
    }
    return sum;
}

Interference InterferenceModel::describe(std::size_t kind, std::size_t beside) const
{
    const auto& pair = pairs_.at({ kind, beside });
    return { .kind = kinds_[kind].name,
        .beside = kinds_[beside].name,
        .factor = std::exp(pair.with.mean - pair.without.mean),
        .samples = pair.with.samples };
}

std::vector<Interference> InterferenceModel::interferences() const
{
    std::vector<Interference> all;
    for (const auto& [key, pair] : pairs_) {
        if (pair.active)
            all.push_back(describe(key.first, key.second));
    }
    return all;
}

std::vector<InterferenceChange> InterferenceModel::takeChanges()
{
    std::vector<InterferenceChange> taken;
    taken.swap(changes_);
    return taken;
}

} // namespace Balsammill::Shards
