#pragma once

#include "balsammill/config/ActiveConfig.h"
#include "balsammill/config/ConfigError.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace Balsammill {

/// Bounds of the values in a configuration; maxima unless the name says otherwise. Where a field permits 0, it selects
/// the default.
struct ConfigBounds {
    static constexpr int schemaFiles = 256;
    /// Total size of the paths and texts of all schema files.
    static constexpr std::size_t schemaBytes = 1024 * 1024;
    static constexpr int services = 256;
    static constexpr int clientAccounts = 1024;
    static constexpr int failureDomains = 64;
    static constexpr int drainedVms = 10'000;
    static constexpr std::size_t nameBytes = 128;
    static constexpr std::uint32_t slotsPerUpstream = 1024;
    static constexpr std::uint32_t connectionsPerUpstream = 4096;
    static constexpr std::uint32_t quotaWeight = 1'000'000;
    /// Bounds of limits.max_body_bytes.
    static constexpr std::uint32_t minBodyBytes = 1024;
    static constexpr std::uint32_t maxBodyBytes = 64 * 1024 * 1024;
    static constexpr std::uint32_t tasksPerJob = 100'000;
    static constexpr std::uint32_t queuedTasks = 10'000'000;
    static constexpr std::uint32_t deadlineMs = 24 * 60 * 60 * 1000;
    static constexpr std::uint32_t shardsPerDomain = 1024;
};

/// Finds all faults of a configuration except those that are found only by compiling its schema.
std::vector<ConfigFault> findConfigFaults(const balsammill::v1::DeploymentConfig&);

/// Validates the configuration and compiles its schema. Throws ConfigError with all faults found.
std::shared_ptr<const ActiveConfig> buildActiveConfig(const balsammill::v1::DeploymentConfig&);

} // namespace Balsammill
