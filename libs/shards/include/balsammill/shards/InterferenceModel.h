#pragma once

#include "balsammill/shards/JobSpec.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Balsammill::Shards {

/// Number of a kind of tasks within one InterferenceModel.
using TaskKind = StrongNumber<struct TaskKindTag>;

/// A set of kinds of tasks, one bit for each.
using TaskKinds = std::uint64_t;

/// Kinds of which one slows the other down.
struct Interference {
    std::string kind;
    /// The tasks of this kind slow those of the other one down.
    std::string beside;
    /// Ratio of the run times of kind with and without beside on the same upstream.
    double factor { 1.0 };
    std::uint32_t samples { 0 };
};

/// A change of what the model considers as interference.
struct InterferenceChange {
    Interference interference;
    /// False if the interference has ended.
    bool begins { true };
};

/// Learns which kinds of tasks slow each other down when they run on the same upstream. For each ordered pair of kinds
/// it compares the run times of the first kind beside and without the second one, each relative to the prediction and
/// to the usual speed of the upstream. Tasks of the same image, or else of the same queue, are of one kind.
class InterferenceModel {
public:
    static constexpr std::size_t maxKinds = 64;

    /// The kind of a step's tasks; empty while too many other kinds are in use.
    std::optional<TaskKind> kindOf(const JobSpec&, const StepSpec&, TimePoint now);
    /// Records a completed run. logRatio: natural logarithm of its run time relative to the prediction. beside: the
    /// kinds of the other tasks that ran on the upstream meanwhile.
    void record(TaskKind, const UpstreamId&, double logRatio, TaskKinds beside, TimePoint now);
    /// Tasks of these kinds run at present, so that the kinds are kept.
    void noteInUse(TaskKinds, TimePoint now);
    void forget(const UpstreamId& upstream) { upstreams_.erase(upstream); }
    /// True if any kind disturbs another one; otherwise cost() is always zero.
    bool any() const { return activePairs_ > 0; }
    /// Expected loss if a task of the kind runs beside tasks of the others: the sum of the relative slowdowns of both.
    double cost(TaskKind, TaskKinds beside) const;
    std::vector<Interference> interferences() const;
    /// Returns what has changed since the last call.
    std::vector<InterferenceChange> takeChanges();

    static TaskKinds bitOf(TaskKind kind) { return TaskKinds { 1 } << kind.value; }

private:
    /// Moving average and variance.
    struct Average {
        double mean { 0 };
        double variance { 0 };
        std::uint32_t samples { 0 };

        void add(double value, std::uint32_t window);
        double standardErrorSquared(std::uint32_t window) const;
    };
    struct Pair {
        Average with;
        Average without;
        bool active { false };
    };
    struct Kind {
        std::string name;
        TimePoint seenAt {};
    };

    void update(std::size_t kind, std::size_t beside, bool present, double value);
    Interference describe(std::size_t kind, std::size_t beside) const;
    void forgetKind(std::size_t);

    std::vector<Kind> kinds_;
    std::map<std::string, std::size_t> kindByName_;
    std::map<std::pair<std::size_t, std::size_t>, Pair> pairs_;
    std::map<UpstreamId, Average> upstreams_;
    std::vector<InterferenceChange> changes_;
    std::size_t activePairs_ { 0 };
};

} // namespace Balsammill::Shards
