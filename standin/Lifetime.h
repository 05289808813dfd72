#pragma once

#include "balsammill/base/Units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Balsammill::Standin {

/// Ends a stand-in on SIGTERM, SIGINT or, if asked for, the end of standard input.
///
/// Must be made before any other thread, because it blocks the signals for the threads that follow.
class Lifetime {
public:
    explicit Lifetime(bool exitWithStdin);
    ~Lifetime();
    Lifetime(const Lifetime&) = delete;
    Lifetime& operator=(const Lifetime&) = delete;

    void waitForEnd() const;
    /// False if the deadline passed first.
    bool waitForEndUntil(TimePoint deadline) const;

private:
    int signals_ { -1 };
    bool exitWithStdin_;
};

/// Ends the process with status 0 without joining its threads.
///
/// Open requests are cut off, as when a VM dies; stopping each server in turn could take seconds.
[[noreturn]] void endProcess();

/// Prints the one line on standard output that says that the ports are open.
void printReady(std::uint16_t port, const std::string& portsJson = {});

/// JSON array of the ports.
std::string toJson(const std::vector<std::uint16_t>& ports);
/// JSON object of ports by name.
std::string toJson(const std::map<std::string, std::uint16_t>& ports);

} // namespace Balsammill::Standin
