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

/// Name in the protocol, for example "invalid_argument".
std::string_view nameOf(ErrorCode);

std::optional<ErrorCode> parseErrorCode(std::string_view);

/// HTTP status that the Connect protocol assigns to the code.
int httpStatus(ErrorCode);

} // namespace Balsammill
