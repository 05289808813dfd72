#pragma once

#include "balsammill/base/StrongId.h"

#include <array>
#include <cstdint>
#include <string>

namespace balsammill::v1 {
class SubmitRequest;
}

namespace Balsammill {

/// Builds "<client account>/<home>/<id>". '/' and '%' inside the parts are escaped, so that different parts always give
/// different keys.
JobKey makeJobKey(const ClientAccountName&, const FailureDomain& home, const JobId&);

/// Extracts the unescaped job id from a key.
JobId jobIdOf(const JobKey&);

/// First 128 bits of a SHA-256 digest.
using Digest128 = std::array<std::uint8_t, 16>;

/// Digest of the method and the tasks of a job as submitted.
Digest128 contentDigest(const balsammill::v1::SubmitRequest&);

/// Digest that identifies a job in its tombstone after its result was evicted.
Digest128 keyDigest(const JobKey&);

std::string toBytes(const Digest128&);
/// Longer input is truncated, shorter input is padded with zeros.
Digest128 digestFromBytes(const std::string&);

} // namespace Balsammill
