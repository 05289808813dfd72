#pragma once

#include "JobClient.h"
#include "NodeContext.h"

#include "balsammill/http/HttpServer.h"
#include "balsammill/routing/RoutingConfig.h"

#include <memory>

namespace Balsammill {

/// Handles client HTTP requests: finds the queue, passes jobs to the JobClient, and writes the responses.
class ClientRequestHandler {
public:
    ClientRequestHandler(NodeContext&, JobClient&);

    /// Sets the queues of the current configuration. Requests are refused until the first call.
    void setQueues(std::shared_ptr<const QueueTable>);
    /// Sets the time at which the process exits. Jobs that are not expected to finish before it are refused from now
    /// on.
    void stopAt(TimePoint time) { stopAt_ = time; }
    void handle(const HttpRequest&, const std::shared_ptr<HttpExchange>&);

private:
    void submit(const QueueConfig&, const std::string& id, const HttpRequest&, const std::shared_ptr<HttpExchange>&);
    /// Queries the state of a durable job, or cancels the job.
    void queryOrCancel(const JobId&, bool cancel, const HttpRequest&, const std::shared_ptr<HttpExchange>&);
    static TimePoint responseDeadline(const HttpRequest&, TimePoint arrivedAt);

    NodeContext& context_;
    JobClient& jobs_;
    std::shared_ptr<const QueueTable> queues_;
    TimePoint stopAt_ { TimePoint::max() };
};

} // namespace Balsammill
