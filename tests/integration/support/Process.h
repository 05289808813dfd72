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
    /// Standard output goes to the log too, and no ready line is waited for.
    bool outputToLog { false };
};

/// A child process of the test. Its standard error goes to integration-logs/<name>.log in the build tree; it is killed
/// with the object.
class Process {
public:
    /// Starts the program and waits for its ready line on standard output; throws with the log's end if there is none.
    explicit Process(ProcessOptions);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    pid_t pid() const { return pid_; }
    const std::string& name() const { return options_.name; }
    /// The JSON object that the process printed when it was ready.
    const std::string& readyLine() const { return readyLine_; }
    std::uint16_t portFromReadyLine(const std::string& key) const;
    std::vector<std::uint16_t> portsFromReadyLine() const;

    void signal(int number) const;
    /// Sends SIGKILL and reaps the process.
    void kill();
    /// Exit status, or 128 + signal; empty if it still runs at the deadline.
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

/// A port on the loopback address that the system chose, for processes whose port has to be known before they start and
/// after they restart. It stays bound here, so that the system gives it to no other socket; the listener of the process
/// can share it because both allow address reuse.
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

/// Polls until the condition holds; false if it does not by the deadline.
template <typename Condition> bool waitUntil(TimePoint deadline, Condition condition);

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
