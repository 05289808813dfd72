#pragma once

#include <cstdint>

namespace CLI {
class App;
}

namespace Balsammill::Standin {

/// Options of every subcommand that listens.
struct ListenOptions {
    std::uint16_t port { 0 };
    bool exitWithStdin { false };
};

void addListenOptions(CLI::App& command, ListenOptions&);

// Each of these adds a subcommand, which runs until the process is told to end.
void addPlatformCommand(CLI::App&);
void addUpstreamCommand(CLI::App&);
void addProxyCommand(CLI::App&);
void addLoadCommand(CLI::App&);

} // namespace Balsammill::Standin
