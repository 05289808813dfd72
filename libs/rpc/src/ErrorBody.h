#pragma once

#include "balsammill/base/RpcError.h"

#include <optional>
#include <string>
#include <string_view>

namespace Balsammill::Detail {

/// Formats an error as JSON of the Connect protocol, with a balsammill.v1.CallError in its details.
std::string formatErrorBody(const RpcErrorDetails&);

/// Parses an error body. The result has the given verdict, because only the response header determines it. Empty if the
/// text is not a Connect error.
std::optional<RpcErrorDetails> parseErrorBody(const std::string& json, Verdict);

/// Returns the code that the Connect protocol assigns to an HTTP status if the response has no Connect error body.
ErrorCode codeOfHttpStatus(int status);

} // namespace Balsammill::Detail
