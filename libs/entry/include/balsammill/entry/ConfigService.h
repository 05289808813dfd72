#pragma once

#include "balsammill/base/ProcessId.h"
#include "balsammill/base/RcuCell.h"
#include "balsammill/config/ConfigStore.h"
#include "balsammill/entry/PeerSender.h"
#include "balsammill/membership/MemberView.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>

namespace balsammill::internal {
class PeerMessage;
}
namespace balsammill::v1 {
class ApplyConfigResponse;
} // namespace balsammill::v1

namespace Balsammill {

class PlatformClient;
class Timeline;

struct ConfigServiceOptions {
    const PlatformClient& platform;
    const RcuCell<MemberView>& members;
    Timeline& timeline;
    PeerSender send;
    /// Called after this process has switched to a newer configuration.
    std::function<void(const ActiveConfig&)> adopted;
};

/// Maintains the active configuration: reads it from the platform's table, commits changes by conditional write and
/// distributes them to the other entries. The version never decreases. Thread-safe.
class ConfigService {
public:
    explicit ConfigService(ConfigServiceOptions);

    const RcuCell<ActiveConfig>& active() const { return active_; }
    ConfigVersion version() const;

    /// Reads the table and adopts a newer version. Blocks for at most the platform timeout.
    void refresh();

    /// Commits a change to the table, then waits until all entries that are not dead have adopted it or the deadline
    /// has passed. If another operator changes the configuration concurrently: with an expected version, throws
    /// RpcError (aborted, with the newer version); without one, applies the change again on top of the newer
    /// configuration until the deadline.
    balsammill::v1::ApplyConfigResponse change(
        const ConfigChange&, std::optional<ConfigVersion> expected, TimePoint deadline);

    void handlePeerMessage(const ProcessId& sender, const balsammill::internal::PeerMessage&);
    /// Requests the configuration from a member whose heartbeat reports a newer version.
    void observeVersion(const VmName&, ConfigVersion);

private:
    struct StoredConfig;

    std::optional<StoredConfig> readStored(Verdict verdictIfUnavailable) const;
    PrepareResult prepare(const ConfigChange&, std::optional<ConfigVersion> expected);
    void write(
        const std::optional<StoredConfig>& base, const balsammill::v1::DeploymentConfig& next, TimePoint deadline);
    void adopt(const balsammill::v1::DeploymentConfig&);
    void publish(const std::shared_ptr<const ActiveConfig>&);
    void push(const VmName&);
    void pushToAll();
    balsammill::v1::ApplyConfigResponse waitUntilInForce(ConfigVersion, TimePoint deadline) const;

    ConfigServiceOptions options_;
    std::mutex storeMutex_;
    ConfigStore store_;
    /// Copy of the configuration in store_, readable on the request path without storeMutex_.
    RcuCell<ActiveConfig> active_;
    std::mutex fetchMutex_;
    TimePoint nextFetchAt_;
};

} // namespace Balsammill
