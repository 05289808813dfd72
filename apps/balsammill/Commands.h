#pragma once

#include <functional>

namespace CLI {
class App;
}

namespace Balsammill {

/// Runs the chosen subcommand and returns the exit status of the process.
using CommandAction = std::function<int()>;

// Each function adds a subcommand to the application. Parsing sets the action if that subcommand was chosen.
void addServeCommand(CLI::App&, CommandAction&);
void addNodeCommand(CLI::App&, CommandAction&);
void addCheckCommand(CLI::App&, CommandAction&);
void addCallCommand(CLI::App&, CommandAction&);
void addSubmitCommand(CLI::App&, CommandAction&);
void addOperatorCommand(CLI::App&, CommandAction&);
void addTimelineCommand(CLI::App&, CommandAction&);

} // namespace Balsammill
