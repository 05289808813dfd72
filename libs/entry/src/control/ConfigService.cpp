#include "balsammill/entry/ConfigService.h"

#include "ProtoCodec.h"
#include "balsammill/base/Log.h"
#include "balsammill/config/ConfigError.h"
#include "balsammill/internal/peer.pb.h"
#include "balsammill/observe/Timeline.h"
#include "balsammill/platform/PlatformClient.h"
#include "balsammill/v1/operator.pb.h"

#include <Poco/UUIDGenerator.h>
#include <google/protobuf/util/json_util.h>

#include <thread>

namespace Balsammill {

namespace {

constexpr auto configKey = "config/current";
constexpr Duration retryInterval = std::chrono::milliseconds(100);
constexpr Duration fetchInterval = std::chrono::milliseconds(100);
constexpr Duration inForcePollInterval = std::chrono::milliseconds(20);

[[noreturn]] void throwUnavailable(const std::string& cause, Verdict verdict)
{
    throw RpcError({ .code = ErrorCode::Unavailable, .message = cause, .verdict = verdict });
}

[[noreturn]] void throwConflict(std::uint64_t expected, std::uint64_t current)
{
    throw RpcError(ConfigConflict { ConfigVersion(expected), ConfigVersion(current) }.details());
}

balsammill::v1::DeploymentConfig parseStored(const std::string& text)
{
    balsammill::v1::DeploymentConfig config;
    const auto status = google::protobuf::util::JsonStringToMessage(text, &config);
    if (!status.ok())
        throw std::runtime_error("the stored configuration is not readable: " + std::string(status.message()));
    return config;
}

} // namespace

struct ConfigService::StoredConfig {
    balsammill::v1::DeploymentConfig content;
    ETag etag;
};

ConfigService::ConfigService(ConfigServiceOptions options)
    : options_(std::move(options))
{
}

ConfigVersion ConfigService::version() const
{
    const auto current = active_.load();
    return current ? current->version : ConfigVersion {};
}

std::optional<ConfigService::StoredConfig> ConfigService::readStored(Verdict verdictIfUnavailable) const
{
    const auto result = options_.platform.read(configKey);
    if (const auto* unavailable = std::get_if<PlatformUnavailable>(&result))
        throwUnavailable("the platform's table cannot be read: " + unavailable->cause, verdictIfUnavailable);
    if (std::holds_alternative<KeyAbsent>(result))
        return std::nullopt;
    const auto& value = std::get<TableValue>(result);
    return StoredConfig { parseStored(value.value), value.etag };
}

void ConfigService::refresh()
{
    try {
        if (const auto stored = readStored(Verdict::NotRun))
            adopt(stored->content);
    } catch (const std::exception& error) {
        static LogLimiter limiter(std::chrono::seconds(10));
        if (limiter.allow(monotonicNow()))
            logWarning(LogComponent::Config, std::string("cannot refresh the configuration: ") + error.what());
    }
}

balsammill::v1::ApplyConfigResponse ConfigService::change(
    const ConfigChange& change, std::optional<ConfigVersion> expected, TimePoint deadline)
{
    while (true) {
        const auto stored = readStored(Verdict::NotRun);
        if (stored)
            adopt(stored->content);
        const auto result = prepare(change, expected);
        if (const auto* conflict = std::get_if<ConfigConflict>(&result))
            throw RpcError(conflict->details());
        if (const auto* unchanged = std::get_if<ConfigUnchanged>(&result))
            return waitUntilInForce(unchanged->version, deadline);
        const auto& next = std::get<ConfigPrepared>(result).next;
        try {
            write(stored, next, deadline);
        } catch (const RpcError& error) {
            const bool lostRace = error.details().code == ErrorCode::Aborted;
            if (!lostRace || expected || monotonicNow() >= deadline)
                throw;
            continue;
        }
        logInfo(LogComponent::Config, "version " + std::to_string(next.version()) + " accepted");
        adopt(next);
        pushToAll();
        return waitUntilInForce(ConfigVersion(next.version()), deadline);
    }
}

PrepareResult ConfigService::prepare(const ConfigChange& change, std::optional<ConfigVersion> expected)
{
    const auto changeId = Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
    std::lock_guard lock(storeMutex_);
    try {
        return store_.prepare(change, expected.value_or(store_.version()), changeId);
    } catch (const ConfigError& error) {
        throw RpcError(error.details());
    }
}

// A write whose answer was lost may still be in flight, so reading the old value does not prove that it failed.
// Repeating the same conditional write resolves this: it either succeeds, or conflicts, and then the stored change id
// shows whether the first write took effect.
void ConfigService::write(
    const std::optional<StoredConfig>& base, const balsammill::v1::DeploymentConfig& next, TimePoint deadline)
{
    const auto text = Detail::toJsonText(next);
    const auto expected = base ? std::optional(base->etag) : std::nullopt;
    bool inDoubt = false;
    while (true) {
        const auto result = options_.platform.conditionalWrite(configKey, text, expected);
        if (std::holds_alternative<Written>(result))
            return;
        if (std::holds_alternative<WriteConflict>(result)) {
            const auto current = readStored(inDoubt ? Verdict::MayHaveRun : Verdict::NotRun);
            if (inDoubt && current && current->content.change_id() == next.change_id())
                return;
            // A higher version may be based on this write, which in that case took effect before it was replaced.
            const auto mayHaveBeenReplaced = inDoubt && current && current->content.version() > next.version();
            if (mayHaveBeenReplaced)
                throwUnavailable("a newer configuration hides whether this change took effect", Verdict::MayHaveRun);
            throwConflict(next.version() - 1, current ? current->content.version() : 0);
        }
        std::string cause;
        if (const auto* notSent = std::get_if<WriteNotSent>(&result)) {
            cause = notSent->cause;
            if (!inDoubt)
                throwUnavailable("the platform's table cannot be written: " + cause, Verdict::NotRun);
        } else {
            cause = std::get<WriteInDoubt>(result).cause;
            inDoubt = true;
        }
        if (monotonicNow() + retryInterval >= deadline)
            throwUnavailable("the result of the write is not known: " + cause, Verdict::MayHaveRun);
        std::this_thread::sleep_for(retryInterval);
    }
}

void ConfigService::adopt(const balsammill::v1::DeploymentConfig& content)
{
    std::lock_guard lock(storeMutex_);
    const auto result = store_.adopt(content);
    if (const auto* adopted = std::get_if<ConfigAdopted>(&result))
        publish(adopted->config);
    else if (const auto* divergent = std::get_if<ConfigDivergent>(&result))
        logError(LogComponent::Config,
            "conflicting configurations with version " + std::to_string(divergent->version.value) + ": keeping change "
                + divergent->currentChangeId + ", ignoring change " + divergent->offeredChangeId);
}

void ConfigService::publish(const std::shared_ptr<const ActiveConfig>& next)
{
    active_.store(next);
    const auto version = std::to_string(next->version.value);
    logInfo(LogComponent::Config, "version " + version + " in force");
    options_.timeline.record(EventKind::Configuration, "config", "version " + version);
    options_.adopted(*next);
}

// Only the entry that accepted a change pushes it. If every entry forwarded it, each of n entries would send n messages
// for one change. An entry that missed the push learns of the version from heartbeats or the table.
void ConfigService::pushToAll()
{
    if (const auto members = options_.members.load()) {
        for (const auto& member : members->members)
            push(member.id.vm);
    }
}

void ConfigService::push(const VmName& receiver)
{
    const auto current = active_.load();
    if (!current)
        return;
    balsammill::internal::PeerMessage message;
    *message.mutable_config_push()->mutable_config() = *current->content;
    options_.send(receiver, message);
}

void ConfigService::handlePeerMessage(const ProcessId& sender, const balsammill::internal::PeerMessage& message)
{
    if (message.has_config_fetch()) {
        if (message.config_fetch().have_version() < version().value)
            push(sender.vm);
        return;
    }
    if (!message.has_config_push())
        return;
    try {
        adopt(message.config_push().config());
    } catch (const ConfigError& error) {
        logError(LogComponent::Config, "configuration from " + sender.vm.value + " rejected: " + error.what());
    }
}

void ConfigService::observeVersion(const VmName& member, ConfigVersion memberVersion)
{
    const auto own = version();
    if (memberVersion <= own)
        return;
    {
        // Many entries report a new version in their heartbeats at the same time; one fetch is enough.
        std::lock_guard lock(fetchMutex_);
        const auto now = monotonicNow();
        if (now < nextFetchAt_)
            return;
        nextFetchAt_ = now + fetchInterval;
    }
    balsammill::internal::PeerMessage message;
    message.mutable_config_fetch()->set_have_version(own.value);
    options_.send(member, message);
}

balsammill::v1::ApplyConfigResponse ConfigService::waitUntilInForce(ConfigVersion version, TimePoint deadline) const
{
    balsammill::v1::ApplyConfigResponse response;
    response.set_version(version.value);
    while (true) {
        response.clear_not_in_force_on();
        const auto view = options_.members.load();
        for (const auto& member : view ? view->members : std::vector<Member> {}) {
            if (member.liveness != Liveness::Dead && member.configVersion < version)
                response.add_not_in_force_on(member.id.vm.value);
        }
        if (response.not_in_force_on().empty() || monotonicNow() >= deadline)
            return response;
        std::this_thread::sleep_for(inForcePollInterval);
    }
}

} // namespace Balsammill
