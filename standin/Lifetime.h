#pragma once

#include "balsammill/base/Units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Balsammill::Standin {

/// Waits for the shutdown of a stand-in: SIGTERM, SIGINT or, with --exit-with-stdin, the end of standard input.
///
/// Must be constructed before any thread is started: it blocks the two signals, and only threads that are started
/// afterwards inherit the signal mask.
class Lifetime {
public:
    explicit Lifetime(bool exitWithStdin);
    ~Lifetime();
    Lifetime(const Lifetime&) = delete;
    Lifetime& operator=(const Lifetime&) = delete;

    void waitForShutdown() const;
    /// Returns false if the deadline passes first.
    bool waitForShutdownUntil(TimePoint deadline) const;

private:
    int signalDescriptor_ { -1 };
    bool exitWithStdin_;
};

/// Exits with status 0 without joining threads. Open connections are dropped, as when a VM fails.
///
/// Stopping each server in turn could take seconds.
[[noreturn]] void exitProcess();

/// Prints one JSON line on standard output, which tells the parent process that the ports are open.
void printReady(std::uint16_t port, const std::string& portsJson = {});

/// JSON array of the ports.
std::string toJson(const std::vector<std::uint16_t>& ports);
/// JSON object of ports by name.
std::string toJson(const std::map<std::string, std::uint16_t>& ports);

} // namespace Balsammill::Standin
