#pragma once

#include "balsammill/base/StrongId.h"

#include <functional>

namespace balsammill::internal {
class PeerMessage;
}

namespace Balsammill {

/// Sends a message to the entry process on a VM; false if it certainly was not sent.
using PeerSender = std::function<bool(const VmName&, const balsammill::internal::PeerMessage&)>;

} // namespace Balsammill
