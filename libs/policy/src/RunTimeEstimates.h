#pragma once

#include "balsammill/base/StrongId.h"
#include "balsammill/base/Units.h"

#include <array>
#include <memory>
#include <unordered_map>

namespace Balsammill::Detail {

/// Class 0 holds tasks without a declaration; the others hold a factor of four of declared run time each.
constexpr std::size_t sizeClassCount = 8;

std::uint32_t sizeClassOf(Duration declaredRunTime);

/// Moving averages of the observed run time of one method, one for each size class. A class without an observation
/// uses its first declaration, or the average of the method if there is none.
class MethodRunTimes {
public:
    Duration expected(std::size_t sizeClass) const { return Duration(classes_[sizeClass].expectedMicros); }
    /// Average of the tasks that ended by themselves; the expectation if there is none. It stays low when tasks are cut
    /// off on one upstream that hangs.
    Duration typical(std::size_t sizeClass) const;
    bool observed(std::size_t sizeClass) const { return classes_[sizeClass].samples > 0; }
    std::uint32_t queuedTasks() const { return queuedTasks_; }

private:
    friend class RunTimeEstimates;
    struct SizeClass {
        std::int64_t expectedMicros { 0 };
        std::uint32_t samples { 0 };
        double endedAverage { 0 };
        std::int64_t queuedSlots { 0 };
    };
    std::array<SizeClass, sizeClassCount> classes_;
    std::uint32_t queuedTasks_ { 0 };
    double methodAverage_ { 0 };
};

/// Run times of all methods, and the slot time of all queued tasks by the present estimates. Every operation takes
/// constant time.
class RunTimeEstimates {
public:
    MethodRunTimes& of(const MethodName&);

    /// Sets the estimate of a class that has none yet.
    void declare(MethodRunTimes&, std::size_t sizeClass, Duration declaredRunTime);
    void addQueued(MethodRunTimes&, std::size_t sizeClass, Slots);
    void removeQueued(MethodRunTimes&, std::size_t sizeClass, Slots);
    void observeEnded(MethodRunTimes&, std::size_t sizeClass, Duration runTime);
    /// The task was cut off after this time, which is a lower bound of its run time.
    void observeCutOff(MethodRunTimes&, std::size_t sizeClass, Duration runTime);

    /// Slot time of all queued tasks in microseconds.
    std::int64_t queuedSlotMicros() const { return queuedSlotMicros_; }

private:
    void observe(MethodRunTimes&, std::size_t sizeClass, Duration runTime);
    void setExpected(MethodRunTimes::SizeClass&, std::int64_t micros);

    std::unordered_map<MethodName, std::unique_ptr<MethodRunTimes>> methods_;
    std::int64_t queuedSlotMicros_ { 0 };
};

} // namespace Balsammill::Detail
