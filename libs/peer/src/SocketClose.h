#pragma once

#include "balsammill/base/Units.h"

#include <nng/nng.h>

namespace Balsammill::Detail {

/// Closes a socket on a thread of its own and waits for it until the limit; false if it was not closed by then.
///
/// nng_close of nng 1.5.2 can wait for ever if the other side closes a connection in the middle of a message. The
/// thread and the socket are then given up, so that neither the control loop nor a planned stop hangs.
bool closeSocket(nng_socket, Duration limit);

} // namespace Balsammill::Detail
