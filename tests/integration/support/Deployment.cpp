#include "support/Deployment.h"

#include "balsammill/rpc/ConnectClient.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>
#include <google/protobuf/util/json_util.h>

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace IntegrationTest {

using namespace Balsammill;

namespace {

constexpr auto deploymentName = "integration-test";
constexpr auto peerSecret = "integration-peer-secret";
constexpr auto operatorToken = "integration-operator-token";
constexpr auto upstreamLabel = "tanim";
constexpr Duration readyTimeout = std::chrono::seconds(20);

std::string loopbackAddress(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

std::string linkName(const std::string& from, const std::string& to) { return from + "-to-" + to; }

std::string readFile(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string toJson(const google::protobuf::Message& message)
{
    std::string text;
    if (!google::protobuf::util::MessageToJsonString(message, &text).ok())
        throw std::runtime_error("message cannot be encoded as JSON");
    return text;
}

CallOutcome callEntry(const ConnectCall& call)
{
    try {
        return { .ok = true, .answer = callOnce(call).body };
    } catch (const RpcError& error) {
        return { .ok = false, .answer = {}, .error = error.details() };
    }
}

} // namespace

Deployment::Deployment(DeploymentOptions options)
    : options_(std::move(options))
{
    startPlatform();
    startUpstreams();
    reserveEntryPorts();
    if (options_.proxies || options_.upstreamProxies)
        startProxies();
    registerUpstreams();
    for (auto& entry : entries_)
        startEntry(entry);
    const auto applied = callOperator(entries_.front(), "ApplyConfig", exampleConfig(0));
    if (!applied.ok)
        throw std::runtime_error("ApplyConfig failed: " + applied.error.message);
    if (!waitUntilAllReady())
        throw std::runtime_error("not all entries became ready within 20 s");
}

Deployment::~Deployment() = default;

void Deployment::startPlatform()
{
    platform_ = std::make_unique<Process>(
        ProcessOptions { .name = options_.name + "-platform", .program = STANDIN_BINARY, .arguments = { "platform" } });
}

void Deployment::startUpstreams()
{
    for (const auto& domain : options_.domains) {
        auto process = std::make_unique<Process>(ProcessOptions {
            .name = options_.name + "-upstreams-" + domain,
            .program = STANDIN_BINARY,
            .arguments = { "upstream", "--proto-root", EXAMPLES_DIR, "--schema", "banhay/tanim.proto", "--slots",
                std::to_string(options_.slots), "--run-ms", std::to_string(options_.runMs), "--count",
                std::to_string(options_.upstreamsPerDomain) },
        });
        int index = 0;
        for (const auto port : process->portsFromReadyLine())
            upstreams_.push_back({ .vm = domain + "-u" + std::to_string(++index), .domain = domain, .port = port });
        upstreamProcesses_.push_back(std::move(process));
    }
}

void Deployment::reserveEntryPorts()
{
    for (const auto& domain : options_.domains) {
        for (int i = 1; i <= options_.entriesPerDomain; ++i) {
            Entry entry;
            entry.vm = domain + "-e" + std::to_string(i);
            entry.domain = domain;
            entries_.push_back(std::move(entry));
        }
    }
}

void Deployment::startProxies()
{
    std::vector<std::string> arguments { "proxy" };
    const auto addRoute = [&](const std::string& name, std::uint16_t target) {
        arguments.insert(arguments.end(), { "--route", name + "=" + loopbackAddress(target) });
    };
    if (options_.upstreamProxies) {
        for (const auto& upstream : upstreams_)
            addRoute("upstream-" + upstream.vm, upstream.port);
    }
    if (options_.proxies) {
        for (const auto& domain : options_.domains)
            addRoute("platform-" + domain, platformPort());
        for (const auto& from : entries_) {
            for (const auto& to : entries_) {
                if (from.vm != to.vm)
                    addRoute(linkName(from.vm, to.vm), to.peerPort.number());
            }
        }
    }
    proxy_ = std::make_unique<Process>(
        ProcessOptions { .name = options_.name + "-proxy", .program = STANDIN_BINARY, .arguments = arguments });
    const auto ready = Poco::JSON::Parser().parse(proxy_->readyLine()).extract<Poco::JSON::Object::Ptr>();
    for (const auto& [name, port] : *ready->getObject("ports"))
        proxyPorts_[name] = port.convert<std::uint16_t>();
}

std::vector<std::string> Deployment::entryArguments(const Entry& entry) const
{
    const auto platformPort = options_.proxies ? proxyPorts_.at("platform-" + entry.domain) : this->platformPort();
    std::vector<std::string> arguments { "serve", "--vm", entry.vm, "--failure-domain", entry.domain, "--deployment",
        deploymentName, "--listen", loopbackAddress(entry.callerPort.number()), "--operator-listen",
        loopbackAddress(entry.operatorPort.number()), "--peer-listen", loopbackAddress(entry.peerPort.number()),
        "--platform", loopbackAddress(platformPort) };
    if (options_.proxies) {
        for (const auto& other : entries_) {
            if (other.vm != entry.vm)
                arguments.insert(arguments.end(),
                    { "--peer-override",
                        other.vm + "=" + loopbackAddress(proxyPorts_.at(linkName(entry.vm, other.vm))) });
        }
    }
    arguments.insert(arguments.end(), options_.entryFlags.begin(), options_.entryFlags.end());
    return arguments;
}

void Deployment::startEntry(Entry& entry)
{
    entry.process = std::make_unique<Process>(ProcessOptions {
        .name = options_.name + "-" + entry.vm,
        .program = BALSAMMILL_BINARY,
        .arguments = entryArguments(entry),
        .environment = { { "BALSAMMILL_PEER_SECRET", peerSecret }, { "BALSAMMILL_OPERATOR_TOKEN", operatorToken } },
    });
}

void Deployment::registerUpstreams(const std::set<std::string>& leaving) const
{
    for (const auto& upstream : upstreams_) {
        const auto port = options_.upstreamProxies ? proxyPorts_.at("upstream-" + upstream.vm) : upstream.port;
        Poco::JSON::Object row;
        row.set("service", upstreamLabel);
        row.set("zone", upstream.domain);
        row.set("address", loopbackAddress(port));
        row.set("slots", options_.slots);
        row.set("state", leaving.contains(upstream.vm) ? "draining" : "ready");
        std::ostringstream text;
        row.stringify(text);
        const auto reply = httpRequest("PUT", platformPort(), "/control/rows/servers/" + upstream.vm, text.str());
        if (reply.status >= 300)
            throw std::runtime_error(
                "the platform refused the row of an upstream with status " + std::to_string(reply.status));
    }
}

Entry& Deployment::entry(const std::string& vm)
{
    for (auto& candidate : entries_) {
        if (candidate.vm == vm)
            return candidate;
    }
    throw std::runtime_error("unknown entry " + vm);
}

bool Deployment::waitUntilReady(const Entry& entry) const
{
    return waitUntil(in(readyTimeout), [&] {
        try {
            return httpRequest("GET", entry.callerPort.number(), "/readyz").status == 200;
        } catch (const Poco::Exception&) {
            return false;
        }
    });
}

bool Deployment::waitUntilAllReady() const
{
    for (const auto& entry : entries_) {
        if (!waitUntilReady(entry))
            return false;
    }
    return true;
}

void Deployment::setPlatformFaults(const std::string& json) const
{
    httpRequest("PUT", platformPort(), "/control/faults", json);
}

void Deployment::setRoute(const std::string& route, const std::string& json) const
{
    const auto reply = httpRequest("PUT", proxy_->portFromReadyLine("port"), "/control/routes/" + route, json);
    if (reply.status >= 300)
        throw std::runtime_error("the proxy refused the faults for route " + route + ": " + reply.body);
}

void Deployment::setDomainsCut(const std::string& left, const std::string& right, bool cut) const
{
    const std::string faults = cut ? R"({"cut":true})" : R"({"cut":false})";
    for (const auto& from : entries_) {
        for (const auto& to : entries_) {
            const bool crosses
                = (from.domain == left && to.domain == right) || (from.domain == right && to.domain == left);
            if (crosses)
                setRoute(linkName(from.vm, to.vm), faults);
        }
    }
}

void Deployment::setUpstreamMode(const Upstream& upstream, const std::string& json) const
{
    httpRequest("PUT", upstream.port, "/control/mode", json);
}

CallOutcome Deployment::call(const Entry& entry, const std::string& method, const std::string& json, Duration timeout,
    const std::string& taskId) const
{
    return callEntry({ .address = NetworkAddress(loopbackAddress(entry.callerPort.number())),
        .method = MethodName(method),
        .encoding = Encoding::Json,
        .body = json,
        .clientAccount = ClientAccountName("field-leads"),
        .bearerToken = {},
        .taskId = taskId,
        .deadline = in(timeout) });
}

CallOutcome Deployment::submitJob(const Entry& entry, const balsammill::v1::SubmitRequest& job, Duration timeout) const
{
    return callEntry({ .address = NetworkAddress(loopbackAddress(entry.callerPort.number())),
        .method = MethodName("balsammill.v1.Jobs/Submit"),
        .encoding = Encoding::Binary,
        .body = job.SerializeAsString(),
        .clientAccount = ClientAccountName("growers"),
        .bearerToken = {},
        .deadline = in(timeout) });
}

CallOutcome Deployment::callOperator(
    const Entry& entry, const std::string& action, const std::string& json, Duration timeout) const
{
    return callEntry({ .address = NetworkAddress(loopbackAddress(entry.operatorPort.number())),
        .method = MethodName("balsammill.v1.Operator/" + action),
        .encoding = Encoding::Json,
        .body = json,
        .clientAccount = {},
        .bearerToken = operatorToken,
        .deadline = in(timeout) });
}

balsammill::v1::StateResponse Deployment::state(const Entry& entry) const
{
    const auto outcome = callOperator(entry, "GetState", "{}");
    balsammill::v1::StateResponse state;
    if (!outcome.ok || !google::protobuf::util::JsonStringToMessage(outcome.answer, &state).ok())
        throw std::runtime_error("GetState failed on " + entry.vm + ": " + outcome.error.message);
    return state;
}

std::string Deployment::exampleConfig(std::uint64_t expectedVersion, const std::string& drainedVm) const
{
    balsammill::v1::ApplyConfigRequest request;
    request.set_expected_version(expectedVersion);
    auto& config = *request.mutable_config();
    auto& schema = *config.add_schema_files();
    schema.set_path("banhay/tanim.proto");
    schema.set_text(readFile(std::string(EXAMPLES_DIR) + "/banhay/tanim.proto"));
    auto& service = *config.add_services();
    service.set_name("banhay.Tanim");
    service.set_upstream_label(upstreamLabel);
    service.set_slots_per_upstream(static_cast<std::uint32_t>(options_.slots));
    service.set_connections_per_upstream(64);
    for (const auto* clientAccount : { "field-leads", "growers" }) {
        auto& row = *config.add_teams();
        row.set_name(clientAccount);
        row.set_quota_weight(1);
    }
    config.mutable_limits()->set_max_tasks_per_job(500);
    config.mutable_limits()->set_max_queued_tasks(20'000);
    for (const auto& domain : options_.domains)
        config.add_failure_domains(domain);
    if (!drainedVm.empty())
        config.add_drained_vms(drainedVm);
    config.set_shards_per_domain(4);
    return toJson(request);
}

std::map<std::string, int> Deployment::startCounts() const
{
    std::map<std::string, int> counts;
    for (const auto& upstream : upstreams_) {
        for (const auto& start : readStarts(upstream.port))
            ++counts[start.taskId];
    }
    return counts;
}

std::string Deployment::repeatedStarts() const
{
    std::string text;
    for (const auto& [task, starts] : startCounts()) {
        if (starts > 1)
            text += task + " started " + std::to_string(starts) + " times\n";
    }
    return text;
}

balsammill::v1::SubmitRequest makeJob(const std::string& id, int tasks, const std::string& home)
{
    balsammill::v1::SubmitRequest job;
    job.set_job_id(id);
    job.set_team("growers");
    job.set_home_failure_domain(home);
    job.set_method("banhay.Tanim/TalaLog");
    for (int i = 0; i < tasks; ++i) {
        job.add_tasks_json(R"({"requestId":")" + id + "-" + std::to_string(i)
            + R"(","vineId":"vine-7","growerId":"grower-3","flower":)" + std::to_string(i) + "}");
    }
    return job;
}

} // namespace IntegrationTest
