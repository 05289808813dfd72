#include "Commands.h"
#include "DeploymentFile.h"
#include "EntryFlags.h"

#include "balsammill/config/ConfigStore.h"
#include "balsammill/v1/config.pb.h"
#include "platform/SettingsFile.h"

#include <CLI/CLI.hpp>

#include <iostream>
#include <memory>

namespace Balsammill {

namespace {

struct CheckFlags {
    std::string config;
    std::string schemaRoot { "." };
    bool settings { false };
    std::string nodeSettings;
    EntryFlags entry;
};

int check(const CheckFlags& flags)
{
    if (flags.config.empty() && !flags.settings && flags.nodeSettings.empty())
        throw SettingsError("nothing to check: specify --config, --settings or --node-settings");
    if (!flags.config.empty()) {
        // Validated as the first version, like an entry does on "operator apply".
        ConfigStore().prepare(
            ReplaceConfig { readDeploymentFile(flags.config, flags.schemaRoot) }, ConfigVersion(0), "check");
        std::cout << "configuration " << flags.config << ": ok\n";
    }
    if (flags.settings) {
        flags.entry.toOptions();
        std::cout << "settings: ok\n";
    }
    if (!flags.nodeSettings.empty()) {
        const auto settings = Platform::readSettingsFile(flags.nodeSettings);
        std::cout << "settings of node " << settings.vm.value << " in " << settings.domain.value << ": ok\n";
    }
    return 0;
}

} // namespace

void addCheckCommand(CLI::App& app, CommandAction& action)
{
    auto* command = app.add_subcommand("check", "Validates a configuration, or the settings of an entry process");
    auto flags = std::make_shared<CheckFlags>();
    command->add_option("--config", flags->config, "Deployment configuration file (JSON)");
    command->add_option("--schema-root", flags->schemaRoot, "Directory that contains the schema files")
        ->capture_default_str();
    command->add_flag("--settings", flags->settings, "Check the flags and environment variables of serve");
    command->add_option(
        "--node-settings", flags->nodeSettings, "Settings file (TOML) of an entry on the operators' platform");
    flags->entry.addTo(*command);
    command->callback([flags, &action] { action = [flags] { return check(*flags); }; });
}

} // namespace Balsammill
