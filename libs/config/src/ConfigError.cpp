#include "balsammill/config/ConfigError.h"

#include <utility>

namespace Balsammill {

namespace {

std::string describe(const std::vector<ConfigFault>& faults)
{
    std::string text;
    for (const auto& fault : faults) {
        if (!text.empty())
            text += "; ";
        text += fault.field + " '" + fault.value + "': " + fault.cause;
    }
    return text;
}

} // namespace

ConfigError::ConfigError(std::vector<ConfigFault> faults)
    : std::runtime_error(describe(faults))
    , faults_(std::move(faults))
{
}

RpcErrorDetails ConfigError::details() const
{
    return { .code = ErrorCode::InvalidArgument,
        .message = what(),
        .verdict = Verdict::NotRun,
        .field = faults_.empty() ? std::string() : faults_.front().field };
}

} // namespace Balsammill
