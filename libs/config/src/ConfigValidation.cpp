#include "balsammill/config/ConfigValidation.h"

#include "FaultList.h"

#include "balsammill/schema/Schema.h"

#include <balsammill/v1/config.pb.h>

namespace Balsammill {

namespace {

using balsammill::v1::DeploymentConfig;
using Detail::FaultList;
using Detail::indexed;

void checkIdentity(const DeploymentConfig& config, FaultList& faults)
{
    if (config.version() == 0)
        faults.add("version", "0", "must be at least 1");
    if (config.change_id().empty())
        faults.add("change_id", "", "must not be empty");
    if (config.change_id().size() > ConfigBounds::nameBytes)
        faults.add("change_id", config.change_id(),
            "at most " + std::to_string(ConfigBounds::nameBytes) + " bytes are allowed");
}

void checkSchemaFiles(const DeploymentConfig& config, FaultList& faults)
{
    faults.checkAtMost(
        "schema_files", static_cast<std::uint64_t>(config.schema_files_size()), ConfigBounds::schemaFiles);
    std::size_t bytes = 0;
    for (const auto& file : config.schema_files())
        bytes += file.path().size() + file.text().size();
    faults.checkAtMost("schema_files", bytes, ConfigBounds::schemaBytes);
}

void checkServices(const DeploymentConfig& config, FaultList& faults)
{
    faults.checkAtMost("services", static_cast<std::uint64_t>(config.services_size()), ConfigBounds::services);
    std::set<std::string> names;
    std::set<std::string> labels;
    for (int i = 0; i < config.services_size(); ++i) {
        const auto& service = config.services(i);
        faults.checkName(indexed("services", i, "name"), service.name());
        faults.checkUnique(indexed("services", i, "name"), service.name(), names);
        // An upstream serves one service; if two services shared a label, its slots would be counted twice.
        faults.checkName(indexed("services", i, "upstream_label"), service.upstream_label());
        faults.checkUnique(indexed("services", i, "upstream_label"), service.upstream_label(), labels);
        const auto slots = service.slots_per_upstream();
        const auto connections = service.connections_per_upstream();
        faults.checkAtMost(indexed("services", i, "slots_per_upstream"), slots, ConfigBounds::slotsPerUpstream);
        const auto connectionsField = indexed("services", i, "connections_per_upstream");
        faults.checkAtMost(connectionsField, connections, ConfigBounds::connectionsPerUpstream);
        if (connections != 0 && connections < slots)
            faults.add(connectionsField, std::to_string(connections),
                "is less than slots_per_upstream " + std::to_string(slots) + ", so some slots could not be used");
    }
}

void checkClientAccounts(const DeploymentConfig& config, FaultList& faults)
{
    faults.checkAtMost("teams", static_cast<std::uint64_t>(config.teams_size()), ConfigBounds::clientAccounts);
    std::set<std::string> names;
    for (int i = 0; i < config.teams_size(); ++i) {
        const auto& clientAccount = config.teams(i);
        faults.checkName(indexed("teams", i, "name"), clientAccount.name());
        faults.checkUnique(indexed("teams", i, "name"), clientAccount.name(), names);
        faults.checkAtMost(
            indexed("teams", i, "quota_weight"), clientAccount.quota_weight(), ConfigBounds::quotaWeight);
    }
}

void checkLimits(const balsammill::v1::Limits& limits, FaultList& faults)
{
    if (limits.max_body_bytes() != 0 && limits.max_body_bytes() < ConfigBounds::minBodyBytes)
        faults.add("limits.max_body_bytes", std::to_string(limits.max_body_bytes()),
            "at least " + std::to_string(ConfigBounds::minBodyBytes) + " is needed");
    faults.checkAtMost("limits.max_body_bytes", limits.max_body_bytes(), ConfigBounds::maxBodyBytes);
    faults.checkAtMost("limits.max_tasks_per_job", limits.max_tasks_per_job(), ConfigBounds::tasksPerJob);
    faults.checkAtMost("limits.max_queued_tasks", limits.max_queued_tasks(), ConfigBounds::queuedTasks);
    faults.checkAtMost("limits.default_deadline_ms", limits.default_deadline_ms(), ConfigBounds::deadlineMs);
}

void checkDrainedVms(const DeploymentConfig& config, FaultList& faults)
{
    faults.checkAtMost("drained_vms", static_cast<std::uint64_t>(config.drained_vms_size()), ConfigBounds::drainedVms);
    std::set<std::string> names;
    for (int i = 0; i < config.drained_vms_size(); ++i) {
        faults.checkName(indexed("drained_vms", i), config.drained_vms(i));
        faults.checkUnique(indexed("drained_vms", i), config.drained_vms(i), names);
    }
}

void checkFailureDomains(const DeploymentConfig& config, FaultList& faults)
{
    if (config.failure_domains().empty())
        faults.add("failure_domains", "", "at least one failure domain is needed");
    faults.checkAtMost(
        "failure_domains", static_cast<std::uint64_t>(config.failure_domains_size()), ConfigBounds::failureDomains);
    std::set<std::string> names;
    for (int i = 0; i < config.failure_domains_size(); ++i) {
        faults.checkName(indexed("failure_domains", i), config.failure_domains(i));
        faults.checkUnique(indexed("failure_domains", i), config.failure_domains(i), names);
    }
    const auto shards = config.shards_per_domain();
    if (shards == 0 || shards > ConfigBounds::shardsPerDomain)
        faults.add("shards_per_domain", std::to_string(shards),
            "must be between 1 and " + std::to_string(ConfigBounds::shardsPerDomain));
}

std::shared_ptr<const Schema> compileSchema(const DeploymentConfig& config, FaultList& faults)
{
    std::vector<SchemaSource> sources;
    sources.reserve(static_cast<std::size_t>(config.schema_files_size()));
    for (const auto& file : config.schema_files())
        sources.push_back({ .path = file.path(), .text = file.text() });
    try {
        return Schema::compile(sources);
    } catch (const SchemaError& error) {
        for (const auto& fault : error.faults())
            faults.add("schema_files",
                fault.file + ":" + std::to_string(fault.line) + ":" + std::to_string(fault.column), fault.cause);
        return nullptr;
    }
}

void checkServicesInSchema(const DeploymentConfig& config, const Schema& schema, FaultList& faults)
{
    std::set<std::string> known;
    for (const auto* method : schema.methods())
        known.insert(method->service.value);
    for (int i = 0; i < config.services_size(); ++i) {
        const auto& name = config.services(i).name();
        if (!known.contains(name))
            faults.add(indexed("services", i, "name"), name, "the schema has no such service with calls");
    }
}

} // namespace

std::vector<ConfigFault> findConfigFaults(const DeploymentConfig& config)
{
    FaultList faults;
    checkIdentity(config, faults);
    checkSchemaFiles(config, faults);
    checkServices(config, faults);
    checkClientAccounts(config, faults);
    checkLimits(config.limits(), faults);
    checkDrainedVms(config, faults);
    checkFailureDomains(config, faults);
    return faults.take();
}

std::shared_ptr<const ActiveConfig> buildActiveConfig(const DeploymentConfig& config)
{
    // Faults such as an oversized schema are reported first, so that only a schema within its bounds is compiled.
    if (auto found = findConfigFaults(config); !found.empty())
        throw ConfigError(std::move(found));
    FaultList faults;
    auto schema = compileSchema(config, faults);
    if (schema)
        checkServicesInSchema(config, *schema, faults);
    if (auto found = faults.take(); !found.empty())
        throw ConfigError(std::move(found));
    return std::make_shared<const ActiveConfig>(
        ActiveConfig { .content = std::make_shared<const DeploymentConfig>(config),
            .schema = std::move(schema),
            .version = ConfigVersion(config.version()) });
}

} // namespace Balsammill
