#include "ProtoCodec.h"

#include <google/protobuf/util/json_util.h>

namespace Balsammill::Detail {

namespace {

[[noreturn]] void throwInvalid(const std::string& cause)
{
    throw RpcError({ .code = ErrorCode::InvalidArgument, .message = cause, .verdict = Verdict::NotRun });
}

} // namespace

void decodeBody(const RpcRequest& request, google::protobuf::Message& message)
{
    if (request.encoding == Encoding::Binary) {
        if (!message.ParseFromString(request.body))
            throwInvalid("the body is not a valid " + message.GetTypeName());
        return;
    }
    const auto status
        = google::protobuf::util::JsonStringToMessage(request.body.empty() ? "{}" : request.body, &message);
    if (!status.ok())
        throwInvalid(message.GetTypeName() + ": " + std::string(status.message()));
}

std::string toJsonText(const google::protobuf::Message& message)
{
    std::string text;
    const auto status = google::protobuf::util::MessageToJsonString(message, &text);
    if (!status.ok())
        throw RpcError(
            { .code = ErrorCode::Internal, .message = std::string(status.message()), .verdict = Verdict::Ran });
    return text;
}

RpcAnswer encodeAnswer(const RpcRequest& request, const google::protobuf::Message& message, Verdict verdict)
{
    RpcAnswer answer { .encoding = request.encoding, .body = {}, .verdict = verdict };
    answer.body = request.encoding == Encoding::Binary ? message.SerializeAsString() : toJsonText(message);
    return answer;
}

} // namespace Balsammill::Detail
