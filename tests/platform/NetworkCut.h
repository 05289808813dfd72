#pragma once

#include "SuspendedTimeMapping.h"

#include <memory>
#include <vector>

namespace PlatformTest {

/// Cuts processes off from some ports for the lifetime of this object: data on connections from or to these ports is
/// lost without an error. Connections that were used meanwhile stay silent; later ones work.
class NetworkCut {
public:
    /// The processes must have been started with SuspendedTimeMapping::environment().
    NetworkCut(const std::vector<const IntegrationTest::Process*>&, const std::vector<int>& ports);
    ~NetworkCut();
    NetworkCut(const NetworkCut&) = delete;
    NetworkCut& operator=(const NetworkCut&) = delete;

private:
    std::vector<std::unique_ptr<SuspendedTimeMapping>> processes_;
};

} // namespace PlatformTest
