#pragma once

#include "balsammill/base/StrongId.h"

#include <cstdint>

namespace Balsammill {

/// Running and queued work of one client account in one entry process.
struct ClientAccountDemand {
    ClientAccountName clientAccount;
    std::uint32_t slotsInUse { 0 };
    /// Slots required by the queued tasks of the client account.
    std::uint32_t queued { 0 };
};

} // namespace Balsammill
