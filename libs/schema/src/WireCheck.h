#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace google::protobuf {
class Descriptor;
}

namespace Balsammill::Detail {

/// Maximum nesting depth of messages; deeper ones are rejected in JSON and in binary.
inline constexpr int maxNesting = 32;

struct WireFault {
    /// Path of field names joined by dots; empty if the fault does not concern a single field.
    std::string field;
    std::string cause;
};

class TypeTable;

/// Checks a binary message against its type without constructing it. Also checks the content of google.protobuf.Any if
/// its type is in the table: the JSON converter does not limit the depth of nested Any values and would overflow the
/// stack. Unknown field numbers are accepted, so that newer callers work; a known number with another wire type is a
/// fault.
std::optional<WireFault> checkWire(const google::protobuf::Descriptor&, std::string_view binary, const TypeTable&);

} // namespace Balsammill::Detail
