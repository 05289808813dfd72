#include "RunTimeEstimates.h"

#include <algorithm>
#include <bit>

namespace Balsammill::Detail {

namespace {

constexpr std::int64_t defaultExpectedMicros = 100'000;
// Weight of a new sample in a moving average: the average follows a changed run time within about 20 tasks, and a
// single outlier has little effect.
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

Duration MethodRunTimes::completedRunTime(std::size_t sizeClass) const
{
    const auto average = classes_[sizeClass].completedAverageMicros;
    return average > 0 ? Duration(static_cast<std::int64_t>(average)) : expected(sizeClass);
}

MethodRunTimes& RunTimeEstimates::forMethod(const MethodName& method)
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

void RunTimeEstimates::initializeEstimate(MethodRunTimes& method, std::size_t index, Duration declaredRunTime)
{
    auto& sizeClass = method.classes_[index];
    if (sizeClass.expectedMicros > 0)
        return;
    const auto initialMicros = method.methodAverageMicros_ > 0 ? static_cast<std::int64_t>(method.methodAverageMicros_)
                                                               : defaultExpectedMicros;
    setExpected(sizeClass, declaredRunTime > Duration::zero() ? declaredRunTime.count() : initialMicros);
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
    // The first sample replaces the declared run time, because declarations are often far off. The next samples are
    // averaged with equal weight.
    const auto weight = std::max(sampleWeight, 1.0 / sizeClass.samples);
    const auto previousMicros = static_cast<double>(sizeClass.expectedMicros);
    setExpected(sizeClass,
        std::max<std::int64_t>(1, static_cast<std::int64_t>(previousMicros + weight * (sample - previousMicros))));
    method.methodAverageMicros_ = method.methodAverageMicros_ > 0
        ? method.methodAverageMicros_ + sampleWeight * (sample - method.methodAverageMicros_)
        : sample;
}

void RunTimeEstimates::observeCompleted(MethodRunTimes& method, std::size_t index, Duration runTime)
{
    observe(method, index, runTime);
    auto& average = method.classes_[index].completedAverageMicros;
    const auto sample = static_cast<double>(std::max<std::int64_t>(runTime.count(), 1));
    average = average > 0 ? average + sampleWeight * (sample - average) : sample;
}

void RunTimeEstimates::observeInterrupted(MethodRunTimes& method, std::size_t index, Duration runTime)
{
    if (runTime > method.expected(index))
        observe(method, index, runTime);
}

} // namespace Balsammill::Detail
