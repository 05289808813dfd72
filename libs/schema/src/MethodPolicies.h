#pragma once

#include "balsammill/schema/MethodInfo.h"
#include "balsammill/schema/Schema.h"

#include <vector>

namespace google::protobuf {
class MethodDescriptor;
}

namespace Balsammill::Detail {

/// Reads the options and the policy of a method; appends a fault for each unsupported feature or invalid setting.
MethodInfo readMethod(const google::protobuf::MethodDescriptor&, std::vector<SchemaFault>&);

} // namespace Balsammill::Detail
