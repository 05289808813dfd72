#pragma once

#include "LoopThread.h"

#include "balsammill/http/HttpServer.h"

#include <memory>
#include <set>
#include <string>

namespace Standin {

/// Stand-in for the operators' advice service that implements its published protocol. It allows the same upstreams for
/// every step.
class AdviceService {
public:
    AdviceService(LoopThread&, std::set<std::string> allowedUpstreams);
    ~AdviceService();

    std::string address() const { return address_; }
    /// Answers the given number of following calls with status 429.
    void refuseNext(int calls);
    int calls() const;
    /// Returns true if the ticket permits to start the task on the upstream.
    static bool accepts(const std::string& ticket, const std::string& task, const std::string& upstream);

private:
    void handle(const Balsammill::HttpRequest&, const std::shared_ptr<Balsammill::HttpExchange>&);

    LoopThread& loop_;
    std::set<std::string> allowedUpstreams_;
    std::unique_ptr<Balsammill::HttpServer> server_;
    std::string address_;
    int refusalsLeft_ { 0 };
    int calls_ { 0 };
};

} // namespace Standin
