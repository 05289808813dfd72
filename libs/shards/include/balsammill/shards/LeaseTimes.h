#pragma once

#include "balsammill/base/Units.h"

namespace Balsammill::Shards {

// If a stop has no effect within this time, the upstream's lease is no longer extended; its expiry ends the run in any
// case.
inline constexpr Duration stopTimeout = std::chrono::milliseconds(300);
// A task whose lease is shorter would lapse before a report can extend it.
inline constexpr Duration minStartLease = std::chrono::milliseconds(300);

} // namespace Balsammill::Shards
