#include "JsonText.h"

#include <google/protobuf/stubs/common.h>

#include <algorithm>
#include <limits>

namespace Balsammill::Detail {

namespace {

constexpr std::string_view unknownField = ": Cannot find field.";

/// Deepest nesting outside of strings.
int jsonDepth(std::string_view json)
{
    int depth = 0;
    int deepest = 0;
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
            deepest = std::max(deepest, ++depth);
        } else if (c == '}' || c == ']') {
            --depth;
        }
    }
    return deepest;
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

std::string fieldOfJsonFault(std::string_view message)
{
    std::string path;
    std::string_view rest = message;
    if (rest.starts_with("(")) {
        const auto end = rest.find(')');
        if (end == std::string_view::npos)
            return {};
        path = rest.substr(1, end - 1);
        rest.remove_prefix(end + 1);
    }
    if (const auto end = rest.find(unknownField); end != std::string_view::npos) {
        auto name = rest.substr(0, end);
        while (name.starts_with(" "))
            name.remove_prefix(1);
        path += (path.empty() ? "" : ".") + std::string(name);
    }
    return path;
}

} // namespace Balsammill::Detail
