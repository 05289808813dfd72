#include "Commands.h"
#include "DeploymentFile.h"

#include "balsammill/rpc/ConnectClient.h"
#include "balsammill/v1/jobs.pb.h"

#include <CLI/CLI.hpp>

#include <google/protobuf/util/json_util.h>

#include <iostream>
#include <memory>
#include <sstream>
#include <vector>

namespace Balsammill {

namespace {

struct SubmitFlags {
    std::string address;
    std::string clientAccount { "default" };
    std::string jobId;
    std::string home;
    std::string method;
    std::vector<std::string> tasks;
    std::string tasksFile;
    std::uint32_t timeoutMs { 60'000 };
    bool firstAttempt { false };
};

balsammill::v1::SubmitRequest makeSubmission(const SubmitFlags& flags)
{
    balsammill::v1::SubmitRequest submission;
    submission.set_job_id(flags.jobId);
    submission.set_team(flags.clientAccount);
    submission.set_home_failure_domain(flags.home);
    submission.set_method(flags.method);
    submission.set_timeout_ms(flags.timeoutMs);
    submission.set_first_attempt(flags.firstAttempt);
    for (const auto& task : flags.tasks)
        submission.add_tasks_json(task);
    if (!flags.tasksFile.empty()) {
        std::istringstream lines(readTextFile(flags.tasksFile));
        for (std::string line; std::getline(lines, line);) {
            if (!line.empty())
                submission.add_tasks_json(line);
        }
    }
    return submission;
}

int submit(const SubmitFlags& flags)
{
    std::string body;
    const auto status = google::protobuf::util::MessageToJsonString(makeSubmission(flags), &body);
    if (!status.ok())
        throw std::runtime_error("the submission cannot be encoded: " + std::string(status.message()));
    const auto answer = callOnce({
        .address = NetworkAddress(flags.address),
        .method = MethodName("balsammill.v1.Jobs/Submit"),
        .encoding = Encoding::Json,
        .body = body,
        .clientAccount = ClientAccountName(flags.clientAccount),
        .bearerToken = {},
        .deadline = monotonicNow() + std::chrono::milliseconds(flags.timeoutMs),
    });
    std::cout << answer.body << '\n';
    std::cerr << "verdict: " << nameOf(answer.verdict) << '\n';

    balsammill::v1::JobResult result;
    const auto parsed = google::protobuf::util::JsonStringToMessage(answer.body, &result);
    return parsed.ok() && result.state() == balsammill::v1::JOB_STATE_COMPLETE ? 0 : 3;
}

} // namespace

void addSubmitCommand(CLI::App& app, CommandAction& action)
{
    auto* command = app.add_subcommand("submit", "Submits a job, waits until it has ended and prints the result");
    auto flags = std::make_shared<SubmitFlags>();
    command->add_option("--address", flags->address, "IP:port of an entry")->required()->envname("BALSAMMILL_ADDRESS");
    command->add_option("--team", flags->clientAccount, "Client account that the job is charged to")
        ->envname("BALSAMMILL_TEAM")
        ->capture_default_str();
    command->add_option("--job-id", flags->jobId, "Id of the job; submitting an existing id waits for that job")
        ->required();
    command->add_option("--home", flags->home, "Failure domain that owns the job; derived from the id if empty");
    command->add_option("--method", flags->method, "Full name, package.Service/Method")->required();
    command->add_option("--task", flags->tasks, "Request of one task as JSON; may be repeated");
    command->add_option(
        "--tasks-file", flags->tasksFile, "File with one JSON request per line; - reads standard input");
    command->add_option("--timeout-ms", flags->timeoutMs, "Timeout of the job")
        ->check(CLI::Range(1, 600'000))
        ->capture_default_str();
    command->add_flag("--first-attempt", flags->firstAttempt, "Declare that this id was never submitted before");
    command->callback([flags, &action] { action = [flags] { return submit(*flags); }; });
}

} // namespace Balsammill
