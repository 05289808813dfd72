#include "Commands.h"
#include "DeploymentFile.h"

#include "balsammill/rpc/ConnectClient.h"
#include "balsammill/v1/operator.pb.h"

#include <CLI/CLI.hpp>

#include <google/protobuf/util/json_util.h>

#include <iostream>
#include <memory>

namespace Balsammill {

namespace {

struct OperatorFlags {
    std::string address;
    std::string token;
    std::int64_t timeoutMs { 14'000 };
    std::string configFile;
    std::string schemaRoot { "." };
    std::uint64_t expectedVersion { 0 };
    std::string target;
};

std::string toJson(const google::protobuf::Message& message)
{
    google::protobuf::util::JsonPrintOptions options;
    options.add_whitespace = true;
    std::string text;
    const auto status = google::protobuf::util::MessageToJsonString(message, &text, options);
    if (!status.ok())
        throw std::runtime_error(std::string(status.message()));
    return text;
}

std::string callOperator(
    const OperatorFlags& flags, const std::string& action, const google::protobuf::Message& request)
{
    const auto deadline = monotonicNow() + std::chrono::milliseconds(flags.timeoutMs);
    return callOnce({
                        .address = NetworkAddress(flags.address),
                        .method = MethodName("balsammill.v1.Operator/" + action),
                        .encoding = Encoding::Json,
                        .body = toJson(request),
                        .clientAccount = {},
                        .bearerToken = flags.token,
                        .deadline = deadline,
                    })
        .body;
}

// A change is accepted even if it is not in force on all entries yet. A separate exit status lets scripts detect this
// and wait.
int printChange(const std::string& body)
{
    constexpr int acceptedButNotInForce = 4;
    balsammill::v1::ApplyConfigResponse response;
    const auto status = google::protobuf::util::JsonStringToMessage(body, &response);
    if (!status.ok())
        throw std::runtime_error("cannot decode the answer: " + std::string(status.message()));
    std::cout << "version " << response.version() << " accepted\n";
    for (const auto& vm : response.not_in_force_on())
        std::cout << "not known to be in force on " << vm << '\n';
    return response.not_in_force_on().empty() ? 0 : acceptedButNotInForce;
}

int apply(const OperatorFlags& flags)
{
    balsammill::v1::ApplyConfigRequest request;
    *request.mutable_config() = readDeploymentFile(flags.configFile, flags.schemaRoot);
    request.set_expected_version(flags.expectedVersion);
    return printChange(callOperator(flags, "ApplyConfig", request));
}

int changeVm(const OperatorFlags& flags, const std::string& action)
{
    balsammill::v1::VmRequest request;
    request.set_vm(flags.target);
    return printChange(callOperator(flags, action, request));
}

int changeService(const OperatorFlags& flags, const std::string& action)
{
    balsammill::v1::ServiceRequest request;
    request.set_service(flags.target);
    return printChange(callOperator(flags, action, request));
}

int print(const OperatorFlags& flags, const std::string& action)
{
    std::cout << callOperator(flags, action, balsammill::v1::GetStateRequest()) << '\n';
    return 0;
}

} // namespace

void addOperatorCommand(CLI::App& app, CommandAction& action)
{
    auto* command = app.add_subcommand("operator", "Reads and changes a running deployment");
    command->require_subcommand(1);
    auto flags = std::make_shared<OperatorFlags>();
    command->add_option("--address", flags->address, "IP:port of an entry's operator address")
        ->required()
        ->envname("BALSAMMILL_OPERATOR_ADDRESS");
    command->add_option("--token", flags->token, "Operator token")->required()->envname("BALSAMMILL_OPERATOR_TOKEN");
    command->add_option("--timeout-ms", flags->timeoutMs, "Timeout, including the wait until a change is in force")
        ->check(CLI::Range(1, 600'000))
        ->capture_default_str();
    const auto addAction = [&](const std::string& name, const std::string& description, std::function<int()> run) {
        auto* sub = command->add_subcommand(name, description);
        sub->callback([run = std::move(run), &action] { action = run; });
        return sub;
    };

    auto* applyCommand = addAction("apply", "Replaces the configuration", [flags] { return apply(*flags); });
    applyCommand->add_option("--config", flags->configFile, "Deployment configuration file (JSON)")->required();
    applyCommand->add_option("--schema-root", flags->schemaRoot, "Directory that contains the schema files")
        ->capture_default_str();
    applyCommand->add_option("--expected-version", flags->expectedVersion, "Version that the change is based on")
        ->capture_default_str();
    addAction("config", "Prints the configuration in force", [flags] { return print(*flags, "GetConfig"); });
    addAction("state", "Prints the state of the entry", [flags] { return print(*flags, "GetState"); });
    for (const auto& [name, rpc, description] : { std::tuple { "drain", "DrainVm", "Stops assigning work to a VM" },
             std::tuple { "undrain", "UndrainVm", "Resumes assigning work to a drained VM" } }) {
        auto* sub = addAction(name, description, [flags, rpc = std::string(rpc)] { return changeVm(*flags, rpc); });
        sub->add_option("vm", flags->target, "Name of the VM")->required();
    }
    for (const auto& [name, rpc, description] :
        { std::tuple { "stop", "StopService", "Stops a service: its calls are refused" },
            std::tuple { "resume", "ResumeService", "Resumes a stopped service" } }) {
        auto* sub
            = addAction(name, description, [flags, rpc = std::string(rpc)] { return changeService(*flags, rpc); });
        sub->add_option("service", flags->target, "Full service name")->required();
    }
}

} // namespace Balsammill
