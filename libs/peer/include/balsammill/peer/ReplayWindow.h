#pragma once

#include <array>
#include <cstdint>

namespace Balsammill {

/// Recognises sequence numbers of one sender incarnation that were seen before. Not thread-safe.
///
/// Numbers that are more than the window behind the highest one count as seen, because nothing is remembered of them.
class ReplayWindow {
public:
    static constexpr std::uint64_t size = 4096;

    /// True if the number is new; it then counts as seen. Zero is never valid.
    bool accept(std::uint64_t sequence);

private:
    bool testAndSet(std::uint64_t sequence);
    void clearBetween(std::uint64_t first, std::uint64_t last);

    std::array<std::uint64_t, size / 64> bits_ {};
    std::uint64_t highest_ { 0 };
};

} // namespace Balsammill
