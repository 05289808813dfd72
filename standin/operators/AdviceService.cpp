#include "AdviceService.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace Standin {

using Balsammill::HttpExchange;
using Balsammill::HttpRequest;

namespace {

std::string ticketFor(const std::string& step, const std::string& upstream) { return "t-" + step + "-" + upstream; }

} // namespace

AdviceService::AdviceService(LoopThread& loop, std::set<std::string> allowedUpstreams)
    : loop_(loop)
    , allowedUpstreams_(std::move(allowedUpstreams))
{
    loop_.run([this] {
        server_ = std::make_unique<Balsammill::HttpServer>(loop_.context(), Balsammill::NetworkAddress("127.0.0.1:0"),
            [this](const HttpRequest& request, const std::shared_ptr<HttpExchange>& exchange) {
                handle(request, exchange);
            });
        address_ = server_->localAddress().value;
    });
}

AdviceService::~AdviceService()
{
    loop_.run([this] { server_.reset(); });
}

void AdviceService::refuseNext(int calls)
{
    loop_.run([&] { refusalsLeft_ = calls; });
}

int AdviceService::calls() const
{
    int calls = 0;
    loop_.run([&] { calls = calls_; });
    return calls;
}

bool AdviceService::accepts(const std::string& ticket, const std::string& task, const std::string& upstream)
{
    return ticket == ticketFor(task.substr(0, task.rfind('.')), upstream);
}

void AdviceService::handle(const HttpRequest& request, const std::shared_ptr<HttpExchange>& exchange)
{
    ++calls_;
    if (refusalsLeft_ > 0) {
        --refusalsLeft_;
        exchange->respond({ .status = 429, .fields = {}, .body = {} });
        return;
    }
    rapidjson::Document body;
    body.Parse(request.body.data(), request.body.size());
    const std::string step = body["step"].GetString();
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    writer.StartObject();
    writer.Key("good");
    writer.StartArray();
    for (const auto& each : body["workers"].GetArray()) {
        const std::string upstream = each.GetString();
        if (!allowedUpstreams_.contains(upstream))
            continue;
        writer.StartArray();
        writer.String(upstream.c_str());
        writer.String(ticketFor(step, upstream).c_str());
        writer.EndArray();
    }
    writer.EndArray();
    writer.EndObject();
    exchange->respond({ .status = 200, .fields = {}, .body = buffer.GetString() });
}

} // namespace Standin
