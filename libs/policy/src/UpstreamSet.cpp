#include "UpstreamSet.h"

#include <algorithm>
#include <cmath>

namespace Balsammill::Detail {

namespace {

constexpr Duration baseEjectionTime = std::chrono::seconds(1);
// Each probe risks one task, so the time between probes of an upstream that keeps failing doubles up to this limit.
constexpr Duration maxEjectionTime = std::chrono::seconds(30);
// A start is refused when another entry process uses the slots; tasks run for 50 ms to 1 s.
constexpr Duration pauseAfterRefusedStart = std::chrono::milliseconds(20);
constexpr int maxRandomAttempts = 4;

bool isUsable(const Upstream& upstream)
{
    return !upstream.removed && !upstream.spec.leaving && upstream.health != UpstreamHealth::Ejected
        && !upstream.resumesAt;
}

bool isPresent(const Upstream& upstream) { return !upstream.removed && !upstream.spec.leaving; }

bool isEjectedOrProbing(const Upstream& upstream)
{
    return upstream.health == UpstreamHealth::Ejected || upstream.health == UpstreamHealth::Probing;
}

std::uint32_t effectiveSlotLimit(const Upstream& upstream)
{
    return std::min(upstream.slotLimit, upstream.spec.slots.value);
}

std::uint32_t freeSlotsOf(const Upstream& upstream)
{
    const auto limit = effectiveSlotLimit(upstream);
    return limit > upstream.slotsInUse ? limit - upstream.slotsInUse : 0;
}

bool reservationReady(const Upstream& upstream)
{
    return upstream.reservedFor && isUsable(upstream) && freeSlotsOf(upstream) >= upstream.reservedFor->slots.value;
}

} // namespace

bool UpstreamSet::MoreFreeSlots::operator()(const Upstream* a, const Upstream* b) const
{
    if (a->indexedFree != b->indexedFree)
        return a->indexedFree > b->indexedFree;
    return a->lastUsed < b->lastUsed;
}

bool UpstreamSet::HigherSlotLimit::operator()(const Upstream* a, const Upstream* b) const
{
    if (a->indexedLimit != b->indexedLimit)
        return a->indexedLimit > b->indexedLimit;
    return MoreFreeSlots {}(a, b);
}

UpstreamSet::UpstreamSet(UpstreamSetOptions options)
    : options_(options)
    , random_(options.randomSeed)
{
}

void UpstreamSet::index(Upstream& upstream)
{
    if (!isUsable(upstream))
        return;
    upstream.indexed = true;
    ++usableCount_;
    upstream.indexedFree = freeSlotsOf(upstream);
    upstream.indexedLimit = effectiveSlotLimit(upstream);
    usableSlots_ += upstream.indexedLimit;
    freeSlots_ += upstream.indexedFree;
    if (upstream.reservedFor) {
        if (reservationReady(upstream))
            readyReservations_.push_back(&upstream);
        return;
    }
    reservable_.insert(&upstream);
    if (upstream.indexedFree == 0)
        return;
    byFreeSlots_.insert(&upstream);
    upstream.randomIndex = randomOrder_.size();
    randomOrder_.push_back(&upstream);
}

void UpstreamSet::unindex(Upstream& upstream)
{
    if (!upstream.indexed)
        return;
    upstream.indexed = false;
    --usableCount_;
    usableSlots_ -= upstream.indexedLimit;
    freeSlots_ -= upstream.indexedFree;
    reservable_.erase(&upstream);
    if (byFreeSlots_.erase(&upstream) == 0)
        return;
    randomOrder_[upstream.randomIndex] = randomOrder_.back();
    randomOrder_[upstream.randomIndex]->randomIndex = upstream.randomIndex;
    randomOrder_.pop_back();
}

template <typename Change> void UpstreamSet::update(Upstream& upstream, Change change)
{
    unindex(upstream);
    change();
    index(upstream);
}

std::vector<TaskRecord*> UpstreamSet::replace(const std::vector<UpstreamSpec>& specs, TimePoint now)
{
    std::vector<TaskRecord*> lostReservations;
    for (auto& [name, upstream] : upstreams_)
        upstream->removed = true;
    for (const auto& spec : specs) {
        auto& entry = upstreams_[spec.vm];
        if (!entry) {
            entry = std::make_unique<Upstream>();
            entry->slotLimit = spec.slots.value;
            entry->lastUsed = ++useCounter_;
        } else if (entry->slotLimit >= entry->spec.slots.value) {
            entry->slotLimit = spec.slots.value;
        }
        entry->spec = spec;
        entry->removed = false;
    }
    std::vector<Upstream*> drained;
    for (auto& entry : upstreams_) {
        auto* upstream = entry.second.get();
        auto* reserved = upstream->reservedFor;
        const bool reservationLost = reserved && (!isPresent(*upstream) || upstream->spec.slots < reserved->slots);
        if (reservationLost)
            lostReservations.push_back(reserved);
        update(*upstream, [&] {
            if (reservationLost)
                upstream->reservedFor = nullptr;
        });
        if (upstream->removed && upstream->slotsInUse == 0)
            drained.push_back(upstream);
    }
    for (auto* upstream : drained)
        eraseIfDrained(*upstream);
    recountPresent();
    advance(now);
    return lostReservations;
}

void UpstreamSet::recountPresent()
{
    presentCount_ = 0;
    ejectedCount_ = 0;
    maxSlots_ = 0;
    for (const auto& [name, upstream] : upstreams_) {
        if (!isPresent(*upstream))
            continue;
        ++presentCount_;
        ejectedCount_ += isEjectedOrProbing(*upstream) ? 1 : 0;
        maxSlots_ = std::max(maxSlots_, upstream->spec.slots.value);
    }
}

void UpstreamSet::eraseIfDrained(Upstream& upstream)
{
    if (!upstream.removed || upstream.slotsInUse > 0)
        return;
    unindex(upstream);
    setResumeTime(upstream, std::nullopt);
    std::erase(readyReservations_, &upstream);
    upstreams_.erase(VmName(upstream.spec.vm));
}

void UpstreamSet::setResumeTime(Upstream& upstream, std::optional<TimePoint> time)
{
    if (upstream.resumesAt)
        pendingResumes_.erase({ *upstream.resumesAt, &upstream });
    upstream.resumesAt = time;
    if (time)
        pendingResumes_.insert({ *time, &upstream });
}

void UpstreamSet::advance(TimePoint now)
{
    while (!pendingResumes_.empty() && pendingResumes_.begin()->first <= now) {
        auto& upstream = *pendingResumes_.begin()->second;
        update(upstream, [&] {
            setResumeTime(upstream, std::nullopt);
            if (upstream.health == UpstreamHealth::Ejected) {
                upstream.health = UpstreamHealth::Probing;
                // Tasks from before the ejection may still occupy slots; the probe needs one more.
                upstream.slotLimit = upstream.slotsInUse + 1;
            }
        });
    }
}

std::optional<TimePoint> UpstreamSet::nextResumeTime() const
{
    if (pendingResumes_.empty())
        return std::nullopt;
    return pendingResumes_.begin()->first;
}

Upstream* UpstreamSet::chooseRandom(Slots slots)
{
    for (int i = 0; i < maxRandomAttempts && !randomOrder_.empty(); ++i) {
        auto* upstream = randomOrder_[random_() % randomOrder_.size()];
        if (upstream->indexedFree >= slots.value)
            return upstream;
    }
    return nullptr;
}

Upstream* UpstreamSet::choose(Slots slots)
{
    if (options_.choice == UpstreamChoice::Random) {
        if (auto* upstream = chooseRandom(slots))
            return upstream;
    }
    if (byFreeSlots_.empty() || (*byFreeSlots_.begin())->indexedFree < slots.value)
        return nullptr;
    return *byFreeSlots_.begin();
}

Upstream* UpstreamSet::chooseAvoiding(Slots slots, const VmName& avoid)
{
    auto* chosen = choose(slots);
    if (!chosen || avoid.empty() || chosen->spec.vm.value != avoid.value || usableCount_ == 1)
        return chosen;
    for (auto* candidate : byFreeSlots_) {
        if (candidate != chosen)
            return candidate->indexedFree >= slots.value ? candidate : nullptr;
    }
    return nullptr;
}

bool UpstreamSet::onlyAvoidedHasFreeSlots(Slots slots, const VmName& avoid) const
{
    if (avoid.empty() || usableCount_ <= 1 || byFreeSlots_.empty())
        return false;
    const auto& first = **byFreeSlots_.begin();
    return first.spec.vm.value == avoid.value && first.indexedFree >= slots.value;
}

bool UpstreamSet::reserve(TaskRecord& task)
{
    if (reservable_.empty() || (*reservable_.begin())->indexedLimit < task.slots.value)
        return false;
    auto& upstream = **reservable_.begin();
    update(upstream, [&] {
        upstream.reservedFor = &task;
        task.upstream = &upstream;
    });
    return true;
}

void UpstreamSet::cancelReservation(TaskRecord& task)
{
    auto& upstream = *task.upstream;
    update(upstream, [&] {
        upstream.reservedFor = nullptr;
        task.upstream = nullptr;
    });
}

TaskRecord* UpstreamSet::popReadyReservation()
{
    while (!readyReservations_.empty()) {
        auto& upstream = *readyReservations_.back();
        readyReservations_.pop_back();
        // The list entry is stale if the upstream was ejected or the task was cancelled in the meantime.
        if (!reservationReady(upstream))
            continue;
        auto* task = upstream.reservedFor;
        update(upstream, [&] { upstream.reservedFor = nullptr; });
        return task;
    }
    return nullptr;
}

void UpstreamSet::start(Upstream& upstream, Slots slots)
{
    update(upstream, [&] {
        upstream.slotsInUse += slots.value;
        upstream.lastUsed = ++useCounter_;
    });
}

void UpstreamSet::finish(Upstream& upstream, Slots slots, std::uint32_t generation, TaskOutcome outcome, TimePoint now)
{
    update(upstream, [&] {
        upstream.slotsInUse -= slots.value;
        if (generation == upstream.generation)
            applyResult(upstream, outcome, now);
        else if (upstream.health == UpstreamHealth::Probing)
            upstream.slotLimit = upstream.slotsInUse + 1;
    });
    eraseIfDrained(upstream);
}

void UpstreamSet::applyResult(Upstream& upstream, TaskOutcome outcome, TimePoint now)
{
    switch (outcome) {
    case TaskOutcome::Succeeded:
    case TaskOutcome::ApplicationError:
        applySuccess(upstream, now);
        break;
    case TaskOutcome::UpstreamError:
    case TaskOutcome::ConnectionFailed:
    case TaskOutcome::TimedOut:
        applyFailure(upstream, now);
        break;
    case TaskOutcome::RefusedFull:
        upstream.slotLimit = std::max(1U, upstream.slotsInUse);
        setResumeTime(upstream, now + pauseAfterRefusedStart);
        break;
    case TaskOutcome::Cancelled:
        break;
    }
}

void UpstreamSet::applySuccess(Upstream& upstream, TimePoint now)
{
    upstream.healthWindow.record(true, now);
    if (upstream.health == UpstreamHealth::Probing) {
        upstream.health = UpstreamHealth::Healthy;
        upstream.consecutiveEjections = 0;
        ejectedCount_ -= isPresent(upstream) ? 1 : 0;
        upstream.slotLimit = 1;
    }
    if (upstream.slotLimit < upstream.spec.slots.value)
        upstream.slotLimit = std::min(2 * upstream.slotLimit, upstream.spec.slots.value);
}

bool UpstreamSet::canEjectAnother() const
{
    return static_cast<double>(ejectedCount_ + 1) <= options_.maxEjectedShare * static_cast<double>(presentCount_);
}

void UpstreamSet::applyFailure(Upstream& upstream, TimePoint now)
{
    upstream.healthWindow.record(false, now);
    const bool probeFailed = upstream.health == UpstreamHealth::Probing;
    if (!probeFailed && (!isPresent(upstream) || !upstream.healthWindow.failing(now) || !canEjectAnother()))
        return;
    if (!probeFailed)
        ++ejectedCount_;
    upstream.health = UpstreamHealth::Ejected;
    ++upstream.generation;
    upstream.healthWindow.reset();
    const auto doublings = std::min(upstream.consecutiveEjections++, 5U);
    setResumeTime(upstream, now + std::min(baseEjectionTime * (1 << doublings), maxEjectionTime));
}

std::vector<UpstreamStatus> UpstreamSet::status() const
{
    std::vector<UpstreamStatus> result;
    for (const auto& [name, upstream] : upstreams_) {
        const auto health = isPresent(*upstream) ? upstream->health : UpstreamHealth::Leaving;
        result.push_back({ name, upstream->spec.slots, Slots(upstream->slotsInUse), health });
    }
    std::sort(result.begin(), result.end(), [](const auto& a, const auto& b) { return a.vm < b.vm; });
    return result;
}

} // namespace Balsammill::Detail
