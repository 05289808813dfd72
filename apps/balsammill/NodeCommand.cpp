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
    command->callback([path, &action] {
        action = [path] {
            EntryNode node(Platform::readSettingsFile(*path));
            return node.run();
        };
    });
}

} // namespace Balsammill
