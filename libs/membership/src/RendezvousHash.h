#pragma once

#include "balsammill/base/StrongId.h"

#include <cstdint>

namespace Balsammill::Detail {

/// Weight of the pair for rendezvous hashing; the same in every process and build.
std::uint64_t rendezvousHash(const VmName& item, const VmName& owner);

} // namespace Balsammill::Detail
