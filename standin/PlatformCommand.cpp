#include "Commands.h"

#include "Lifetime.h"
#include "operators/OperatorStore.h"

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
    };
    auto options = std::make_shared<Options>();
    auto* command = app.add_subcommand("platform", "Serve the platform's store");
    addListenOptions(*command, options->listen);
    command->add_option("--seed", options->seed, "Seed of the lost answers");
    command->callback([options] {
        const Lifetime lifetime(options->listen.exitWithStdin);
        ::Standin::LoopThread loop;
        const ::Standin::OperatorStore store(loop, { .port = options->listen.port, .seed = options->seed });
        const auto address = store.address();
        printReady(static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1))));
        lifetime.waitForEnd();
        endProcess();
    });
}

} // namespace Balsammill::Standin
