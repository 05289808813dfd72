#pragma once

#include "HttpHeader.h"

#include "balsammill/rpc/RpcMessages.h"

#include <stdexcept>
#include <string>
#include <string_view>

namespace Balsammill::Detail {

/// Exception for a request that is refused before its handler is called. The HTTP status may be more specific than the
/// status of the error code.
class RequestRefused : public std::runtime_error {
public:
    RequestRefused(int status, ErrorCode code, const std::string& message)
        : std::runtime_error(message)
        , status_(status)
        , code_(code)
    {
    }
    int status() const { return status_; }
    RpcErrorDetails details() const { return { .code = code_, .message = what(), .verdict = Verdict::NotRun }; }

private:
    int status_;
    ErrorCode code_;
};

/// A request whose header was read and validated, but whose body was not read yet.
struct RequestHead {
    bool isPage { false };
    bool keepAlive { false };
    bool expectsContinue { false };
    BodyFraming framing;
    RpcRequest request;
};

/// Parses and validates a request header. Throws RequestRefused or StreamFault.
RequestHead parseRequestHead(const std::string& header, TimePoint receivedAt);

} // namespace Balsammill::Detail
