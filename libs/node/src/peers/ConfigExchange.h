#pragma once

#include "NodeContext.h"
#include "PeerLink.h"

#include "balsammill/routing/ConfigFetch.h"
#include "balsammill/routing/ConfigSource.h"
#include "balsammill/routing/RoutingConfig.h"

#include <functional>
#include <memory>
#include <string>

namespace balsammill::internal {
class ConfigCopy;
class ConfigRequest;
} // namespace balsammill::internal

namespace Balsammill {

/// Holds the configuration in force. Newer versions come from the store, or from a peer if the store does not deliver
/// them in time.
class ConfigExchange {
public:
    /// Called when a newer version takes effect.
    using AdoptedHandler = std::function<void(const std::shared_ptr<const QueueTable>&)>;

    ConfigExchange(NodeContext&, AdoptedHandler);

    /// Null until the first configuration has been received.
    const std::shared_ptr<const QueueTable>& queues() const { return queues_; }
    /// 0 until the first configuration has been received.
    ConfigVersion version() const { return queues_ ? queues_->config().version : ConfigVersion(); }

    void handleStored(const std::string& document);
    /// The peer reports that it has this version.
    void handleVersion(PeerLink&, ConfigVersion);
    void handleRequest(PeerLink&, const balsammill::internal::ConfigRequest&);
    void handleCopy(PeerLink&, const balsammill::internal::ConfigCopy&);
    void handlePeerClosed(const PeerLink&);

private:
    void adopt(const std::string& document, const char* source);
    void handlePiece(PeerLink&, const balsammill::internal::ConfigCopy&);
    void sendRequest(PeerLink&, const ConfigPieceRequest&);

    NodeContext& context_;
    AdoptedHandler adopted_;
    std::shared_ptr<const QueueTable> queues_;
    ConfigSource source_;
    ConfigFetch fetch_;
    /// The connection of the last request.
    LinkId requestedOn_;
};

} // namespace Balsammill
