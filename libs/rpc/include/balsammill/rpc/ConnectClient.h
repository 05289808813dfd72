#pragma once

#include "balsammill/rpc/RpcMessages.h"

namespace Balsammill {

struct ConnectCall {
    NetworkAddress address;
    MethodName method;
    Encoding encoding { Encoding::Json };
    std::string body {};
    ClientAccountName clientAccount {};
    std::string bearerToken {};
    /// Sent as Balsammill-Task-Id. Identifies the call in the timeline and in the start logs of upstreams.
    std::string taskId {};
    TimePoint deadline;
};

/// Makes one call on a new connection; intended for the command line and tests. Throws RpcError. If the connection is
/// refused, the verdict of the error is not-run.
RpcAnswer callOnce(const ConnectCall&);

/// Fetches a page with GET. Throws RpcError.
PageAnswer fetchPage(const NetworkAddress&, const std::string& path, TimePoint deadline);

} // namespace Balsammill
