#pragma once

#include "balsammill/base/RpcError.h"
#include "balsammill/config/ActiveConfig.h"
#include "balsammill/config/ConfigChange.h"

#include <memory>
#include <string>
#include <variant>

namespace Balsammill {

/// The offered configuration is now active.
struct ConfigAdopted {
    std::shared_ptr<const ActiveConfig> config;
};
/// The offered configuration is already active.
struct ConfigAlreadyInForce { };
/// A higher version is active; the offered one was ignored.
struct ConfigOutdated {
    ConfigVersion offered;
    ConfigVersion current;
};
/// The active configuration has the same version but different content; the offered one was ignored. Conditional writes
/// to the table rule this out.
struct ConfigDivergent {
    ConfigVersion version;
    std::string offeredChangeId;
    std::string currentChangeId;
};
using AdoptResult = std::variant<ConfigAdopted, ConfigAlreadyInForce, ConfigOutdated, ConfigDivergent>;

/// The configuration to write to the table, with its new version and change id.
struct ConfigPrepared {
    balsammill::v1::DeploymentConfig next;
};
/// The change is already in effect in this version; nothing has to be written.
struct ConfigUnchanged {
    ConfigVersion version;
};
/// The change is based on a version that is not the active one.
struct ConfigConflict {
    ConfigVersion expected;
    ConfigVersion current;

    /// Error returned to the operator: aborted, not-run, with both versions.
    RpcErrorDetails details() const;
};
using PrepareResult = std::variant<ConfigPrepared, ConfigUnchanged, ConfigConflict>;

/// Holds the active configuration. Not thread-safe; the owner publishes current() to the request path.
class ConfigStore {
public:
    /// Null until a configuration is adopted.
    const std::shared_ptr<const ActiveConfig>& current() const { return current_; }
    /// 0 until a configuration is adopted.
    ConfigVersion version() const;

    /// Adopts the configuration if its version is higher than the active one. Throws ConfigError and changes nothing if
    /// it is invalid.
    AdoptResult adopt(const balsammill::v1::DeploymentConfig&);

    /// Applies a change to the expected version without adopting the result. Throws ConfigError if the result is
    /// invalid.
    PrepareResult prepare(const ConfigChange&, ConfigVersion expected, const std::string& changeId) const;

private:
    std::shared_ptr<const ActiveConfig> current_;
};

} // namespace Balsammill
