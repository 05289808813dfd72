#include "Commands.h"

#include "HttpService.h"
#include "Lifetime.h"
#include "ProxyLoop.h"

#include <CLI/CLI.hpp>

#include <memory>

namespace Balsammill::Standin {

namespace {

constexpr std::string_view routePrefix = "/control/routes/";

struct Options {
    ListenOptions listen;
    std::vector<std::string> routes;
    std::uint64_t seed { 1 };
};

void sendCounters(HttpResponse& response, ProxyLoop& loop)
{
    Poco::JSON::Object all;
    for (const auto& [name, counters] : loop.counters()) {
        Poco::JSON::Object row;
        row.set("accepted", counters.accepted);
        row.set("open", counters.open);
        all.set(name, row);
    }
    sendJson(response, all);
}

void handleControl(HttpRequest& request, HttpResponse& response, ProxyLoop& loop)
{
    const auto target = parseTarget(request.getURI());
    if (request.getMethod() == "PUT" && target.path.starts_with(routePrefix)) {
        loop.setFaults(target.path.substr(routePrefix.size()), parseRouteFaults(*readJson(request)));
        sendAnswer(response, 200, "text/plain", "");
    } else if (request.getMethod() == "GET" && target.path == "/control/counters") {
        sendCounters(response, loop);
    } else {
        sendAnswer(response, 404, "text/plain", "");
    }
}

void runProxy(const Options& options)
{
    const Lifetime lifetime(options.listen.exitWithStdin);
    ProxyLoop loop(options.seed);
    std::map<std::string, std::uint16_t> ports;
    for (const auto& route : options.routes) {
        const auto separator = route.find('=');
        if (separator == 0 || separator == std::string::npos)
            throw std::invalid_argument("route \"" + route + "\" must be NAME=TARGET");
        const auto name = route.substr(0, separator);
        ports[name] = loop.addRoute(name, route.substr(separator + 1));
    }
    const HttpService http({ .port = options.listen.port,
        .handler = [&](HttpRequest& request, HttpResponse& response) { handleControl(request, response, loop); } });
    printReady(http.port(), toJson(ports));
    lifetime.waitForShutdown();
    exitProcess();
}

} // namespace

void addProxyCommand(CLI::App& app)
{
    auto options = std::make_shared<Options>();
    auto* command
        = app.add_subcommand("proxy", "Forward TCP connections and inject faults; --port is the control port");
    addListenOptions(*command, options->listen);
    command->add_option("--route", options->routes, "NAME=HOST:PORT; each route gets a port of its own")->required();
    command->add_option("--seed", options->seed, "Seed of the jitter");
    command->callback([options] { runProxy(*options); });
}

} // namespace Balsammill::Standin
