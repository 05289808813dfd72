#pragma once

#include "balsammill/base/StrongId.h"

#include <array>
#include <cstdint>
#include <string>

namespace balsammill::v1 {
class SubmitRequest;
}

namespace Balsammill {

/// Builds "<client account>/<home>/<id>"; '/' and '%' inside the parts are escaped, so that different parts never give
/// one key.
JobKey makeJobKey(const ClientAccountName&, const FailureDomain& home, const JobId&);

/// The id inside a key.
JobId jobIdOf(const JobKey&);

/// First 128 bits of a SHA-256.
using Digest128 = std::array<std::uint8_t, 16>;

/// Digest of a job's content: its method and its tasks as submitted.
Digest128 contentDigest(const balsammill::v1::SubmitRequest&);

/// Digest by which a job whose answer was evicted is still recognised.
Digest128 keyDigest(const JobKey&);

std::string toBytes(const Digest128&);
/// Shorter or longer input is cut or padded with zeros.
Digest128 digestFromBytes(const std::string&);

} // namespace Balsammill
