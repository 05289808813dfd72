#pragma once

#include "balsammill/base/StrongId.h"

#include <cstdint>

namespace Balsammill {

/// Work of one team in one entry process.
struct TeamDemand {
    TeamName team;
    std::uint32_t slotsInUse { 0 };
    /// Slots that the team's queued tasks ask for.
    std::uint32_t queued { 0 };
};

} // namespace Balsammill
