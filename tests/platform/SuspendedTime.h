#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace PlatformTest {

/// Environment variable that names the directory of the files that hold a SuspendedTime. Each file is named after the
/// id of its process.
constexpr auto suspendedTimeDirectoryVariable = "SUSPENDED_TIME_DIRECTORY";

constexpr std::size_t maxCutPorts = 32;

/// Memory that a test shares with a process into which the library suspendable_vm is preloaded.
struct SuspendedTime {
    /// Time that CLOCK_MONOTONIC of the process does not count.
    std::atomic<std::int64_t> nanoseconds;
    /// How often the connections that were open have gone silent.
    std::atomic<std::int64_t> silences;
    /// Number of ports in cutPorts that are in use.
    std::atomic<std::int64_t> cutPortCount;
    /// Connections with one of these local or remote ports carry no data, and stay silent after the cut has healed.
    std::array<std::atomic<std::int64_t>, maxCutPorts> cutPorts;
};

static_assert(std::atomic<std::int64_t>::is_always_lock_free);

} // namespace PlatformTest
