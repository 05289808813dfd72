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

/// What the schema says about one call.
struct MethodInfo {
    MethodName name;
    ServiceName service;
    /// True for idempotency_level IDEMPOTENT and NO_SIDE_EFFECTS; an unset level means non-idempotent.
    bool idempotent { false };
    Urgency urgency { Urgency::Normal };
    /// Declared by the operator, often far off; zero if unknown.
    Duration declaredRunTime {};
    /// Zero if the deployment's default applies.
    Duration defaultTimeout {};
    Slots slots { 1 };
    /// Zero if the deployment's default applies.
    std::uint32_t queueLimit { 0 };
    /// Valid as long as the Schema.
    const google::protobuf::Descriptor* input { nullptr };
    const google::protobuf::Descriptor* output { nullptr };
};

} // namespace Balsammill
