#pragma once

#include "HttpStream.h"

#include "balsammill/rpc/RpcMessages.h"

#include <Poco/Net/SocketAddress.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Balsammill::Detail {

/// A received HTTP response with its complete body.
struct HttpResponse {
    int status { 0 };
    std::string contentType;
    std::optional<Verdict> verdict;
    std::string body;
    bool keepAlive { false };
};

/// Contents of the request line and header of a Connect call.
struct CallHead {
    const NetworkAddress& address;
    const MethodName& method;
    Encoding encoding { Encoding::Binary };
    std::size_t bodyBytes { 0 };
    TimePoint deadline;
    /// Additional header lines, each terminated by CRLF.
    std::string extraLines {};
};

std::string_view contentTypeOf(Encoding);

/// Formats the request line and header of a Connect call. Throws RpcError (invalid_argument, not-run) if a value
/// contains characters that are not allowed there, such as line breaks.
std::string formatCallHead(const CallHead&);
/// Formats a header line; empty if the value is empty. Throws like formatCallHead().
std::string formatHeaderLine(std::string_view name, std::string_view value);

/// Opens a connection. Throws RpcError (unavailable or deadline_exceeded, not-run).
std::unique_ptr<HttpStream> openStream(const Poco::Net::SocketAddress&, Duration connectTimeout, TimePoint deadline);

/// Sends a request and reads its response. Throws StreamFault. Sets written to the number of sent bytes, also if it
/// throws.
HttpResponse sendAndReceive(HttpStream&, std::string_view head, std::string_view body, std::size_t maxResponseBytes,
    TimePoint deadline, std::size_t& written);

/// Converts a failed exchange to the error that the caller receives.
RpcErrorDetails errorFromFault(const StreamFault&, std::size_t written, const NetworkAddress&);

/// Returns the error of a response; empty if the call succeeded.
std::optional<RpcErrorDetails> errorOf(const HttpResponse&, Encoding expected, const NetworkAddress&);

} // namespace Balsammill::Detail
