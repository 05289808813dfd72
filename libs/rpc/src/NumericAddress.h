#pragma once

#include "balsammill/base/StrongId.h"

#include <Poco/Net/SocketAddress.h>

namespace Balsammill::Detail {

/// Parses "host:port" with a numeric IPv4 host or a bracketed IPv6 host, without any name look-up.
/// Throws std::invalid_argument that names the address.
Poco::Net::SocketAddress parseNumericAddress(const NetworkAddress&);

} // namespace Balsammill::Detail
