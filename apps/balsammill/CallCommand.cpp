#include "Commands.h"

#include "balsammill/rpc/ConnectClient.h"

#include <CLI/CLI.hpp>

#include <iostream>
#include <memory>

namespace Balsammill {

namespace {

struct CallFlags {
    std::string address;
    std::string clientAccount { "default" };
    std::string method;
    std::string request { "{}" };
    std::int64_t timeoutMs { 10'000 };
};

int call(const CallFlags& flags)
{
    const auto answer = callOnce({
        .address = NetworkAddress(flags.address),
        .method = MethodName(flags.method),
        .encoding = Encoding::Json,
        .body = flags.request,
        .clientAccount = ClientAccountName(flags.clientAccount),
        .bearerToken = {},
        .deadline = monotonicNow() + std::chrono::milliseconds(flags.timeoutMs),
    });
    std::cout << answer.body << '\n';
    std::cerr << "verdict: " << nameOf(answer.verdict) << '\n';
    return 0;
}

} // namespace

void addCallCommand(CLI::App& app, CommandAction& action)
{
    auto* command = app.add_subcommand("call", "Makes one call and prints its answer");
    auto flags = std::make_shared<CallFlags>();
    command->add_option("--address", flags->address, "IP:port of an entry")->required()->envname("BALSAMMILL_ADDRESS");
    command->add_option("--team", flags->clientAccount, "Client account that the call is charged to")
        ->envname("BALSAMMILL_TEAM")
        ->capture_default_str();
    command->add_option("--timeout-ms", flags->timeoutMs, "Timeout of the call")
        ->check(CLI::Range(1, 600'000))
        ->capture_default_str();
    command->add_option("method", flags->method, "Full name, package.Service/Method")->required();
    command->add_option("request", flags->request, "Request as JSON")->capture_default_str();
    command->callback([flags, &action] { action = [flags] { return call(*flags); }; });
}

} // namespace Balsammill
