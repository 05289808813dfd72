#pragma once

#include <optional>
#include <string_view>

namespace Balsammill {

/// Error codes of the Connect protocol.
enum class ErrorCode {
    Canceled,
    Unknown,
    InvalidArgument,
    DeadlineExceeded,
    NotFound,
    AlreadyExists,
    PermissionDenied,
    ResourceExhausted,
    FailedPrecondition,
    Aborted,
    OutOfRange,
    Unimplemented,
    Internal,
    Unavailable,
    DataLoss,
    Unauthenticated,
};

/// Returns the protocol name of the code, for example "invalid_argument".
std::string_view nameOf(ErrorCode);

/// Parses a protocol name. Returns an empty optional for unknown names.
std::optional<ErrorCode> parseErrorCode(std::string_view);

/// Returns the HTTP status that the Connect protocol assigns to the code.
int httpStatus(ErrorCode);

} // namespace Balsammill
