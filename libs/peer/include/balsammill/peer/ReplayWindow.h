#pragma once

#include <array>
#include <cstdint>

namespace Balsammill {

/// Detects replayed sequence numbers of one sender incarnation with a sliding bitmap. Not thread-safe.
///
/// Numbers that lie behind the window are rejected as replays, because the bitmap no longer covers them.
class ReplayWindow {
public:
    /// Width of the window in sequence numbers.
    static constexpr std::uint64_t size = 4096;

    /// Returns true and records the number if it is new. Zero is never valid.
    bool accept(std::uint64_t sequence);

private:
    /// True if the number's bit was not set before.
    bool testAndSet(std::uint64_t sequence);
    void clearRange(std::uint64_t first, std::uint64_t last);

    std::array<std::uint64_t, size / 64> bits_ {};
    std::uint64_t highest_ { 0 };
};

} // namespace Balsammill
