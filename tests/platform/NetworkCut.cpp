#include "NetworkCut.h"

#include <stdexcept>

namespace PlatformTest {

NetworkCut::NetworkCut(const std::vector<const IntegrationTest::Process*>& processes, const std::vector<int>& ports)
{
    if (ports.size() > maxCutPorts)
        throw std::runtime_error("too many ports to cut off");
    for (const auto* process : processes) {
        auto& shared = *processes_.emplace_back(std::make_unique<SuspendedTimeMapping>(*process));
        for (std::size_t i = 0; i < ports.size(); ++i)
            shared->cutPorts.at(i) = ports[i];
        shared->cutPortCount = static_cast<std::int64_t>(ports.size());
    }
}

NetworkCut::~NetworkCut()
{
    for (const auto& process : processes_)
        (*process)->cutPortCount = 0;
}

} // namespace PlatformTest
