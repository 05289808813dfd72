#pragma once

#include "HttpStream.h"

#include "balsammill/rpc/RpcMessages.h"

#include <Poco/Net/SocketAddress.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Balsammill::Detail {

/// A received HTTP answer, its body complete.
struct HttpAnswer {
    int status { 0 };
    std::string contentType;
    std::optional<Verdict> verdict;
    std::string body;
    bool keepAlive { false };
};

struct CallHead {
    const NetworkAddress& address;
    const MethodName& method;
    Encoding encoding { Encoding::Binary };
    std::size_t bodyBytes { 0 };
    TimePoint deadline;
    /// Further header lines, each ended by CRLF.
    std::string extraLines {};
};

std::string_view contentTypeOf(Encoding);

/// Header of a Connect call. Throws RpcError (invalid_argument, not-run) if a value would break the header's lines.
std::string formatCallHead(const CallHead&);
/// A header line; empty if the value is empty. Throws like formatCallHead().
std::string formatHeaderLine(std::string_view name, std::string_view value);

/// Opens a connection. Throws RpcError (unavailable or deadline_exceeded, not-run).
std::unique_ptr<HttpStream> openStream(const Poco::Net::SocketAddress&, Duration connectTimeout, TimePoint deadline);

/// Sends a request and reads its answer; throws StreamFault. written counts the bytes that were sent in any case.
HttpAnswer sendAndReceive(HttpStream&, std::string_view head, std::string_view body, std::size_t maxAnswerBytes,
    TimePoint deadline, std::size_t& written);

/// What a failed exchange means for the caller.
RpcErrorDetails describeFault(const StreamFault&, std::size_t written, const NetworkAddress&);

/// The error that an answer carries; empty if it is the answer of a call that ran.
std::optional<RpcErrorDetails> errorOf(const HttpAnswer&, Encoding expected, const NetworkAddress&);

} // namespace Balsammill::Detail
