#include "Commands.h"

#include "Lifetime.h"
#include "PlatformService.h"

#include <CLI/CLI.hpp>

#include <memory>

namespace Balsammill::Standin {

void addListenOptions(CLI::App& command, ListenOptions& options)
{
    command.add_option("--port", options.port, "Port to listen on; 0 lets the system choose");
    command.add_flag("--exit-with-stdin", options.exitWithStdin, "End when standard input ends");
}

void addPlatformCommand(CLI::App& app)
{
    struct Options {
        ListenOptions listen;
        std::uint64_t seed { 1 };
        int maxConnections { 512 };
    };
    auto options = std::make_shared<Options>();
    auto* command = app.add_subcommand("platform", "Serve the platform's table, object store and VM list");
    addListenOptions(*command, options->listen);
    command->add_option("--seed", options->seed, "Seed of the lost answers");
    command->add_option("--max-connections", options->maxConnections, "Concurrent connections")
        ->check(CLI::Range(1, 4096));
    command->callback([options] {
        const Lifetime lifetime(options->listen.exitWithStdin);
        PlatformService platform(options->seed);
        const HttpService http({ .port = options->listen.port,
            .maxConnections = options->maxConnections,
            .handler = [&](HttpRequest& request, HttpResponse& response) { platform.handle(request, response); } });
        printReady(http.port());
        lifetime.waitForEnd();
        endProcess();
    });
}

} // namespace Balsammill::Standin
