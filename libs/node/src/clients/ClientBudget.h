#pragma once

#include "balsammill/http/HttpServer.h"
#include "balsammill/routing/NodeSettings.h"

namespace Balsammill {

/// What all client connections of an entry may use together, by the memory and the descriptors of its VM. The rest is
/// kept for upstreams, the store and other entries.
HttpServerBudget clientBudget(const NodeSettings&);

/// What the connections to a listener for the platform or for metrics may use.
HttpServerBudget internalBudget();

} // namespace Balsammill
