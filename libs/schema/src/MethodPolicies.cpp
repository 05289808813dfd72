#include "MethodPolicies.h"

#include <balsammill/options.pb.h>

#include <google/protobuf/descriptor.h>

namespace Balsammill::Detail {

namespace {

using google::protobuf::MethodDescriptor;
using google::protobuf::MethodOptions;

constexpr std::uint32_t maxSlots = 1024;
constexpr std::uint32_t maxTimeMs = 24 * 60 * 60 * 1000;
constexpr std::uint32_t maxQueueLimit = 10'000'000;

SchemaFault faultAt(const MethodDescriptor& method, std::string cause)
{
    SchemaFault fault { .file = method.file()->name(), .cause = method.full_name() + ": " + std::move(cause) };
    google::protobuf::SourceLocation location;
    if (method.GetSourceLocation(&location)) {
        fault.line = location.start_line + 1;
        fault.column = location.start_column + 1;
    }
    return fault;
}

// The importer's pool keeps the policy extension as an unknown field; reparsing the options with the generated types
// makes it readable.
MethodOptions reparsedOptions(const MethodDescriptor& method)
{
    MethodOptions options;
    options.ParseFromString(method.options().SerializeAsString());
    return options;
}

Urgency urgencyOf(const balsammill::MethodPolicy& policy)
{
    switch (policy.urgency()) {
    case balsammill::URGENCY_LOW:
        return Urgency::Low;
    case balsammill::URGENCY_HIGH:
        return Urgency::High;
    default:
        return Urgency::Normal;
    }
}

void checkMaximum(const MethodDescriptor& method, const char* name, std::uint32_t value, std::uint32_t maximum,
    std::vector<SchemaFault>& faults)
{
    if (value > maximum)
        faults.push_back(faultAt(method,
            std::string("policy.") + name + " is " + std::to_string(value) + ", at most " + std::to_string(maximum)
                + " is allowed"));
}

void checkPolicy(
    const MethodDescriptor& method, const balsammill::MethodPolicy& policy, std::vector<SchemaFault>& faults)
{
    if (!balsammill::Urgency_IsValid(policy.urgency()))
        faults.push_back(faultAt(method, "policy.urgency " + std::to_string(policy.urgency()) + " is not defined"));
    checkMaximum(method, "slots", policy.slots(), maxSlots, faults);
    checkMaximum(method, "run_time_ms", policy.run_time_ms(), maxTimeMs, faults);
    checkMaximum(method, "deadline_ms", policy.deadline_ms(), maxTimeMs, faults);
    checkMaximum(method, "queue_limit", policy.queue_limit(), maxQueueLimit, faults);
    if (policy.deadline_ms() != 0 && policy.run_time_ms() > policy.deadline_ms())
        faults.push_back(faultAt(method,
            "policy.run_time_ms " + std::to_string(policy.run_time_ms()) + " exceeds policy.deadline_ms "
                + std::to_string(policy.deadline_ms())));
}

} // namespace

MethodInfo readMethod(const MethodDescriptor& method, std::vector<SchemaFault>& faults)
{
    if (method.client_streaming() || method.server_streaming())
        faults.push_back(faultAt(method, "streaming calls are not supported"));
    const auto options = reparsedOptions(method);
    const auto& policy = options.GetExtension(balsammill::policy);
    checkPolicy(method, policy, faults);

    MethodInfo info;
    info.name = MethodName(method.service()->full_name() + "/" + method.name());
    info.service = ServiceName(method.service()->full_name());
    info.idempotent = options.idempotency_level() != MethodOptions::IDEMPOTENCY_UNKNOWN;
    info.urgency = urgencyOf(policy);
    info.declaredRunTime = std::chrono::milliseconds(policy.run_time_ms());
    info.defaultTimeout = std::chrono::milliseconds(policy.deadline_ms());
    info.slots = Slots(policy.slots() == 0 ? 1 : policy.slots());
    info.queueLimit = policy.queue_limit();
    info.input = method.input_type();
    info.output = method.output_type();
    return info;
}

} // namespace Balsammill::Detail
