#pragma once

#include "balsammill/membership/MemberView.h"

#include <vector>

namespace Balsammill {

/// Returns the upstreams of the domain that this process owns. They are distributed by rendezvous hashing over the live
/// entries of the domain, in equal shares: the numbers of upstreams of two entries differ by one at most.
///
/// A suspect entry keeps its upstreams; a dead or leaving one does not. If this process is leaving and no other entry
/// can take over, it keeps all upstreams in order to finish its queue.
std::vector<VmName> ownedUpstreams(const std::vector<VmName>& upstreams, const MemberView&);

} // namespace Balsammill
