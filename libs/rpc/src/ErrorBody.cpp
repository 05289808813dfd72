#include "ErrorBody.h"

#include "balsammill/rpc/VerdictMessage.h"

#include <balsammill/v1/call.pb.h>

#include <Poco/Dynamic/Var.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/JSONString.h>

#include <google/protobuf/stubs/common.h>
#include <google/protobuf/stubs/strutil.h>

#include <algorithm>

namespace Balsammill::Detail {

namespace {

constexpr auto detailType = "balsammill.v1.CallError";
constexpr std::size_t maxErrorDepth = 16;

/// Makes a text valid for JSON. If it is not valid UTF-8, all its non-ASCII bytes are replaced by '?'.
std::string replaceInvalidUtf8(const std::string& text)
{
    if (google::protobuf::internal::IsStructurallyValidUTF8(text.data(), static_cast<int>(text.size())))
        return text;
    std::string result = text;
    std::replace_if(
        result.begin(), result.end(), [](char c) { return static_cast<unsigned char>(c) >= 0x80; }, '?');
    return result;
}

std::string toJsonString(const std::string& text) { return Poco::toJSON(text, Poco::JSON_WRAP_STRINGS); }

std::uint32_t retryAfterMs(const RpcErrorDetails& details)
{
    const auto delay = std::chrono::ceil<std::chrono::milliseconds>(details.retryAfter).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(delay, 0, 0xffffffff));
}

std::string encodeDetail(const balsammill::v1::CallError& detail)
{
    std::string value;
    google::protobuf::Base64Escape(detail.SerializeAsString(), &value);
    while (value.ends_with('='))
        value.pop_back();
    return value;
}

void parseDetail(const Poco::JSON::Object& entry, RpcErrorDetails& details)
{
    if (entry.optValue<std::string>("type", {}) != detailType)
        return;
    std::string binary;
    balsammill::v1::CallError detail;
    if (google::protobuf::Base64Unescape(entry.optValue<std::string>("value", {}), &binary)
        && detail.ParseFromString(binary)) {
        details.field = detail.field();
        details.retryAfter = std::chrono::milliseconds(detail.retry_after_ms());
    }
}

} // namespace

std::string formatErrorBody(const RpcErrorDetails& details)
{
    balsammill::v1::CallError detail;
    detail.set_verdict(toProto(details.verdict));
    detail.set_field(replaceInvalidUtf8(details.field));
    detail.set_retry_after_ms(retryAfterMs(details));
    std::string body = R"({"code":")" + std::string(nameOf(details.code)) + R"(","message":)"
        + toJsonString(replaceInvalidUtf8(details.message)) + R"(,"details":[{"type":")" + detailType + R"(","value":")"
        + encodeDetail(detail) + R"(","debug":{"verdict":")" + balsammill::v1::Verdict_Name(detail.verdict()) + "\"";
    if (!detail.field().empty())
        body += ",\"field\":" + toJsonString(detail.field());
    if (detail.retry_after_ms() > 0)
        body += ",\"retryAfterMs\":" + std::to_string(detail.retry_after_ms());
    return body + "}}]}";
}

std::optional<RpcErrorDetails> parseErrorBody(const std::string& json, Verdict verdict)
{
    try {
        Poco::JSON::Parser parser;
        parser.setDepth(maxErrorDepth);
        const auto object = parser.parse(json).extract<Poco::JSON::Object::Ptr>();
        const auto code = parseErrorCode(object->optValue<std::string>("code", {}));
        if (!code)
            return std::nullopt;
        RpcErrorDetails details {
            .code = *code, .message = object->optValue<std::string>("message", {}), .verdict = verdict
        };
        if (const auto entries = object->getArray("details")) {
            for (std::size_t i = 0; i < entries->size(); ++i) {
                if (const auto entry = entries->getObject(static_cast<unsigned>(i)))
                    parseDetail(*entry, details);
            }
        }
        return details;
    } catch (const Poco::Exception&) {
        return std::nullopt;
    }
}

ErrorCode codeOfHttpStatus(int status)
{
    switch (status) {
    case 400:
        return ErrorCode::Internal;
    case 401:
        return ErrorCode::Unauthenticated;
    case 403:
        return ErrorCode::PermissionDenied;
    case 404:
        return ErrorCode::Unimplemented;
    case 429:
    case 502:
    case 503:
    case 504:
        return ErrorCode::Unavailable;
    default:
        return ErrorCode::Unknown;
    }
}

} // namespace Balsammill::Detail
