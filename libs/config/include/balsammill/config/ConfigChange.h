#pragma once

#include "balsammill/base/StrongId.h"

#include <balsammill/v1/config.pb.h>

#include <variant>

namespace Balsammill {

/// Takes a VM out of service: no new work is sent to it.
struct DrainVm {
    VmName vm;
};
struct UndrainVm {
    VmName vm;
};
/// Refuses the calls of a service with verdict not-run until it is resumed.
struct StopService {
    ServiceName service;
};
struct ResumeService {
    ServiceName service;
};
/// Replaces the whole content; version and change id of the given configuration are ignored.
struct ReplaceConfig {
    balsammill::v1::DeploymentConfig config;
};

using ConfigChange = std::variant<DrainVm, UndrainVm, StopService, ResumeService, ReplaceConfig>;

/// Content after the change, with the version and change id of the old content. A change that is already in effect
/// gives equal content. Throws ConfigError for unknown services and unusable VM names.
balsammill::v1::DeploymentConfig applyChange(const balsammill::v1::DeploymentConfig& current, const ConfigChange&);

} // namespace Balsammill
