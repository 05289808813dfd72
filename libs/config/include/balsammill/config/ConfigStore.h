#pragma once

#include "balsammill/base/RpcError.h"
#include "balsammill/config/ActiveConfig.h"
#include "balsammill/config/ConfigChange.h"

#include <memory>
#include <string>
#include <variant>

namespace Balsammill {

/// The configuration is now in force.
struct ConfigAdopted {
    std::shared_ptr<const ActiveConfig> config;
};
/// The same configuration is in force already.
struct ConfigAlreadyInForce { };
/// A higher version is in force; nothing changed.
struct ConfigOutdated {
    ConfigVersion offered;
    ConfigVersion current;
};
/// The version in force has other content, which the table's conditional writes rule out; nothing changed.
struct ConfigDivergent {
    ConfigVersion version;
    std::string offeredChangeId;
    std::string currentChangeId;
};
using AdoptResult = std::variant<ConfigAdopted, ConfigAlreadyInForce, ConfigOutdated, ConfigDivergent>;

/// The content to write to the table, with its new version and change id.
struct ConfigPrepared {
    balsammill::v1::DeploymentConfig next;
};
/// The change is already in effect in the given version; nothing has to be written.
struct ConfigUnchanged {
    ConfigVersion version;
};
/// Another change came first.
struct ConfigConflict {
    ConfigVersion expected;
    ConfigVersion current;

    /// What the operator is told: aborted, not-run, with both versions.
    RpcErrorDetails details() const;
};
using PrepareResult = std::variant<ConfigPrepared, ConfigUnchanged, ConfigConflict>;

/// The configuration in force. Not thread-safe; its owner publishes current() to the request path.
class ConfigStore {
public:
    /// Null until the first configuration was adopted.
    const std::shared_ptr<const ActiveConfig>& current() const { return current_; }
    /// 0 until the first configuration was adopted.
    ConfigVersion version() const;

    /// Adopts only a higher version. Throws ConfigError if a higher version is invalid; then nothing changed.
    AdoptResult adopt(const balsammill::v1::DeploymentConfig&);

    /// Prepares a change that was based on the expected version; does not adopt it. Throws ConfigError if the result
    /// would be invalid.
    PrepareResult prepare(const ConfigChange&, ConfigVersion expected, const std::string& changeId) const;

private:
    std::shared_ptr<const ActiveConfig> current_;
};

} // namespace Balsammill
