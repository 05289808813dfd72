#pragma once

#include "balsammill/base/Units.h"

#include <Poco/JSON/Object.h>

#include <cstdint>
#include <optional>

namespace Balsammill::Standin {

/// Faults in one direction of a route.
struct DirectionFaults {
    Duration delay {};
    /// Upper bound of a uniformly distributed time that is added to the delay.
    Duration jitter {};
    /// Bytes are discarded.
    bool drop { false };
    /// Bytes are queued until the fault is cleared.
    bool hold { false };
};

/// Faults of one route, which apply to its existing and new connections.
struct RouteFaults {
    DirectionFaults toTarget {};
    DirectionFaults fromTarget {};
    /// Existing connections are reset and new ones refused.
    bool cut { false };
    /// Each connection is closed after it has forwarded this many bytes since the faults were set, both directions
    /// together.
    std::optional<std::uint64_t> closeAfterBytes {};
};

/// Parses {"delay_ms","jitter_ms","cut","drop_to_target","drop_from_target","hold","close_after_bytes"}. An absent
/// member means that the fault is off. Throws Poco::Exception or std::invalid_argument.
RouteFaults parseRouteFaults(const Poco::JSON::Object&);

} // namespace Balsammill::Standin
