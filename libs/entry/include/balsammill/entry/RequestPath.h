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

/// The way of a caller's request through an entry process, from its arrival to its answer. Thread-safe.
class RequestPath {
public:
    explicit RequestPath(RequestPathOptions);

    /// Answers one call, or throws the RpcError that the caller is told.
    RpcAnswer handle(const RpcRequest&);

    /// Verdict of a request that this process refuses without asking the job's home: an earlier submission of the same
    /// job may have run by way of another entry.
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
