#include "balsammill/base/ErrorCode.h"

#include <array>

namespace Balsammill {

namespace {

struct CodeEntry {
    ErrorCode code;
    std::string_view name;
    int httpStatus;
};

constexpr std::array codeTable {
    CodeEntry { ErrorCode::Canceled, "canceled", 499 },
    CodeEntry { ErrorCode::Unknown, "unknown", 500 },
    CodeEntry { ErrorCode::InvalidArgument, "invalid_argument", 400 },
    CodeEntry { ErrorCode::DeadlineExceeded, "deadline_exceeded", 504 },
    CodeEntry { ErrorCode::NotFound, "not_found", 404 },
    CodeEntry { ErrorCode::AlreadyExists, "already_exists", 409 },
    CodeEntry { ErrorCode::PermissionDenied, "permission_denied", 403 },
    CodeEntry { ErrorCode::ResourceExhausted, "resource_exhausted", 429 },
    CodeEntry { ErrorCode::FailedPrecondition, "failed_precondition", 400 },
    CodeEntry { ErrorCode::Aborted, "aborted", 409 },
    CodeEntry { ErrorCode::OutOfRange, "out_of_range", 400 },
    CodeEntry { ErrorCode::Unimplemented, "unimplemented", 501 },
    CodeEntry { ErrorCode::Internal, "internal", 500 },
    CodeEntry { ErrorCode::Unavailable, "unavailable", 503 },
    CodeEntry { ErrorCode::DataLoss, "data_loss", 500 },
    CodeEntry { ErrorCode::Unauthenticated, "unauthenticated", 401 },
};

const CodeEntry& entryOf(ErrorCode code) { return codeTable.at(static_cast<std::size_t>(code)); }

} // namespace

std::string_view nameOf(ErrorCode code) { return entryOf(code).name; }

std::optional<ErrorCode> parseErrorCode(std::string_view name)
{
    for (const auto& entry : codeTable) {
        if (entry.name == name)
            return entry.code;
    }
    return std::nullopt;
}

int httpStatus(ErrorCode code) { return entryOf(code).httpStatus; }

} // namespace Balsammill
