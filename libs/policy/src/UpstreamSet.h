#pragma once

#include "TaskRecord.h"
#include "UpstreamHealthWindow.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace Balsammill::Detail {

/// State of one upstream; modified only by UpstreamSet.
struct Upstream {
    UpstreamSpec spec;
    /// No longer in the configuration; erased when its last task has ended.
    bool removed { false };
    UpstreamHealth health { UpstreamHealth::Healthy };
    std::uint32_t slotsInUse { 0 };
    /// Number of slots that may be used now; below spec.slots while the upstream ramps up after an ejection or a
    /// refused start.
    std::uint32_t slotLimit { 0 };
    /// Number of ejections so far. The outcomes of tasks that started in an earlier generation are ignored.
    std::uint32_t generation { 0 };
    std::uint32_t consecutiveEjections { 0 };
    UpstreamHealthWindow healthWindow;
    /// End of the ejection or of the pause after a refused start.
    std::optional<TimePoint> resumesAt;
    /// Task that waits until this upstream has enough free slots. No other task is placed here until then.
    TaskRecord* reservedFor { nullptr };

    // Keys and position in the indexes of UpstreamSet; valid while indexed is true.
    bool indexed { false };
    std::uint32_t indexedFree { 0 };
    std::uint32_t indexedLimit { 0 };
    std::uint64_t lastUsed { 0 };
    std::size_t randomIndex { 0 };
};

struct UpstreamSetOptions {
    UpstreamChoice choice { UpstreamChoice::LeastLoaded };
    double maxEjectedShare { 0.5 };
    std::uint64_t randomSeed { 1 };
};

/// Placement, slots in use and health of the upstreams. Operations except replace() and status() take at most
/// logarithmic time in the number of upstreams; advance() for each upstream that resumes.
class UpstreamSet {
public:
    explicit UpstreamSet(UpstreamSetOptions);

    /// Replaces the set of upstreams. Returns the tasks whose reservation was cancelled because the upstream was
    /// removed, is leaving or became too small.
    std::vector<TaskRecord*> replace(const std::vector<UpstreamSpec>&, TimePoint now);
    /// Ends the ejections and pauses whose time has passed.
    void advance(TimePoint now);
    std::optional<TimePoint> nextResumeTime() const;

    /// Returns an upstream with this many free slots, least loaded or random by configuration; null if there is none.
    Upstream* choose(Slots);
    /// As choose(), but returns the upstream to avoid only if no other one is usable. An empty name avoids none.
    Upstream* chooseAvoiding(Slots, const VmName& avoid);
    /// True if the upstream with the most free slots is the one to avoid, it has enough of them, and another upstream
    /// is usable, so that the task can wait for that one.
    bool onlyAvoidedHasFreeSlots(Slots, const VmName& avoid) const;
    /// Reserves an upstream for a task that needs more slots than any upstream has free. Returns false if no usable
    /// upstream without a reservation has a sufficient slot limit.
    bool reserve(TaskRecord&);
    void cancelReservation(TaskRecord&);
    /// Ends a reservation whose upstream has enough free slots and returns its task; null if there is none.
    TaskRecord* popReadyReservation();

    void start(Upstream&, Slots);
    /// Frees the slots of a task. Applies its outcome, unless the upstream has been ejected since the task started.
    /// Expects the generation that the upstream had when the task started.
    void finish(Upstream&, Slots, std::uint32_t generation, TaskOutcome, TimePoint now);

    /// False if every upstream has been removed or is leaving.
    bool hasUpstreams() const { return presentCount_ > 0; }
    bool hasFreeSlots() const { return !byFreeSlots_.empty(); }
    /// Number of slots of the largest upstream that is neither removed nor leaving.
    std::uint32_t maxSlots() const { return maxSlots_; }
    std::uint32_t usableSlots() const { return usableSlots_; }
    std::uint32_t freeSlots() const { return freeSlots_; }
    std::vector<UpstreamStatus> status() const;

private:
    struct MoreFreeSlots {
        bool operator()(const Upstream* a, const Upstream* b) const;
    };
    struct HigherSlotLimit {
        bool operator()(const Upstream* a, const Upstream* b) const;
    };

    /// Removes an upstream from the indexes, applies a change and inserts it again.
    template <typename Change> void update(Upstream&, Change);
    void index(Upstream&);
    void unindex(Upstream&);
    Upstream* chooseRandom(Slots);
    void setResumeTime(Upstream&, std::optional<TimePoint>);
    void applyResult(Upstream&, TaskOutcome, TimePoint now);
    void applySuccess(Upstream&, TimePoint now);
    void applyFailure(Upstream&, TimePoint now);
    bool canEjectAnother() const;
    void recountPresent();
    void eraseIfDrained(Upstream&);

    UpstreamSetOptions options_;
    std::mt19937_64 random_;
    std::unordered_map<VmName, std::unique_ptr<Upstream>> upstreams_;
    /// Usable upstreams with free slots and without a reservation.
    std::set<Upstream*, MoreFreeSlots> byFreeSlots_;
    std::vector<Upstream*> randomOrder_;
    /// Usable upstreams without a reservation, with or without free slots.
    std::set<Upstream*, HigherSlotLimit> reservable_;
    std::set<std::pair<TimePoint, Upstream*>> pendingResumes_;
    std::vector<Upstream*> readyReservations_;
    std::uint64_t useCounter_ { 0 };
    std::size_t usableCount_ { 0 };
    std::size_t presentCount_ { 0 };
    std::size_t ejectedCount_ { 0 };
    std::uint32_t maxSlots_ { 0 };
    std::uint32_t usableSlots_ { 0 };
    std::uint32_t freeSlots_ { 0 };
};

} // namespace Balsammill::Detail
