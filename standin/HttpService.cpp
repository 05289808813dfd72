#include "HttpService.h"

#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

#include <sstream>

namespace Balsammill::Standin {

namespace {

using Poco::Net::HTTPRequestHandler;

constexpr std::streamsize maxBodyBytes = 64 * 1024 * 1024;

class FunctionHandler : public HTTPRequestHandler {
public:
    explicit FunctionHandler(const HttpServiceOptions& options)
        : options_(options)
    {
    }

    void handleRequest(HttpRequest& request, HttpResponse& response) override
    {
        try {
            options_.handler(request, response);
        } catch (const Poco::Exception& error) {
            sendBadRequest(response, error.displayText());
        } catch (const std::exception& error) {
            sendBadRequest(response, error.what());
        }
    }

private:
    static void sendBadRequest(HttpResponse& response, const std::string& text)
    {
        if (response.sent())
            closeWithoutAnswer(response);
        else
            sendAnswer(response, 400, "text/plain", text + "\n");
    }

    const HttpServiceOptions& options_;
};

class FunctionFactory : public Poco::Net::HTTPRequestHandlerFactory {
public:
    explicit FunctionFactory(HttpServiceOptions options)
        : options_(std::move(options))
    {
    }

    HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest&) override
    {
        return new FunctionHandler(options_);
    }

private:
    HttpServiceOptions options_;
};

class ConnectionLimit : public Poco::Net::TCPServerConnectionFilter {
public:
    ConnectionLimit(const Poco::Net::TCPServer& server, int limit)
        : server_(server)
        , limit_(limit)
    {
    }

    bool accept(const Poco::Net::StreamSocket&) override { return server_.currentConnections() < limit_; }

private:
    const Poco::Net::TCPServer& server_;
    int limit_;
};

Poco::Net::HTTPServerParams::Ptr makeParams(int maxConnections)
{
    Poco::Net::HTTPServerParams::Ptr params(new Poco::Net::HTTPServerParams);
    params->setMaxThreads(maxConnections);
    params->setMaxQueued(maxConnections);
    params->setKeepAlive(true);
    // Longer than any test, so that an idle connection is closed by the peer under test and not by the stand-in.
    params->setKeepAliveTimeout(Poco::Timespan(600, 0));
    params->setTimeout(Poco::Timespan(60, 0));
    return params;
}

} // namespace

struct HttpService::Impl {
    Poco::ThreadPool threads;
    Poco::Net::HTTPServer server;

    explicit Impl(const HttpServiceOptions& options)
        : threads(1, options.maxConnections + 1)
        , server(new FunctionFactory(options), threads,
              Poco::Net::ServerSocket(Poco::Net::SocketAddress("127.0.0.1", options.port), 1024),
              makeParams(options.maxConnections))
    {
        server.setConnectionFilter(new ConnectionLimit(server, options.maxConnections));
        server.start();
    }
};

HttpService::HttpService(const HttpServiceOptions& options)
    : impl_(std::make_unique<Impl>(options))
{
}

HttpService::~HttpService()
{
    impl_->server.stopAll(true);
    impl_->threads.joinAll();
}

std::uint16_t HttpService::port() const { return impl_->server.port(); }

int HttpService::currentConnections() const { return impl_->server.currentConnections(); }

std::string readBody(HttpRequest& request)
{
    std::string body;
    const auto length = request.getContentLength64();
    if (length == Poco::Net::HTTPMessage::UNKNOWN_CONTENT_LENGTH) {
        Poco::StreamCopier::copyToString(request.stream(), body);
        return body;
    }
    if (length > maxBodyBytes)
        throw Poco::DataException("body is too large");
    body.resize(static_cast<std::size_t>(length));
    request.stream().read(body.data(), length);
    if (request.stream().gcount() != length)
        throw Poco::DataException("body was cut");
    return body;
}

Poco::JSON::Object::Ptr readJson(HttpRequest& request)
{
    return Poco::JSON::Parser().parse(readBody(request)).extract<Poco::JSON::Object::Ptr>();
}

void sendAnswer(HttpResponse& response, int status, std::string_view contentType, std::string_view body)
{
    const auto code = static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status);
    response.setStatusAndReason(code, Poco::Net::HTTPResponse::getReasonForStatus(code));
    response.setContentType(std::string(contentType));
    response.sendBuffer(body.data(), body.size());
}

void sendJson(HttpResponse& response, const Poco::JSON::Object& object)
{
    std::ostringstream text;
    object.stringify(text);
    sendAnswer(response, 200, "application/json", text.str() + "\n");
}

void closeWithoutAnswer(HttpResponse& response) { response.setKeepAlive(false); }

void resetConnection(HttpRequest& request, HttpResponse& response)
{
    dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket().setLinger(true, 0);
    closeWithoutAnswer(response);
}

Target parseTarget(const std::string& uri)
{
    const auto queryStart = uri.find('?');
    Target target;
    Poco::URI::decode(uri.substr(0, queryStart), target.path);
    if (queryStart != std::string::npos)
        target.query = uri.substr(queryStart + 1);
    return target;
}

std::string queryValue(const Target& target, const std::string& name)
{
    Poco::URI uri;
    uri.setRawQuery(target.query);
    for (const auto& [key, value] : uri.getQueryParameters()) {
        if (key == name)
            return value;
    }
    return {};
}

} // namespace Balsammill::Standin
