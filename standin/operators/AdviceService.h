#pragma once

#include "LoopThread.h"

#include "balsammill/http/HttpServer.h"

#include <memory>
#include <set>
#include <string>

namespace Standin {

/// The operators' advice service by its published protocol. The same upstreams may run every step.
class AdviceService {
public:
    AdviceService(LoopThread&, std::set<std::string> allowedUpstreams);
    ~AdviceService();

    std::string address() const { return address_; }
    /// The next calls are answered with 429.
    void refuse(int calls);
    int calls() const;
    /// Whether a start of the task on the upstream may carry the ticket.
    static bool accepts(const std::string& ticket, const std::string& task, const std::string& upstream);

private:
    void handle(const Balsammill::HttpRequest&, const std::shared_ptr<Balsammill::HttpExchange>&);

    LoopThread& loop_;
    std::set<std::string> allowed_;
    std::unique_ptr<Balsammill::HttpServer> server_;
    std::string address_;
    int refusals_ { 0 };
    int calls_ { 0 };
};

} // namespace Standin
