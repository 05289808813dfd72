#pragma once

#include <cstdint>

namespace CLI {
class App;
}

namespace Balsammill::Standin {

/// Options shared by all subcommands that listen on a port.
struct ListenOptions {
    std::uint16_t port { 0 };
    bool exitWithStdin { false };
};

void addListenOptions(CLI::App& command, ListenOptions&);

// Each function adds one subcommand. "load" returns when its load is done; the others run until shutdown (Lifetime.h).
void addPlatformCommand(CLI::App&);
void addUpstreamCommand(CLI::App&);
void addProxyCommand(CLI::App&);
void addLoadCommand(CLI::App&);

} // namespace Balsammill::Standin
