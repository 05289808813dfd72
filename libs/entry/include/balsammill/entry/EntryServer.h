#pragma once

#include "balsammill/entry/EntryOptions.h"

#include <cstdint>
#include <memory>

namespace Balsammill {

class PlatformClient;

/// Ports that the process listens on.
struct EntryPorts {
    std::uint16_t caller { 0 };
    std::uint16_t operators { 0 };
    std::uint16_t peer { 0 };
};

/// One entry process: serves callers and operators, and cooperates with the other entries of the deployment.
class EntryServer {
public:
    /// Throws SettingsError if a setting is invalid. The platform client must outlive this object.
    EntryServer(EntryOptions, const PlatformClient&);
    ~EntryServer();

    EntryPorts start();

    /// Graceful shutdown: refuses new requests, finishes those in flight, hands its shards over, and stops.
    /// Returns true if all work was finished before the shutdown timeout.
    bool shutDown();

private:
    struct Detail;
    std::unique_ptr<Detail> detail_;
};

} // namespace Balsammill
