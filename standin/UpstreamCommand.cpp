#include "Commands.h"

#include "Lifetime.h"
#include "UpstreamService.h"

#include <CLI/CLI.hpp>

#include <future>
#include <memory>
#include <optional>
#include <vector>

namespace Balsammill::Standin {

namespace {

/// Connections that are accepted in addition to --max-connections, so that control requests of tests reach an upstream
/// whose connections are all in use.
constexpr int controlConnections = 4;

struct Options {
    ListenOptions listen;
    std::vector<std::string> schemaFiles;
    std::string protoRoot { "." };
    std::uint32_t slots { 8 };
    int maxConnections { 64 };
    std::uint16_t count { 1 };
    std::optional<double> runMs;
    std::optional<double> medianMs;
    double sigma { 0.5 };
    std::string startLog;
    std::uint64_t seed { 1 };
};

Duration fromMilliseconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value));
}

RunTimeModel runTimeOf(const Options& options)
{
    if (options.runMs)
        return FixedRunTime { fromMilliseconds(*options.runMs) };
    if (options.medianMs)
        return LognormalRunTime { .median = fromMilliseconds(*options.medianMs), .sigma = options.sigma };
    return DeclaredRunTime {};
}

/// An upstream with its start log and HTTP server.
struct RunningUpstream {
    std::unique_ptr<StartLog> log;
    std::unique_ptr<UpstreamService> service;
    std::unique_ptr<HttpService> http;
};

/// The HTTP server starts first, because the log needs the port that the system chose. Calls that arrive before the
/// service exists wait in the handler.
RunningUpstream startUpstream(const Options& options, std::uint16_t index,
    const std::shared_ptr<const EchoMessages>& messages, StartLogFile* file)
{
    const auto port
        = options.listen.port == 0 ? std::uint16_t { 0 } : static_cast<std::uint16_t>(options.listen.port + index);
    auto ready = std::make_shared<std::promise<UpstreamService*>>();
    const std::shared_future<UpstreamService*> service = ready->get_future();
    RunningUpstream upstream;
    upstream.http = std::make_unique<HttpService>(HttpServiceOptions { .port = port,
        .maxConnections = options.maxConnections + controlConnections,
        .handler
        = [service](HttpRequest& request, HttpResponse& response) { service.get()->handle(request, response); } });
    upstream.log = std::make_unique<StartLog>(upstream.http->port(), file);
    upstream.service = std::make_unique<UpstreamService>(UpstreamOptions { .messages = messages,
                                                             .slots = Slots { options.slots },
                                                             .runTime = runTimeOf(options),
                                                             .seed = options.seed + index },
        *upstream.log);
    ready->set_value(upstream.service.get());
    return upstream;
}

void runUpstreams(const Options& options)
{
    const Lifetime lifetime(options.listen.exitWithStdin);
    const auto messages = std::make_shared<const EchoMessages>(loadSchema(options.protoRoot, options.schemaFiles));
    const auto file = options.startLog.empty() ? nullptr : std::make_unique<StartLogFile>(options.startLog);
    std::vector<RunningUpstream> upstreams;
    std::vector<std::uint16_t> ports;
    for (std::uint16_t i = 0; i < options.count; ++i) {
        upstreams.push_back(startUpstream(options, i, messages, file.get()));
        ports.push_back(upstreams.back().http->port());
    }
    printReady(ports.front(), toJson(ports));
    lifetime.waitForShutdown();
    exitProcess();
}

} // namespace

void addUpstreamCommand(CLI::App& app)
{
    auto options = std::make_shared<Options>();
    auto* command
        = app.add_subcommand("upstream", "Serve the calls of a schema; each takes its run time and echoes its request");
    addListenOptions(*command, options->listen);
    command->add_option("--schema", options->schemaFiles, "Schema file relative to the import root")->required();
    command->add_option("--proto-root", options->protoRoot, "Import root of the schema files");
    command->add_option("--slots", options->slots, "Slots of each upstream (units of concurrent work)");
    command->add_option(
        "--max-connections", options->maxConnections, "Limit of concurrent connections to each upstream");
    command->add_option("--count", options->count, "Upstreams in this process, each on its own port")
        ->check(CLI::Range(1, 1000));
    auto* fixed = command->add_option("--run-ms", options->runMs, "Fixed run time; the default is the declared one");
    command->add_option("--run-median-ms", options->medianMs, "Median of lognormal run times")->excludes(fixed);
    command->add_option("--run-sigma", options->sigma, "Sigma of lognormal run times");
    command->add_option("--start-log", options->startLog, "File to which starts and ends are appended");
    command->add_option("--seed", options->seed, "Seed of the run times");
    command->callback([options] { runUpstreams(*options); });
}

} // namespace Balsammill::Standin
