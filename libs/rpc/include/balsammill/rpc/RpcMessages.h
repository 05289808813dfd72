#pragma once

#include "balsammill/base/RpcError.h"
#include "balsammill/base/StrongId.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Balsammill {

enum class Encoding {
    Json,
    Binary,
};

struct HeaderField {
    std::string name;
    std::string value;
};

/// A received unary call with its complete body.
struct RpcRequest {
    /// "package.Service/Method", or the path of a GET request.
    MethodName method;
    Encoding encoding { Encoding::Json };
    std::string body;
    ClientAccountName clientAccount;
    /// From Connect-Timeout-Ms, counted from the arrival of the request line.
    std::optional<TimePoint> deadline;
    TimePoint receivedAt;
    /// Value of "Authorization: Bearer"; empty if absent.
    std::string bearerToken;
    /// From Balsammill-Task-Id; empty if absent.
    std::string taskId;
};

/// Successful response to a call.
struct RpcAnswer {
    Encoding encoding { Encoding::Json };
    std::string body;
    Verdict verdict { Verdict::Ran };
};

/// Handles one call. Throws RpcError to refuse the call or to report its failure.
using RpcHandler = std::function<RpcAnswer(const RpcRequest&)>;

/// Response of a GET page such as /healthz or /metrics.
struct PageAnswer {
    int status { 200 };
    std::string contentType { "text/plain; charset=utf-8" };
    std::string body;
};

using PageHandler = std::function<PageAnswer()>;

} // namespace Balsammill
