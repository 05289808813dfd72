#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Balsammill::Detail {

/// Checks what the JSON parser does not: UTF-8, and objects and arrays nested deeper than the limit.
/// Returns the cause of the fault.
std::optional<std::string> checkJsonText(std::string_view json, int maxDepth);

/// Field path in a message of the JSON conversion, such as "(items[1].row): invalid value ..."; empty if it names none.
std::string fieldOfJsonFault(std::string_view message);

} // namespace Balsammill::Detail
