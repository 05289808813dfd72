#pragma once

#include "balsammill/schema/MethodInfo.h"
#include "balsammill/schema/Schema.h"

#include <vector>

namespace google::protobuf {
class MethodDescriptor;
}

namespace Balsammill::Detail {

/// Reads what the schema says about a call; appends a fault for each thing that cannot be served.
MethodInfo readMethod(const google::protobuf::MethodDescriptor&, std::vector<SchemaFault>&);

} // namespace Balsammill::Detail
