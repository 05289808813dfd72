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

/// One entry process: answers callers and operators, and works with the other entries of the deployment.
class EntryServer {
public:
    /// Throws SettingsError if a setting cannot work. The client of the platform must outlive the process.
    EntryServer(EntryOptions, const PlatformClient&);
    ~EntryServer();

    EntryPorts start();

    /// Graceful shutdown: refuses new requests, finishes those in flight, hands its shards over, and stops.
    /// True if nothing was cut off before the shutdown deadline.
    bool shutDown();

private:
    struct Detail;
    std::unique_ptr<Detail> detail_;
};

} // namespace Balsammill
