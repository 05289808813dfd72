#pragma once

#include "balsammill/base/StrongId.h"
#include "balsammill/base/Units.h"

#include <array>
#include <memory>
#include <unordered_map>

namespace Balsammill::Detail {

/// Class 0 holds tasks without a declared run time; each further class covers a factor of four of declared run time.
constexpr std::size_t sizeClassCount = 8;

std::uint32_t sizeClassOf(Duration declaredRunTime);

/// Moving averages of the observed run time of one method, one for each size class. A class without observations uses
/// the first declared run time, or the average of the method if none was declared.
class MethodRunTimes {
public:
    Duration expected(std::size_t sizeClass) const { return Duration(classes_[sizeClass].expectedMicros); }
    /// Average run time of tasks that ran to completion, or expected() if there are none. Unlike expected(), it does
    /// not grow when tasks time out on an upstream that hangs.
    Duration completedRunTime(std::size_t sizeClass) const;
    bool observed(std::size_t sizeClass) const { return classes_[sizeClass].samples > 0; }
    std::uint32_t queuedTasks() const { return queuedTasks_; }

private:
    friend class RunTimeEstimates;
    struct SizeClass {
        std::int64_t expectedMicros { 0 };
        std::uint32_t samples { 0 };
        double completedAverageMicros { 0 };
        std::int64_t queuedSlots { 0 };
    };
    std::array<SizeClass, sizeClassCount> classes_;
    std::uint32_t queuedTasks_ { 0 };
    double methodAverageMicros_ { 0 };
};

/// Run time estimates of all methods, and the slot time of all queued tasks by the current estimates. Every operation
/// takes constant time.
class RunTimeEstimates {
public:
    MethodRunTimes& forMethod(const MethodName&);

    /// Sets the initial estimate of a size class that has none yet.
    void initializeEstimate(MethodRunTimes&, std::size_t sizeClass, Duration declaredRunTime);
    void addQueued(MethodRunTimes&, std::size_t sizeClass, Slots);
    void removeQueued(MethodRunTimes&, std::size_t sizeClass, Slots);
    void observeCompleted(MethodRunTimes&, std::size_t sizeClass, Duration runTime);
    /// Records a task that timed out or was cancelled after this time, which is a lower bound of its run time.
    void observeInterrupted(MethodRunTimes&, std::size_t sizeClass, Duration runTime);

    /// Expected slot time of all queued tasks in microseconds.
    std::int64_t queuedSlotMicros() const { return queuedSlotMicros_; }

private:
    void observe(MethodRunTimes&, std::size_t sizeClass, Duration runTime);
    void setExpected(MethodRunTimes::SizeClass&, std::int64_t micros);

    std::unordered_map<MethodName, std::unique_ptr<MethodRunTimes>> methods_;
    std::int64_t queuedSlotMicros_ { 0 };
};

} // namespace Balsammill::Detail
