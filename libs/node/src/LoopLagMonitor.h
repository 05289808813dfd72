#pragma once

#include "balsammill/base/Units.h"

#include <cstdint>

namespace Balsammill {

/// Detects that this process cannot keep up, by how late the ticks of its event loop are.
class LoopLagMonitor {
public:
    /// Records a tick that was due at the given time.
    void noteTick(TimePoint due, TimePoint now);
    /// True if half of the ticks of the last second were late. False until as many have been recorded.
    bool isOverloaded() const;
    /// How late the last tick was.
    Duration lastLag() const { return lastLag_; }

private:
    // Whether each of the latest ticks was late, the newest one in the lowest bit.
    std::uint32_t late_ { 0 };
    unsigned recorded_ { 0 };
    Duration lastLag_ {};
};

} // namespace Balsammill
