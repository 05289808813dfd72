#pragma once

#include "balsammill/base/Units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace IntegrationTest {

using Balsammill::TimePoint;

struct ProcessOptions {
    std::string name;
    std::string program;
    std::vector<std::string> arguments;
    std::map<std::string, std::string> environment {};
    /// Redirects standard output to the log file as well; the constructor then does not wait for a ready line.
    bool outputToLog { false };
};

/// A child process of the test. Its standard error goes to integration-logs/<name>.log in the build tree. The
/// destructor kills the process.
class Process {
public:
    /// Starts the program and waits for its ready line on standard output. Throws with the tail of the log if no line
    /// arrives within 30 s.
    explicit Process(ProcessOptions);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    pid_t pid() const { return pid_; }
    const std::string& name() const { return options_.name; }
    /// The JSON object that the process printed when it became ready.
    const std::string& readyLine() const { return readyLine_; }
    std::uint16_t portFromReadyLine(const std::string& key) const;
    std::vector<std::uint16_t> portsFromReadyLine() const;

    void signal(int number) const;
    /// Sends SIGKILL and reaps the process.
    void kill();
    /// Exit status, or 128 plus the number of the signal that ended the process; empty if it still runs at the
    /// deadline.
    std::optional<int> waitForExit(TimePoint deadline);
    std::string logTail() const;
    std::string logFile() const;

private:
    void spawn();
    void readReadyLine();

    ProcessOptions options_;
    pid_t pid_ { -1 };
    int output_ { -1 };
    int input_ { -1 };
    std::string readyLine_;
};

/// A port on the loopback address chosen by the system, for a process whose port must be known before it starts and
/// stay the same after a restart. This object keeps the port bound, so that the system assigns it to no other socket.
/// The listener of the process can bind it as well because both sockets set SO_REUSEADDR.
class ReservedPort {
public:
    ReservedPort();
    ~ReservedPort();
    ReservedPort(ReservedPort&&) noexcept;
    ReservedPort& operator=(ReservedPort&&) = delete;

    std::uint16_t number() const { return number_; }

private:
    int descriptor_ { -1 };
    std::uint16_t number_ { 0 };
};

/// Checks the condition every 10 ms until it holds; returns false if it does not hold at the deadline.
template <typename Condition> bool waitUntil(TimePoint deadline, Condition condition);

/// The time that lies this duration after now, for use as a deadline.
TimePoint in(Balsammill::Duration);

} // namespace IntegrationTest

#include <thread>

template <typename Condition> bool IntegrationTest::waitUntil(TimePoint deadline, Condition condition)
{
    while (!condition()) {
        if (Balsammill::monotonicNow() >= deadline)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return true;
}
