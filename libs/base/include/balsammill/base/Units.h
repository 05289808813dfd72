#pragma once

#include "balsammill/base/SuspendAwareClock.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>

namespace Balsammill {

/// Monotonic time with microsecond resolution, which includes the time for which the VM was suspended. Decision logic
/// receives the time as an argument and never reads a clock.
using Duration = SuspendAwareClock::duration;
using TimePoint = SuspendAwareClock::time_point;

/// Reads the monotonic clock. Must not be called by decision logic.
inline TimePoint monotonicNow() { return SuspendAwareClock::now(); }

/// Number with a tag type, so that numbers of different meanings cannot be mixed up.
template <typename Tag, typename Rep = std::uint64_t> struct StrongNumber {
    Rep value {};

    constexpr StrongNumber() = default;
    constexpr explicit StrongNumber(Rep initial)
        : value(initial)
    {
    }
    constexpr auto operator<=>(const StrongNumber&) const = default;
};

using TaskId = StrongNumber<struct TaskIdTag>;
using RequestId = StrongNumber<struct RequestIdTag>;
/// Version of a shard's ownership. Each conditional write of the shard record increments it by one.
using Epoch = StrongNumber<struct EpochTag>;
/// Identifies one run of a process on a VM. Later runs have higher numbers.
using Incarnation = StrongNumber<struct IncarnationTag>;
using ConfigVersion = StrongNumber<struct ConfigVersionTag>;
using ShardIndex = StrongNumber<struct ShardIndexTag, std::uint32_t>;
/// Number of concurrency slots on an upstream.
using Slots = StrongNumber<struct SlotsTag, std::uint32_t>;

} // namespace Balsammill

template <typename Tag, typename Rep> struct std::hash<Balsammill::StrongNumber<Tag, Rep>> {
    std::size_t operator()(const Balsammill::StrongNumber<Tag, Rep>& number) const noexcept
    {
        return std::hash<Rep> {}(number.value);
    }
};
