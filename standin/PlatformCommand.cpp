#include "Commands.h"

#include "Lifetime.h"
#include "operators/OperatorStore.h"

#include <CLI/CLI.hpp>

#include <memory>

namespace Balsammill::Standin {

void addListenOptions(CLI::App& command, ListenOptions& options)
{
    command.add_option("--port", options.port, "Port to listen on; 0 lets the system choose");
    command.add_flag("--exit-with-stdin", options.exitWithStdin, "Exit when standard input is closed");
}

void addPlatformCommand(CLI::App& app)
{
    struct Options {
        ListenOptions listen;
        std::uint64_t seed { 1 };
    };
    auto options = std::make_shared<Options>();
    auto* command = app.add_subcommand("platform", "Serve the store of the platform");
    addListenOptions(*command, options->listen);
    command->add_option("--seed", options->seed, "Seed for choosing the writes whose answers are lost");
    command->callback([options] {
        const Lifetime lifetime(options->listen.exitWithStdin);
        ::Standin::LoopThread loop;
        const ::Standin::OperatorStore store(loop, { .port = options->listen.port, .seed = options->seed });
        const auto address = store.address();
        printReady(static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1))));
        lifetime.waitForShutdown();
        exitProcess();
    });
}

} // namespace Balsammill::Standin
