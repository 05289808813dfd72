#pragma once

#include "balsammill/base/StrongId.h"

#include <Poco/Net/SocketAddress.h>

namespace Balsammill::Detail {

/// Parses "host:port" with a numeric IPv4 host or a bracketed IPv6 host, without name resolution.
/// Throws std::invalid_argument with the address in its message.
Poco::Net::SocketAddress parseNumericAddress(const NetworkAddress&);

} // namespace Balsammill::Detail
