#include "JsonText.h"

#include <google/protobuf/stubs/common.h>

#include <algorithm>
#include <limits>

namespace Balsammill::Detail {

namespace {

constexpr std::string_view unknownField = ": Cannot find field.";
constexpr std::string_view missingField = "missing field ";
constexpr std::string_view objectForScalarField = "invalid value Starting an object on a scalar field for type ";

/// Maximum nesting depth of objects and arrays; brackets inside strings do not count.
int jsonDepth(std::string_view json)
{
    int depth = 0;
    int maxDepthSeen = 0;
    char quote = 0;
    for (std::size_t i = 0; i < json.size(); ++i) {
        const char c = json[i];
        if (quote != 0) {
            if (c == '\\')
                ++i;
            else if (c == quote)
                quote = 0;
        } else if (c == '"' || c == '\'') {
            quote = c;
        } else if (c == '{' || c == '[') {
            maxDepthSeen = std::max(maxDepthSeen, ++depth);
        } else if (c == '}' || c == ']') {
            --depth;
        }
    }
    return maxDepthSeen;
}

bool isNameCharacter(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_';
}

/// Returns the last component of the field's path if it is part of the cause. For some faults the converter puts it
/// there instead of into the parentheses: "name: cause", "missing field name" and others.
std::string_view fieldNameIn(std::string_view cause, bool startsWithName)
{
    for (const auto prefix : { missingField, objectForScalarField }) {
        if (cause.starts_with(prefix))
            return cause.substr(prefix.size());
    }
    if (!startsWithName)
        return {};
    if (cause.ends_with(unknownField))
        return cause.substr(0, cause.size() - unknownField.size());
    const auto* end = std::find_if_not(cause.begin(), cause.end(), isNameCharacter);
    const auto name = cause.substr(0, static_cast<std::size_t>(end - cause.begin()));
    return cause.substr(name.size()).starts_with(": ") ? name : std::string_view();
}

} // namespace

std::optional<std::string> checkJsonText(std::string_view json, int maxDepth)
{
    if (json.size() > static_cast<std::size_t>(std::numeric_limits<int>::max()))
        return "text is larger than 2 GiB";
    if (json.find_first_not_of(" \t\r\n") == std::string_view::npos)
        return "text is empty, expected a JSON object";
    if (!google::protobuf::internal::IsStructurallyValidUTF8(json.data(), static_cast<int>(json.size())))
        return "text is not valid UTF-8";
    if (jsonDepth(json) > maxDepth)
        return "nested more than " + std::to_string(maxDepth) + " levels deep";
    return std::nullopt;
}

JsonFault parseJsonFault(std::string_view message)
{
    JsonFault fault;
    if (message.starts_with("(")) {
        const auto end = message.find(')');
        fault.field = message.substr(1, end == std::string_view::npos ? end : end - 1);
        message.remove_prefix(end == std::string_view::npos ? message.size() : end + 1);
    }
    const auto start = message.find_first_not_of(": ");
    const bool startsWithName = start == 0 || !message.starts_with(':');
    message.remove_prefix(start == std::string_view::npos ? message.size() : start);
    fault.cause = message;
    if (const auto name = fieldNameIn(message, startsWithName); !name.empty())
        fault.field.append(fault.field.empty() ? "" : ".").append(name);
    return fault;
}

} // namespace Balsammill::Detail
