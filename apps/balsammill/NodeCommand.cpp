#include "Commands.h"

#include "balsammill/node/EntryNode.h"
#include "platform/SettingsFile.h"

#include <CLI/CLI.hpp>

#include <memory>
#include <string>

namespace Balsammill {

void addNodeCommand(CLI::App& app, CommandAction& action)
{
    auto path = std::make_shared<std::string>();
    auto* command = app.add_subcommand("node", "run an entry on the operators' platform");
    command->add_option("--settings", *path, "path of the platform's settings file (TOML)")
        ->envname(Platform::settingsPathVariable)
        ->required();
    auto options = std::make_shared<NodeOptions>();
    command->add_option("--log-sample", options->logSampleOneIn, "log one in this many requests in full")
        ->envname("BALSAMMILL_LOG_SAMPLE")
        ->check(CLI::Range(1U, 1'000'000U));
    command
        ->add_option(
            "--log-lines", options->logLinesPerSecond, "maximum number of log lines per second for each kind of event")
        ->envname("BALSAMMILL_LOG_LINES")
        ->check(CLI::Range(1U, 1'000'000U));
    command->callback([path, options, &action] {
        options->settingsPath = *path;
        action = [path, options] {
            EntryNode node(Platform::readSettingsFile(*path), *options);
            return node.run();
        };
    });
}

} // namespace Balsammill
