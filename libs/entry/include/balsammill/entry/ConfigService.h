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
    /// Called after a newer configuration came into force in this process.
    std::function<void(const ActiveConfig&)> adopted;
};

/// Keeps the configuration in force: reads it from the platform's table, accepts changes by conditional write, spreads
/// them to the other entries, and only ever moves to a higher version. Thread-safe.
class ConfigService {
public:
    explicit ConfigService(ConfigServiceOptions);

    const RcuCell<ActiveConfig>& active() const { return active_; }
    ConfigVersion version() const;

    /// Compares with the table and adopts a newer version. Blocks for the platform's timeout at most.
    void refresh();

    /// Accepts a change once the table holds it, and waits until it is in force on all reachable entries or the
    /// deadline passed. With an expected version it throws RpcError (aborted, with the newer version) if another
    /// operator was faster; without one it is repeated on the newer configuration.
    balsammill::v1::ApplyConfigResponse change(
        const ConfigChange&, std::optional<ConfigVersion> expected, TimePoint deadline);

    void handlePeerMessage(const ProcessId& sender, const balsammill::internal::PeerMessage&);
    /// Fetches a newer version that a heartbeat shows.
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
    /// What store_ holds, for readers on the request path.
    RcuCell<ActiveConfig> active_;
    std::mutex fetchMutex_;
    TimePoint nextFetchAt_;
};

} // namespace Balsammill
