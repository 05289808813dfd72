#include "balsammill/jobs/ShardRecord.h"

#include <google/protobuf/struct.pb.h>
#include <google/protobuf/util/json_util.h>

#include <charconv>

namespace Balsammill {

namespace {

using google::protobuf::Struct;
using google::protobuf::Value;

// Numbers are stored as text, because a JSON number has only 53 bits.
Value textValue(std::string text)
{
    Value value;
    value.set_string_value(std::move(text));
    return value;
}

Value processValue(const ProcessId& process)
{
    Value value;
    auto& fields = *value.mutable_struct_value()->mutable_fields();
    fields["vm"] = textValue(process.vm.value);
    fields["incarnation"] = textValue(std::to_string(process.incarnation.value));
    return value;
}

template <typename Number> std::optional<Number> parseNumber(std::string_view text)
{
    Number number {};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc {} || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

template <typename Number> std::optional<Number> numberField(const Struct& object, const std::string& name)
{
    const auto field = object.fields().find(name);
    if (field == object.fields().end())
        return std::nullopt;
    return parseNumber<Number>(field->second.string_value());
}

std::optional<ProcessId> processField(const Struct& object, const std::string& name)
{
    const auto field = object.fields().find(name);
    if (field == object.fields().end())
        return std::nullopt;
    const auto& process = field->second.struct_value();
    const auto vm = process.fields().find("vm");
    const auto incarnation = numberField<std::uint64_t>(process, "incarnation");
    if (vm == process.fields().end() || vm->second.string_value().empty() || !incarnation)
        return std::nullopt;
    return ProcessId { VmName { vm->second.string_value() }, Incarnation { *incarnation } };
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
    Struct object;
    auto& fields = *object.mutable_fields();
    fields["epoch"] = textValue(std::to_string(record.epoch.value));
    fields["primary"] = processValue(record.primary);
    if (record.backup)
        fields["backup"] = processValue(*record.backup);
    if (record.historyUnknownUntilMs != 0)
        fields["historyUnknownUntilMs"] = textValue(std::to_string(record.historyUnknownUntilMs));
    std::string text;
    // A struct of strings always has a JSON form.
    (void)google::protobuf::util::MessageToJsonString(object, &text);
    return text;
}

std::optional<ShardRecord> parseShardRecord(const std::string& text)
{
    Struct object;
    if (!google::protobuf::util::JsonStringToMessage(text, &object).ok())
        return std::nullopt;
    const auto epoch = numberField<std::uint64_t>(object, "epoch");
    const auto primary = processField(object, "primary");
    if (!epoch || *epoch == 0 || !primary)
        return std::nullopt;
    ShardRecord record { Epoch { *epoch }, *primary, processField(object, "backup") };
    if (object.fields().contains("backup") && !record.backup)
        return std::nullopt;
    if (object.fields().contains("historyUnknownUntilMs")) {
        const auto until = numberField<std::int64_t>(object, "historyUnknownUntilMs");
        if (!until)
            return std::nullopt;
        record.historyUnknownUntilMs = *until;
    }
    return record;
}

} // namespace Balsammill
