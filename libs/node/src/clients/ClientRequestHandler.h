#pragma once

#include "JobClient.h"
#include "NodeContext.h"

#include "balsammill/http/HttpServer.h"
#include "balsammill/routing/RoutingConfig.h"

#include <map>
#include <memory>
#include <vector>

namespace Balsammill {

/// Handles client HTTP requests: finds the queue, passes jobs to the JobClient, and writes the responses.
class ClientRequestHandler {
public:
    ClientRequestHandler(NodeContext&, JobClient&);

    /// Sets the queues of the current configuration, and handles the requests that waited for the first one.
    void setQueues(std::shared_ptr<const QueueTable>);
    /// Refuses requests that have waited too long for the first configuration.
    void advance(TimePoint now);
    /// Sets the time at which the process exits. Jobs that are not expected to finish before it are refused from now
    /// on.
    void stopAt(TimePoint time) { stopAt_ = time; }
    void handle(const HttpRequest&, const std::shared_ptr<HttpExchange>&);
    /// A client connection was closed to keep the limits on all of them.
    void handleLimit(HttpBudgetLimit);

private:
    // A request that arrived before the first configuration.
    struct EarlyRequest {
        HttpRequest request;
        std::shared_ptr<HttpExchange> exchange;
        TimePoint arrivedAt {};
        TimePoint refuseAt {};
    };

    void handle(const HttpRequest&, const std::shared_ptr<HttpExchange>&, TimePoint arrivedAt);
    void keepUntilConfigured(const HttpRequest&, const std::shared_ptr<HttpExchange>&);
    void refuseUnconfigured(HttpExchange&);
    void submit(const QueueConfig&, const std::string& id, const HttpRequest&, const std::shared_ptr<HttpExchange>&,
        TimePoint arrivedAt);
    /// Queries the state of a durable job, or cancels the job.
    void queryOrCancel(
        const JobId&, bool cancel, const HttpRequest&, const std::shared_ptr<HttpExchange>&, TimePoint arrivedAt);
    static TimePoint responseDeadline(const HttpRequest&, TimePoint arrivedAt);

    NodeContext& context_;
    JobClient& jobs_;
    std::shared_ptr<const QueueTable> queues_;
    std::vector<EarlyRequest> earlyRequests_;
    // When the next log line about a limit may be written.
    std::map<HttpBudgetLimit, TimePoint> nextLimitLine_;
    TimePoint stopAt_ { TimePoint::max() };
};

} // namespace Balsammill
