#pragma once

#include "balsammill/base/RpcError.h"

#include <optional>
#include <string>
#include <string_view>

namespace Balsammill::Detail {

/// Error of the Connect protocol as JSON, with a balsammill.v1.CallError as its detail.
std::string formatErrorBody(const RpcErrorDetails&);

/// Reads an error body; the verdict is the given one, because only the header decides it. Empty if the text is no
/// Connect error.
std::optional<RpcErrorDetails> parseErrorBody(const std::string& json, Verdict);

/// Code that the Connect protocol assigns to an HTTP status without an error body.
ErrorCode codeOfHttpStatus(int status);

} // namespace Balsammill::Detail
