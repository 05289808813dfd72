#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace google::protobuf {
class Descriptor;
}

namespace Balsammill::Detail {

/// Messages nested deeper than this are refused, in JSON as in binary.
inline constexpr int maxNesting = 32;

struct WireFault {
    /// Path of field names joined by dots; empty if the fault has no field.
    std::string field;
    std::string cause;
};

class TypeTable;

/// Checks a binary message against its type without building it, also inside google.protobuf.Any if its type is in the
/// table: the JSON converter does not count the levels of nested Any values and would overflow the stack. Unknown field
/// numbers are accepted, as protobuf intends for newer callers; a known number with another wire type is a fault.
std::optional<WireFault> checkWire(const google::protobuf::Descriptor&, std::string_view binary, const TypeTable&);

} // namespace Balsammill::Detail
