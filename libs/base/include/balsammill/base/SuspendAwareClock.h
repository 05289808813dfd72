#pragma once

#include <chrono>

namespace Balsammill {

/// Monotonic clock that also counts the time for which the VM was suspended, unlike std::chrono::steady_clock.
struct SuspendAwareClock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<SuspendAwareClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): named by the standard.

    /// Throws std::system_error if the system has no such clock.
    static time_point now();
};

} // namespace Balsammill
