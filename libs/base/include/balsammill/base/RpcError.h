#pragma once

#include "balsammill/base/ErrorCode.h"
#include "balsammill/base/Units.h"
#include "balsammill/base/Verdict.h"

#include <stdexcept>
#include <string>

namespace Balsammill {

/// Error details that are reported to the caller of a failed call.
struct RpcErrorDetails {
    ErrorCode code { ErrorCode::Internal };
    std::string message;
    Verdict verdict { Verdict::MayHaveRun };
    /// Path of the request field that violates the schema; empty if no field does.
    std::string field {};
    /// Suggested delay before a retry; zero if none.
    Duration retryAfter {};
};

/// Exception that reports a failed call.
class RpcError : public std::runtime_error {
public:
    explicit RpcError(RpcErrorDetails);

    const RpcErrorDetails& details() const { return details_; }

private:
    RpcErrorDetails details_;
};

} // namespace Balsammill
