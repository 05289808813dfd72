#pragma once

#include "balsammill/base/StrongId.h"

#include <functional>

namespace balsammill::internal {
class PeerMessage;
}

namespace Balsammill {

/// Sends a message to the entry process on a VM. Returns false only if the message was certainly not sent.
using PeerSender = std::function<bool(const VmName&, const balsammill::internal::PeerMessage&)>;

} // namespace Balsammill
