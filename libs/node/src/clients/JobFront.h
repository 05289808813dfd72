#pragma once

#include "JobClient.h"
#include "NodeContext.h"

#include "balsammill/http/HttpServer.h"
#include "balsammill/routing/RoutingConfig.h"

#include <memory>

namespace Balsammill {

/// Answers clients: finds the queue of a request, hands jobs to the job client, and writes the answers.
class JobFront {
public:
    JobFront(NodeContext&, JobClient&);

    /// Null until the first configuration is known.
    void adopt(std::shared_ptr<const QueueTable>);
    /// The process ends at that time: jobs that would not end before are refused from now on.
    void stopAt(TimePoint time) { stopAt_ = time; }
    void handle(const HttpRequest&, const std::shared_ptr<HttpExchange>&);

private:
    void submit(const QueueConfig&, const std::string& id, const HttpRequest&, const std::shared_ptr<HttpExchange>&);
    /// Asks for the state of a durable job, or cancels it.
    void ask(const JobId&, bool cancel, const HttpRequest&, const std::shared_ptr<HttpExchange>&);
    static TimePoint answerBy(const HttpRequest&, TimePoint arrivedAt);

    NodeContext& context_;
    JobClient& jobs_;
    std::shared_ptr<const QueueTable> queues_;
    TimePoint stopAt_ { TimePoint::max() };
};

} // namespace Balsammill
