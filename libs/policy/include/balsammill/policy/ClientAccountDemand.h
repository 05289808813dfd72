#pragma once

#include "balsammill/base/StrongId.h"

#include <cstdint>

namespace Balsammill {

/// Work of one client account in one entry process.
struct ClientAccountDemand {
    ClientAccountName clientAccount;
    std::uint32_t slotsInUse { 0 };
    /// Slots that the client account's queued tasks ask for.
    std::uint32_t queued { 0 };
};

} // namespace Balsammill
