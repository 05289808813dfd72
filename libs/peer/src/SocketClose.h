#pragma once

#include "balsammill/base/Units.h"

#include <nng/nng.h>

namespace Balsammill::Detail {

/// Closes a socket on a detached thread and waits up to the timeout for it; returns false if it was not closed by then.
///
/// nng_close of nng 1.5.2 can block forever if the remote side closes a connection in the middle of a message. The
/// thread and the socket are then abandoned, so that neither the control loop nor a graceful shutdown hangs.
bool closeSocket(nng_socket, Duration timeout);

} // namespace Balsammill::Detail
