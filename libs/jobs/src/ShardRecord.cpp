#include "balsammill/jobs/ShardRecord.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <charconv>
#include <sstream>

namespace Balsammill {

namespace {

using Poco::JSON::Object;

// Numbers are stored as text, because JSON numbers are exact only up to 53 bits.
Object processObject(const ProcessId& process)
{
    Object object;
    object.set("vm", process.vm.value);
    object.set("incarnation", std::to_string(process.incarnation.value));
    return object;
}

template <typename Number> std::optional<Number> parseNumber(std::string_view text)
{
    Number number {};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc {} || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

template <typename Number> std::optional<Number> numberField(const Object& object, const std::string& name)
{
    return object.has(name) ? parseNumber<Number>(object.getValue<std::string>(name)) : std::nullopt;
}

std::optional<ProcessId> processField(const Object& object, const std::string& name)
{
    const auto process = object.getObject(name);
    if (!process || !process->has("vm"))
        return std::nullopt;
    const auto incarnation = numberField<std::uint64_t>(*process, "incarnation");
    auto vm = process->getValue<std::string>("vm");
    if (vm.empty() || !incarnation)
        return std::nullopt;
    return ProcessId { VmName { std::move(vm) }, Incarnation { *incarnation } };
}

std::optional<ShardRecord> toRecord(const Object& object)
{
    const auto epoch = numberField<std::uint64_t>(object, "epoch");
    const auto primary = processField(object, "primary");
    if (!epoch || *epoch == 0 || !primary)
        return std::nullopt;
    ShardRecord record { Epoch { *epoch }, *primary, processField(object, "backup") };
    if (object.has("backup") && !record.backup)
        return std::nullopt;
    if (object.has("historyUnknownUntilMs")) {
        const auto until = numberField<std::int64_t>(object, "historyUnknownUntilMs");
        if (!until)
            return std::nullopt;
        record.historyUnknownUntilMs = *until;
    }
    return record;
}

} // namespace

std::string shardTablePrefix(const FailureDomain& domain) { return "shards/" + domain.value + "/"; }

std::string shardTableKey(const FailureDomain& domain, ShardIndex shard)
{
    return shardTablePrefix(domain) + std::to_string(shard.value);
}

std::optional<ShardIndex> shardOfTableKey(const FailureDomain& domain, std::string_view key)
{
    const auto prefix = shardTablePrefix(domain);
    if (!key.starts_with(prefix))
        return std::nullopt;
    const auto number = parseNumber<std::uint32_t>(key.substr(prefix.size()));
    return number ? std::optional(ShardIndex { *number }) : std::nullopt;
}

std::string formatShardRecord(const ShardRecord& record)
{
    Object object;
    object.set("epoch", std::to_string(record.epoch.value));
    object.set("primary", processObject(record.primary));
    if (record.backup)
        object.set("backup", processObject(*record.backup));
    if (record.historyUnknownUntilMs != 0)
        object.set("historyUnknownUntilMs", std::to_string(record.historyUnknownUntilMs));
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

std::optional<ShardRecord> parseShardRecord(const std::string& text)
{
    try {
        const auto object = Poco::JSON::Parser().parse(text).extract<Object::Ptr>();
        return object ? toRecord(*object) : std::nullopt;
    } catch (const Poco::Exception&) {
        return std::nullopt;
    }
}

} // namespace Balsammill
