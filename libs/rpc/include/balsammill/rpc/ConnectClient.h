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
    /// Sent as Balsammill-Task-Id; names the call in time line and start logs.
    std::string taskId {};
    TimePoint deadline;
};

/// Makes one call on a new connection, for the command line and tests. Throws RpcError; a refused connection is
/// not-run.
RpcAnswer callOnce(const ConnectCall&);

/// Fetches a plain page. Throws RpcError.
PageAnswer fetchPage(const NetworkAddress&, const std::string& path, TimePoint deadline);

} // namespace Balsammill
