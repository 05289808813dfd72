#include "RunTimeEstimates.h"

#include <algorithm>
#include <bit>

namespace Balsammill::Detail {

namespace {

constexpr std::int64_t defaultExpectedMicros = 100'000;
// A weight of a tenth follows a change of the run time within some 20 tasks and smooths single stragglers.
constexpr double sampleWeight = 0.1;

} // namespace

std::uint32_t sizeClassOf(Duration declaredRunTime)
{
    if (declaredRunTime <= Duration::zero())
        return 0;
    const auto millis = static_cast<std::uint64_t>(declaredRunTime.count()) / 1000;
    const auto powerOfFour = millis == 0 ? 0U : static_cast<std::uint32_t>(std::bit_width(millis) - 1) / 2;
    return std::min<std::uint32_t>(1 + powerOfFour, sizeClassCount - 1);
}

Duration MethodRunTimes::typical(std::size_t sizeClass) const
{
    const auto average = classes_[sizeClass].endedAverage;
    return average > 0 ? Duration(static_cast<std::int64_t>(average)) : expected(sizeClass);
}

MethodRunTimes& RunTimeEstimates::of(const MethodName& method)
{
    auto& entry = methods_[method];
    if (!entry)
        entry = std::make_unique<MethodRunTimes>();
    return *entry;
}

void RunTimeEstimates::setExpected(MethodRunTimes::SizeClass& sizeClass, std::int64_t micros)
{
    queuedSlotMicros_ += sizeClass.queuedSlots * (micros - sizeClass.expectedMicros);
    sizeClass.expectedMicros = micros;
}

void RunTimeEstimates::declare(MethodRunTimes& method, std::size_t index, Duration declaredRunTime)
{
    auto& sizeClass = method.classes_[index];
    if (sizeClass.expectedMicros > 0)
        return;
    const auto undeclared
        = method.methodAverage_ > 0 ? static_cast<std::int64_t>(method.methodAverage_) : defaultExpectedMicros;
    setExpected(sizeClass, declaredRunTime > Duration::zero() ? declaredRunTime.count() : undeclared);
}

void RunTimeEstimates::addQueued(MethodRunTimes& method, std::size_t index, Slots slots)
{
    auto& sizeClass = method.classes_[index];
    sizeClass.queuedSlots += slots.value;
    queuedSlotMicros_ += slots.value * sizeClass.expectedMicros;
    ++method.queuedTasks_;
}

void RunTimeEstimates::removeQueued(MethodRunTimes& method, std::size_t index, Slots slots)
{
    auto& sizeClass = method.classes_[index];
    sizeClass.queuedSlots -= slots.value;
    queuedSlotMicros_ -= slots.value * sizeClass.expectedMicros;
    --method.queuedTasks_;
}

void RunTimeEstimates::observe(MethodRunTimes& method, std::size_t index, Duration runTime)
{
    auto& sizeClass = method.classes_[index];
    const auto sample = static_cast<double>(std::max<std::int64_t>(runTime.count(), 1));
    ++sizeClass.samples;
    // The first observations replace the declaration at once, because declarations are often far off.
    const auto weight = std::max(sampleWeight, 1.0 / sizeClass.samples);
    const auto old = static_cast<double>(sizeClass.expectedMicros);
    setExpected(sizeClass, std::max<std::int64_t>(1, static_cast<std::int64_t>(old + weight * (sample - old))));
    method.methodAverage_
        = method.methodAverage_ > 0 ? method.methodAverage_ + sampleWeight * (sample - method.methodAverage_) : sample;
}

void RunTimeEstimates::observeEnded(MethodRunTimes& method, std::size_t index, Duration runTime)
{
    observe(method, index, runTime);
    auto& average = method.classes_[index].endedAverage;
    const auto sample = static_cast<double>(std::max<std::int64_t>(runTime.count(), 1));
    average = average > 0 ? average + sampleWeight * (sample - average) : sample;
}

void RunTimeEstimates::observeCutOff(MethodRunTimes& method, std::size_t index, Duration runTime)
{
    if (runTime > method.expected(index))
        observe(method, index, runTime);
}

} // namespace Balsammill::Detail
