#pragma once

#include <atomic>
#include <cstdint>

namespace PlatformTest {

/// Environment variable that names the directory of the files that hold a SuspendedTime. Each file is named after the
/// id of its process.
constexpr auto suspendedTimeDirectoryVariable = "SUSPENDED_TIME_DIRECTORY";

/// Memory that a test shares with a process into which the library suspendable_vm is preloaded.
struct SuspendedTime {
    /// Time that CLOCK_MONOTONIC of the process does not count.
    std::atomic<std::int64_t> nanoseconds;
    /// How often the connections that were open have gone silent.
    std::atomic<std::int64_t> silences;
};

static_assert(std::atomic<std::int64_t>::is_always_lock_free);

} // namespace PlatformTest
