#pragma once

#include "SuspendedTime.h"
#include "support/Process.h"

#include <map>
#include <string>

namespace PlatformTest {

/// Access to the memory that a process shares with the test.
class SuspendedTimeMapping {
public:
    /// Throws if the process was not started with environment() or has ended.
    explicit SuspendedTimeMapping(const IntegrationTest::Process&);
    ~SuspendedTimeMapping();
    SuspendedTimeMapping(const SuspendedTimeMapping&) = delete;
    SuspendedTimeMapping& operator=(const SuspendedTimeMapping&) = delete;

    SuspendedTime* operator->() const { return memory_; }

    /// Environment variables of a process into which the library suspendable_vm is preloaded.
    static std::map<std::string, std::string> environment();

private:
    SuspendedTime* memory_ { nullptr };
};

} // namespace PlatformTest
