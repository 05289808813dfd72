#pragma once

#include "balsammill/base/ProcessId.h"
#include "balsammill/membership/EntryRegistry.h"
#include "balsammill/platform/PlatformClient.h"

#include <optional>

namespace Balsammill {

struct EntryRegistrarOptions {
    ProcessId self;
    FailureDomain failureDomain;
    /// Where other entries connect.
    NetworkAddress peerAddress;
};

/// Keeps this entry's row in the platform's table and reads those of the others. For one thread; its calls block.
class EntryRegistrar {
public:
    EntryRegistrar(const PlatformClient&, EntryRegistrarOptions);

    /// Renews the own row when it is due, and reads all. Empty if the platform cannot be read.
    std::optional<std::vector<ListedEntry>> refresh();

private:
    void renew(TimePoint now);
    bool read();

    const PlatformClient& platform_;
    EntryRegistrarOptions options_;
    EntryRegistry registry_;
    // Tag of the own row; empty if there is none.
    std::optional<ETag> ownTag_;
    std::uint64_t renewal_ { 0 };
    TimePoint renewAt_ {};
};

} // namespace Balsammill
