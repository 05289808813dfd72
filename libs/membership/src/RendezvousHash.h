#pragma once

#include "balsammill/base/StrongId.h"

#include <cstdint>

namespace Balsammill::Detail {

/// Weight of the pair of item and owner for rendezvous hashing; identical in every process and build.
std::uint64_t rendezvousHash(const VmName& item, const VmName& owner);

} // namespace Balsammill::Detail
