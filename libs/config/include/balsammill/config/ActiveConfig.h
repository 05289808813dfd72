#pragma once

#include "balsammill/base/Units.h"

#include <memory>

namespace balsammill::v1 {
class DeploymentConfig;
}

namespace Balsammill {

class Schema;

/// The active configuration with its compiled schema. Immutable.
struct ActiveConfig {
    std::shared_ptr<const balsammill::v1::DeploymentConfig> content;
    std::shared_ptr<const Schema> schema;
    ConfigVersion version;
};

} // namespace Balsammill
