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
/// Replaces the whole content. The version and change id of the given configuration are ignored.
struct ReplaceConfig {
    balsammill::v1::DeploymentConfig config;
};

using ConfigChange = std::variant<DrainVm, UndrainVm, StopService, ResumeService, ReplaceConfig>;

/// Returns the content after the change; version and change id are those of the current content. If the change is
/// already in effect, the result equals the current content. Throws ConfigError for unknown services and invalid VM
/// names.
balsammill::v1::DeploymentConfig applyChange(const balsammill::v1::DeploymentConfig& current, const ConfigChange&);

} // namespace Balsammill
