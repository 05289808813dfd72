#pragma once

#include "balsammill/rpc/RpcMessages.h"

#include <google/protobuf/message.h>

#include <string>

namespace Balsammill::Detail {

/// Decodes the body of a call to a built-in service. Throws RpcError (invalid_argument, not-run) if it is invalid.
void decodeBody(const RpcRequest&, google::protobuf::Message&);

/// Encodes an answer in the caller's encoding.
RpcAnswer encodeAnswer(const RpcRequest&, const google::protobuf::Message&, Verdict);

std::string toJsonText(const google::protobuf::Message&);

} // namespace Balsammill::Detail
