#include "EntryFlags.h"

#include <CLI/CLI.hpp>

#include <algorithm>

namespace Balsammill {

namespace {

std::string environmentName(std::string flag)
{
    std::replace(flag.begin(), flag.end(), '-', '_');
    std::transform(flag.begin(), flag.end(), flag.begin(), [](unsigned char c) { return std::toupper(c); });
    return "BALSAMMILL_" + flag;
}

template <typename Value>
void addFlag(CLI::App& app, const std::string& name, Value& value, const std::string& description)
{
    app.add_option("--" + name, value, description)->envname(environmentName(name))->capture_default_str();
}

// Secrets have no default in the help text. They should be passed in the environment, which other users of the machine
// cannot read.
void addSecret(CLI::App& app, const std::string& name, std::string& value, const std::string& description)
{
    app.add_option("--" + name, value, description)->envname(environmentName(name));
}

template <typename Value> struct Choice {
    std::string name;
    Value value;
};

template <typename Value>
Value choose(const std::string& flag, const std::string& text, const std::vector<Choice<Value>>& choices)
{
    std::string names;
    for (const auto& choice : choices) {
        if (choice.name == text)
            return choice.value;
        names += (names.empty() ? "" : ", ") + choice.name;
    }
    throw SettingsError("--" + flag + " '" + text + "' must be one of " + names);
}

std::map<VmName, NetworkAddress> parseOverrides(const std::vector<std::string>& texts)
{
    std::map<VmName, NetworkAddress> overrides;
    for (const auto& text : texts) {
        const auto separator = text.find('=');
        if (separator == std::string::npos || separator == 0)
            throw SettingsError("--peer-override '" + text + "' must have the form VM=IP:port");
        overrides[VmName(text.substr(0, separator))] = NetworkAddress(text.substr(separator + 1));
    }
    return overrides;
}

} // namespace

void EntryFlags::addTo(CLI::App& app)
{
    addFlag(app, "vm", vm_, "Name of this VM, as in the platform's list");
    addFlag(app, "failure-domain", failureDomain_, "Failure domain of this VM");
    addFlag(app, "deployment", deployment_, "Name of the deployment; entries of other deployments are ignored");
    addFlag(app, "listen", listen_, "IP:port for callers; port 0 lets the system choose");
    addFlag(app, "operator-listen", operatorListen_, "IP:port for operators");
    addFlag(app, "peer-listen", peerListen_, "IP:port for other entries");
    addFlag(app, "platform", platform_, "IP:port of the platform's service");
    addSecret(app, "peer-secret", peerSecret_, "Secret shared by all entries");
    addSecret(app, "operator-token", operatorToken_, "Token that operators present");
    addFlag(app, "peer-override", peerOverrides_, "VM=IP:port that replaces the address in the platform's list");
    addFlag(app, "placement", placement_, "owned or sampled");
    addFlag(app, "queue-order", queueOrder_, "fair or fcfs");
    addFlag(app, "upstream-choice", upstreamChoice_, "least-loaded or random");
    addFlag(app, "log-level", logLevel_, "debug, info, warning or error");
    addFlag(app, "platform-timeout-ms", platformTimeoutMs_, "Timeout of a request to the platform");
    addFlag(app, "shutdown-timeout-ms", shutdownTimeoutMs_, "Timeout of a graceful shutdown");
    addFlag(app, "history-retention-ms", historyRetentionMs_,
        "How long job answers are kept, and unknown jobs are reported as may-have-run after a loss of history");
    addFlag(app, "job-orphan-timeout-ms", jobOrphanTimeoutMs_,
        "How long a job waits for its outcome after the entry that ran it was lost");
    addFlag(app, "max-connections", maxConnections_, "Limit on connections of callers");
    addFlag(app, "max-executor-threads", maxExecutorThreads_, "Limit on tasks in flight at upstreams");
    addFlag(app, "timeline-capacity", timelineCapacity_, "Number of events kept in the timeline");
}

EntryOptions EntryFlags::toOptions() const
{
    const auto level = parseLogLevel(logLevel_);
    if (!level)
        throw SettingsError("--log-level '" + logLevel_ + "' must be one of debug, info, warning, error");
    EntryOptions options {
        .vm = VmName(vm_),
        .failureDomain = FailureDomain(failureDomain_),
        .deployment = deployment_,
        .callerAddress = NetworkAddress(listen_),
        .operatorAddress = NetworkAddress(operatorListen_),
        .peerAddress = NetworkAddress(peerListen_),
        .platformAddress = NetworkAddress(platform_),
        .peerSecret = peerSecret_,
        .operatorToken = operatorToken_,
        .peerOverrides = parseOverrides(peerOverrides_),
        .placement = choose<Placement>(
            "placement", placement_, { { "owned", Placement::Owned }, { "sampled", Placement::Sampled } }),
        .queueOrder = choose<QueueOrder>(
            "queue-order", queueOrder_, { { "fair", QueueOrder::Fair }, { "fcfs", QueueOrder::FirstComeFirstServed } }),
        .upstreamChoice = choose<UpstreamChoice>("upstream-choice", upstreamChoice_,
            { { "least-loaded", UpstreamChoice::LeastLoaded }, { "random", UpstreamChoice::Random } }),
        .platformTimeout = std::chrono::milliseconds(platformTimeoutMs_),
        .shutdownTimeout = std::chrono::milliseconds(shutdownTimeoutMs_),
        .historyRetention = std::chrono::milliseconds(historyRetentionMs_),
        .jobOrphanTimeout = std::chrono::milliseconds(jobOrphanTimeoutMs_),
        .maxConnections = maxConnections_,
        .maxExecutorThreads = maxExecutorThreads_,
        .timelineCapacity = timelineCapacity_,
        .logLevel = *level,
    };
    validate(options);
    return options;
}

} // namespace Balsammill
