#pragma once

#include "balsammill/base/Log.h"
#include "balsammill/base/ProcessId.h"
#include "balsammill/base/RcuCell.h"
#include "balsammill/membership/MemberView.h"
#include "balsammill/rpc/RpcMessages.h"

#include <functional>
#include <string>

namespace balsammill::v1 {
class StateResponse;
}

namespace Balsammill {

class ConfigService;
class Timeline;

struct OperatorServiceOptions {
    ProcessId self;
    std::string token;
    ConfigService& config;
    Timeline& timeline;
    /// Builds the response of GetState.
    std::function<balsammill::v1::StateResponse()> state;
};

/// Implements the operator API (balsammill.v1.Operator). Thread-safe.
class OperatorService {
public:
    explicit OperatorService(OperatorServiceOptions);

    /// Answers one call or throws RpcError. For a wrong or missing token, the error is unauthenticated with verdict
    /// not-run.
    RpcAnswer handle(const RpcRequest&);

private:
    void requireToken(const RpcRequest&);
    RpcAnswer readTimeline(const RpcRequest&) const;

    OperatorServiceOptions options_;
    LogLimiter refusalLog_ { std::chrono::seconds(1) };
};

} // namespace Balsammill
