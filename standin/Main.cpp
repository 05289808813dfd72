#include "Commands.h"

#include <CLI/CLI.hpp>
#include <Poco/Exception.h>

#include <iostream>

int main(int argc, char** argv)
{
    using namespace Balsammill::Standin;
    CLI::App app("Stand-ins for the outside systems of balsammill, for tests");
    app.require_subcommand(1);
    addPlatformCommand(app);
    addUpstreamCommand(app);
    addProxyCommand(app);
    addLoadCommand(app);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error);
    } catch (const Poco::Exception& error) {
        std::cerr << error.displayText() << '\n';
        return 1;
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
    return 0;
}
