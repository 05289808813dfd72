#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Balsammill::Detail {

/// Checks what protobuf's JSON parser does not: size, valid UTF-8, and that objects and arrays are nested at most
/// maxDepth levels deep. Returns the cause of the first fault, or std::nullopt if there is none.
std::optional<std::string> checkJsonText(std::string_view json, int maxDepth);

struct JsonFault {
    /// Path such as "items[1].row"; empty if the fault does not concern a single field.
    std::string field;
    std::string cause;
};

/// Splits an error message of protobuf's JSON conversion, such as "(items[1].row): invalid value ...", into field and
/// cause.
JsonFault parseJsonFault(std::string_view message);

} // namespace Balsammill::Detail
