#pragma once

#include "balsammill/base/RcuCell.h"
#include "balsammill/config/ActiveConfig.h"
#include "balsammill/membership/MemberView.h"
#include "balsammill/rpc/RpcMessages.h"

#include <atomic>
#include <string>

namespace Balsammill {

class Dispatcher;
class JobService;
class Metrics;
class Timeline;
struct DispatchTask;

struct RequestPathOptions {
    const RcuCell<ActiveConfig>& config;
    const RcuCell<MemberView>& members;
    Dispatcher& dispatcher;
    JobService& jobs;
    Timeline& timeline;
    Metrics& metrics;
    /// Prefix of the call ids that this process assigns.
    std::string callIdPrefix;
};

/// Processes requests of callers: validates them, dispatches them and encodes the answers. Thread-safe.
class RequestPath {
public:
    explicit RequestPath(RequestPathOptions);

    /// Answers one call, or throws the RpcError to be returned to the caller.
    RpcAnswer handle(const RpcRequest&);

    /// Verdict of a request that this process refuses by itself. For a service call it is not-run. For a job call it is
    /// may-have-run: the job's home failure domain was not asked, and the same job may have run after an earlier
    /// submission to another entry.
    static Verdict verdictOfRefusal(const MethodName&);

private:
    RpcAnswer handleJobCall(const RpcRequest&, const ActiveConfig&);
    DispatchTask checkServiceCall(const RpcRequest&, const ActiveConfig&, const std::string& callId);
    RpcAnswer dispatchAndWait(const RpcRequest&, const ActiveConfig&, DispatchTask);
    void recordRefusal(const RpcRequest&, const std::string& callId, const RpcError&);

    RequestPathOptions options_;
    std::atomic<std::uint64_t> nextCallNumber_ { 1 };
};

} // namespace Balsammill
