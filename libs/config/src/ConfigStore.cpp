#include "balsammill/config/ConfigStore.h"

#include "FaultList.h"

#include "balsammill/config/ConfigValidation.h"

#include <limits>

#include <set>

namespace Balsammill {

namespace {

using balsammill::v1::DeploymentConfig;

// The message has no map fields, so equal content has equal bytes.
bool isSameContent(const DeploymentConfig& left, const DeploymentConfig& right)
{
    return left.SerializeAsString() == right.SerializeAsString();
}

[[noreturn]] void refuse(std::string field, const std::string& value, std::string cause)
{
    Detail::FaultList faults;
    faults.add(std::move(field), value, std::move(cause));
    throw ConfigError(faults.take());
}

std::set<std::string> domainsOf(const DeploymentConfig& config)
{
    return { config.failure_domains().begin(), config.failure_domains().end() };
}

std::string joined(const std::set<std::string>& names)
{
    std::string text;
    for (const auto& name : names)
        text += (text.empty() ? "" : ", ") + name;
    return text;
}

// The home failure domain of a job is derived from its id and the list of domains; its shard is hash(id) modulo the
// number of shards. After a change of either, a resubmitted job could be routed to a shard that has no record of it,
// and its tasks would run twice.
void requireSamePlacement(const DeploymentConfig& current, const DeploymentConfig& next)
{
    if (current.version() == 0)
        return;
    if (current.shards_per_domain() != next.shards_per_domain())
        refuse("shards_per_domain", std::to_string(next.shards_per_domain()),
            "cannot be changed from " + std::to_string(current.shards_per_domain()) + " while the deployment runs");
    if (domainsOf(current) != domainsOf(next))
        refuse("failure_domains", joined(domainsOf(next)),
            "cannot be changed from " + joined(domainsOf(current)) + " while the deployment runs");
}

} // namespace

RpcErrorDetails ConfigConflict::details() const
{
    return { .code = ErrorCode::Aborted,
        .message = "the change is based on version " + std::to_string(expected.value) + ", but version "
            + std::to_string(current.value) + " is in force",
        .verdict = Verdict::NotRun };
}

ConfigVersion ConfigStore::version() const { return current_ ? current_->version : ConfigVersion(0); }

AdoptResult ConfigStore::adopt(const DeploymentConfig& offered)
{
    const ConfigVersion offeredVersion(offered.version());
    if (offered.version() < version().value)
        return ConfigOutdated { .offered = offeredVersion, .current = version() };
    if (current_ && offeredVersion == version()) {
        if (isSameContent(offered, *current_->content))
            return ConfigAlreadyInForce {};
        return ConfigDivergent { .version = offeredVersion,
            .offeredChangeId = offered.change_id(),
            .currentChangeId = current_->content->change_id() };
    }
    current_ = buildActiveConfig(offered);
    return ConfigAdopted { .config = current_ };
}

PrepareResult ConfigStore::prepare(
    const ConfigChange& change, ConfigVersion expected, const std::string& changeId) const
{
    if (expected != version())
        return ConfigConflict { .expected = expected, .current = version() };
    if (expected.value == std::numeric_limits<std::uint64_t>::max())
        refuse("version", std::to_string(expected.value), "is the last possible version");
    const auto base = current_ ? *current_->content : DeploymentConfig();
    auto next = applyChange(base, change);
    if (current_ && isSameContent(base, next))
        return ConfigUnchanged { .version = expected };
    next.set_version(expected.value + 1);
    next.set_change_id(changeId);
    buildActiveConfig(next);
    requireSamePlacement(base, next);
    return ConfigPrepared { .next = std::move(next) };
}

} // namespace Balsammill
