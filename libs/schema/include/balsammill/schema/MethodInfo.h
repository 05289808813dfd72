#pragma once

#include "balsammill/base/StrongId.h"
#include "balsammill/base/Units.h"

#include <cstdint>

namespace google::protobuf {
class Descriptor;
}

namespace Balsammill {

enum class Urgency {
    Low,
    Normal,
    High,
};

/// One method as declared in the schema.
struct MethodInfo {
    MethodName name;
    ServiceName service;
    /// True for idempotency_level IDEMPOTENT and NO_SIDE_EFFECTS; an unset level means non-idempotent.
    bool idempotent { false };
    Urgency urgency { Urgency::Normal };
    /// Run time estimated by the operator, often inaccurate; zero if not declared.
    Duration declaredRunTime {};
    /// From the policy's deadline_ms; zero if the deployment's default applies.
    Duration defaultTimeout {};
    Slots slots { 1 };
    /// Zero if the deployment's default applies.
    std::uint32_t queueLimit { 0 };
    /// Request type and response type; both are valid for the lifetime of the Schema.
    const google::protobuf::Descriptor* input { nullptr };
    const google::protobuf::Descriptor* output { nullptr };
};

} // namespace Balsammill
