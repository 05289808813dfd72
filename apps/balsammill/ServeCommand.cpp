#include "Commands.h"
#include "EntryFlags.h"

#include "balsammill/entry/EntryServer.h"
#include "platform/TableClient.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <iostream>
#include <memory>

namespace Balsammill {

namespace {

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

int serve(const EntryOptions& options)
{
    // Blocked before any thread starts, so that only sigwait() below receives the signals.
    const auto signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    configureLogging(options.vm.value, options.logLevel);

    const Platform::TableClient platform({ .address = options.platformAddress, .timeout = options.platformTimeout });
    EntryServer server(options, platform);
    const auto ports = server.start();
    // The only line on standard output reports the ports in use to the parent process, since port 0 lets the system
    // choose them.
    std::cout << R"({"ready":true,"listen":)" << ports.caller << R"(,"operator":)" << ports.operators << R"(,"peer":)"
              << ports.peer << "}" << std::endl;

    int received = 0;
    sigwait(&signals, &received);
    logInfo(LogComponent::Main, "signal " + std::to_string(received) + " received, shutting down");
    return server.shutDown() ? 0 : 2;
}

} // namespace

void addServeCommand(CLI::App& app, CommandAction& action)
{
    auto* command = app.add_subcommand("serve", "Runs an entry process");
    auto flags = std::make_shared<EntryFlags>();
    flags->addTo(*command);
    command->callback([flags, &action] { action = [flags] { return serve(flags->toOptions()); }; });
}

} // namespace Balsammill
