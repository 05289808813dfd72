#pragma once

#include "balsammill/base/Units.h"

#include <Poco/JSON/Object.h>

#include <cstdint>
#include <optional>

namespace Balsammill::Standin {

/// What happens to bytes in one direction of a route.
struct DirectionFaults {
    Duration delay {};
    /// Up to this much is added to the delay, evenly distributed.
    Duration jitter {};
    /// Bytes are swallowed.
    bool drop { false };
    /// Bytes are kept until the hold ends.
    bool hold { false };
};

/// Faults of one route; they apply to its present and later connections.
struct RouteFaults {
    DirectionFaults toTarget {};
    DirectionFaults fromTarget {};
    /// Present connections are reset and new ones refused.
    bool cut { false };
    /// Each connection is closed after it has carried this many more bytes, both directions together.
    std::optional<std::uint64_t> closeAfterBytes {};
};

/// Reads {"delay_ms","jitter_ms","cut","drop_to_target","drop_from_target","hold","close_after_bytes"}. Absent members
/// mean no such fault. Throws Poco::Exception or std::invalid_argument.
RouteFaults parseRouteFaults(const Poco::JSON::Object&);

} // namespace Balsammill::Standin
