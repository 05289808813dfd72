#pragma once

#include "balsammill/base/ProcessId.h"
#include "balsammill/membership/EntryRegistry.h"
#include "balsammill/platform/PlatformClient.h"

#include <optional>

namespace Balsammill {

struct EntryRegistrarOptions {
    ProcessId self;
    FailureDomain failureDomain;
    /// Address that other entries connect to.
    NetworkAddress peerAddress;
};

/// Registers this entry in the platform's table, renews the registration, and reads those of the other entries. Not
/// thread-safe; its calls block.
class EntryRegistrar {
public:
    EntryRegistrar(const PlatformClient&, EntryRegistrarOptions);

    /// Reads all registrations and renews this entry's own one when it is due. Empty if the platform cannot be read.
    std::optional<std::vector<ListedEntry>> refresh();

private:
    void renew(TimePoint now);
    bool read();

    const PlatformClient& platform_;
    EntryRegistrarOptions options_;
    EntryRegistry registry_;
    // ETag of this entry's row; empty if the row does not exist.
    std::optional<ETag> ownTag_;
    std::uint64_t renewal_ { 0 };
    TimePoint renewAt_ {};
};

} // namespace Balsammill
