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

/// One upstream; only UpstreamSet changes it.
struct Upstream {
    UpstreamSpec spec;
    /// Removed from the configuration; kept until its last task has ended.
    bool removed { false };
    UpstreamHealth health { UpstreamHealth::Healthy };
    std::uint32_t slotsInUse { 0 };
    /// Slots that may be used at present; below spec.slots while it returns after an ejection or a refused start.
    std::uint32_t slotLimit { 0 };
    std::uint32_t generation { 0 };
    std::uint32_t ejectionsInRow { 0 };
    UpstreamHealthWindow window;
    /// When the ejection, or the pause after a refused start, ends.
    std::optional<TimePoint> resumesAt;
    /// A task that waits until this many slots are free here; nothing else is placed meanwhile.
    TaskRecord* reservedFor { nullptr };

    // Position in the indexes of the set, valid while indexed.
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

/// Placement, slots in use and health of the upstreams. Every operation but replace() is at most logarithmic in their
/// number.
class UpstreamSet {
public:
    explicit UpstreamSet(UpstreamSetOptions);

    /// Replaces the upstreams. Returns reservations that were lost with their upstream.
    std::vector<TaskRecord*> replace(const std::vector<UpstreamSpec>&, TimePoint now);
    /// Ends ejections and pauses that are due.
    void advance(TimePoint now);
    std::optional<TimePoint> nextEvent() const;

    /// An upstream with this many free slots, the least loaded one or a random one; null if there is none.
    Upstream* choose(Slots);
    /// The same, but passes over one upstream if its name is not empty and it is not the only usable one.
    Upstream* chooseElsewhere(Slots, const VmName& avoid);
    /// True if the only free slots are those that the task avoids, and it can wait for others.
    bool onlyAvoidedIsFree(Slots, const VmName& avoid) const;
    /// Keeps an upstream free for a task that needs more slots than any has free; false if none is left to reserve.
    bool reserve(TaskRecord&);
    void cancelReservation(TaskRecord&);
    /// A task whose reservation has enough free slots by now, and has been given up; null if there is none.
    TaskRecord* takeReadyReservation();

    void start(Upstream&, Slots);
    /// Frees the slots. The generation is the upstream's at the start of the task.
    void finish(Upstream&, Slots, std::uint32_t generation, TaskOutcome, TimePoint now);

    /// False if every upstream is gone or leaving.
    bool hasUpstreams() const { return present_ > 0; }
    bool hasFreeSlots() const { return !byFreeSlots_.empty(); }
    /// Largest number of slots that a present upstream has.
    std::uint32_t maxSlots() const { return maxSlots_; }
    std::uint32_t usableSlots() const { return usableSlots_; }
    std::uint32_t freeSlots() const { return freeSlots_; }
    std::vector<UpstreamStatus> status() const;

private:
    struct MoreFree {
        bool operator()(const Upstream* a, const Upstream* b) const;
    };
    struct HigherLimit {
        bool operator()(const Upstream* a, const Upstream* b) const;
    };

    /// Takes an upstream out of the indexes, applies a change and indexes it anew.
    template <typename Change> void update(Upstream&, Change);
    void index(Upstream&);
    void unindex(Upstream&);
    Upstream* chooseRandom(Slots);
    void setResume(Upstream&, std::optional<TimePoint>);
    void applyResult(Upstream&, TaskOutcome, TimePoint now);
    void applySuccess(Upstream&, TimePoint now);
    void applyFailure(Upstream&, TimePoint now);
    bool mayEject() const;
    void countPresent();
    void eraseIfGone(Upstream&);

    UpstreamSetOptions options_;
    std::mt19937_64 random_;
    std::unordered_map<VmName, std::unique_ptr<Upstream>> upstreams_;
    /// Upstreams that can take a task now.
    std::set<Upstream*, MoreFree> byFreeSlots_;
    std::vector<Upstream*> randomOrder_;
    /// Usable upstreams without a reservation, whether they have free slots or not.
    std::set<Upstream*, HigherLimit> reservable_;
    std::set<std::pair<TimePoint, Upstream*>> resumes_;
    std::vector<Upstream*> readyReservations_;
    std::uint64_t useCounter_ { 0 };
    std::size_t usable_ { 0 };
    std::size_t present_ { 0 };
    std::size_t ejected_ { 0 };
    std::uint32_t maxSlots_ { 0 };
    std::uint32_t usableSlots_ { 0 };
    std::uint32_t freeSlots_ { 0 };
};

} // namespace Balsammill::Detail
