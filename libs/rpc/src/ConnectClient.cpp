#include "balsammill/rpc/ConnectClient.h"

#include "ClientExchange.h"
#include "HttpHeader.h"
#include "NumericAddress.h"

#include <stdexcept>

namespace Balsammill {

namespace {

constexpr std::size_t maxResponseBytes = 64 * 1024 * 1024;
constexpr Duration connectTimeout = std::chrono::seconds(2);

std::unique_ptr<Detail::HttpStream> connectTo(const NetworkAddress& address, TimePoint deadline)
{
    try {
        return Detail::openStream(Detail::parseNumericAddress(address), connectTimeout, deadline);
    } catch (const std::invalid_argument& error) {
        throw RpcError({ .code = ErrorCode::InvalidArgument, .message = error.what(), .verdict = Verdict::NotRun });
    }
}

Detail::HttpResponse exchangeOnce(
    const NetworkAddress& address, std::string_view head, std::string_view body, TimePoint deadline)
{
    const auto stream = connectTo(address, deadline);
    std::size_t written = 0;
    try {
        return Detail::sendAndReceive(*stream, head, body, maxResponseBytes, deadline, written);
    } catch (const Detail::StreamFault& fault) {
        throw RpcError(Detail::errorFromFault(fault, written, address));
    }
}

} // namespace

RpcAnswer callOnce(const ConnectCall& call)
{
    auto lines = Detail::formatHeaderLine("Balsammill-Team", call.clientAccount.value);
    if (!call.bearerToken.empty())
        lines += Detail::formatHeaderLine("Authorization", "Bearer " + call.bearerToken);
    lines += Detail::formatHeaderLine("Balsammill-Task-Id", call.taskId);
    lines += "Connection: close\r\n";
    const auto head = Detail::formatCallHead({ .address = call.address,
        .method = call.method,
        .encoding = call.encoding,
        .bodyBytes = call.body.size(),
        .deadline = call.deadline,
        .extraLines = std::move(lines) });
    auto response = exchangeOnce(call.address, head, call.body, call.deadline);
    if (auto error = Detail::errorOf(response, call.encoding, call.address))
        throw RpcError(std::move(*error));
    return {
        .encoding = call.encoding, .body = std::move(response.body), .verdict = response.verdict.value_or(Verdict::Ran)
    };
}

PageAnswer fetchPage(const NetworkAddress& address, const std::string& path, TimePoint deadline)
{
    if (!Detail::isSafeHeaderText(path) || path.find(' ') != std::string::npos || !path.starts_with('/'))
        throw RpcError({ .code = ErrorCode::InvalidArgument,
            .message = "'" + path + "' is not the path of a page",
            .verdict = Verdict::NotRun });
    const auto head = "GET " + path + " HTTP/1.1\r\nHost: " + address.value + "\r\nConnection: close\r\n\r\n";
    auto response = exchangeOnce(address, head, {}, deadline);
    return {
        .status = response.status, .contentType = std::move(response.contentType), .body = std::move(response.body)
    };
}

} // namespace Balsammill
