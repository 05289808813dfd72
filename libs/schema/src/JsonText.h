#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Balsammill::Detail {

/// Checks what the JSON parser does not: UTF-8, and objects and arrays nested deeper than the limit.
/// Returns the cause of the fault.
std::optional<std::string> checkJsonText(std::string_view json, int maxDepth);

struct JsonFault {
    /// Path such as "items[1].row"; empty if the fault has no field.
    std::string field;
    std::string cause;
};

/// Takes a message of the JSON conversion apart, such as "(items[1].row): invalid value ...".
JsonFault parseJsonFault(std::string_view message);

} // namespace Balsammill::Detail
