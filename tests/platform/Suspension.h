#pragma once

#include "SuspendedTimeMapping.h"
#include "support/Process.h"

#include <map>
#include <string>

namespace PlatformTest {

/// What becomes of the connections that are open when a VM is suspended.
enum class OpenConnections {
    /// They go on, and show that the other side has closed them meanwhile.
    Continue,
    /// They show no end and no reset for good, while new ones work.
    GoSilent,
};

/// Suspends a process, which was started with environment(), for the lifetime of this object. As on a suspended VM, the
/// CLOCK_MONOTONIC of the process does not count that time.
class Suspension {
public:
    /// Returns once the process stands still. Throws if it doesn't, or was not started with environment().
    Suspension(const IntegrationTest::Process&, OpenConnections);
    ~Suspension();
    Suspension(const Suspension&) = delete;
    Suspension& operator=(const Suspension&) = delete;

    static std::map<std::string, std::string> environment();

private:
    const IntegrationTest::Process& process_;
    OpenConnections openConnections_;
    SuspendedTimeMapping suspendedTime_;
    Balsammill::TimePoint beganAt_;
};

} // namespace PlatformTest
