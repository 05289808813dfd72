#pragma once

#include "balsammill/base/RpcError.h"

#include <stdexcept>
#include <string>
#include <vector>

namespace Balsammill {

/// One fault in a configuration or in a change to it.
struct ConfigFault {
    /// Path of the field, for example "services[1].name".
    std::string field;
    /// The invalid value, truncated if long. For a fault in a schema file: its path, line and column.
    std::string value;
    std::string cause;
};

/// Thrown for an invalid configuration or change. what() lists all faults as "field 'value': cause".
class ConfigError : public std::runtime_error {
public:
    explicit ConfigError(std::vector<ConfigFault>);
    const std::vector<ConfigFault>& faults() const { return faults_; }

    /// Error returned to the operator: invalid_argument, not-run, with the field of the first fault.
    RpcErrorDetails details() const;

private:
    std::vector<ConfigFault> faults_;
};

} // namespace Balsammill
