#include "Commands.h"

#include "balsammill/base/RpcError.h"

#include <CLI/CLI.hpp>

#include <iostream>

int main(int argc, char** argv)
{
    using namespace Balsammill;
    CLI::App app { "balsammill: dispatcher for remote procedure calls and parallel jobs" };
    app.set_version_flag("--version", std::string("balsammill " BALSAMMILL_VERSION));
    app.require_subcommand(1);

    CommandAction action;
    addServeCommand(app, action);
    addNodeCommand(app, action);
    addCheckCommand(app, action);
    addCallCommand(app, action);
    addSubmitCommand(app, action);
    addOperatorCommand(app, action);
    addTimelineCommand(app, action);
    CLI11_PARSE(app, argc, argv);

    try {
        return action();
    } catch (const RpcError& error) {
        std::cerr << "balsammill: " << error.what() << " (verdict: " << nameOf(error.details().verdict) << ")\n";
    } catch (const std::exception& error) {
        std::cerr << "balsammill: " << error.what() << '\n';
    }
    return 1;
}
