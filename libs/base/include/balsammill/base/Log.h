#pragma once

#include "balsammill/base/Units.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace Balsammill {

/// Component that writes a log line. Its name is printed in brackets before the message.
enum class LogComponent {
    Main,
    Rpc,
    Dispatch,
    Jobs,
    Membership,
    Config,
    Peer,
    Platform,
    Operator,
};

std::string_view nameOf(LogComponent);

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

std::optional<LogLevel> parseLogLevel(std::string_view);

/// Configures logging to standard error for the whole process. Line format: "<time> <level> <vm> [<part>] <text>".
void configureLogging(std::string_view vmName, LogLevel minimum);

void logMessage(LogComponent, LogLevel, std::string_view text);

inline void logDebug(LogComponent part, std::string_view text) { logMessage(part, LogLevel::Debug, text); }
inline void logInfo(LogComponent part, std::string_view text) { logMessage(part, LogLevel::Info, text); }
inline void logWarning(LogComponent part, std::string_view text) { logMessage(part, LogLevel::Warning, text); }
inline void logError(LogComponent part, std::string_view text) { logMessage(part, LogLevel::Error, text); }

/// Rate limiter for one kind of log line, so that a recurring error cannot flood the log. Thread-safe.
class LogLimiter {
public:
    explicit LogLimiter(Duration interval);

    /// Returns true if a line may be logged at this time. suppressed() then returns the number of lines that were
    /// suppressed since the previously allowed line.
    bool allow(TimePoint now);
    std::uint64_t suppressed() const;

private:
    mutable std::mutex mutex_;
    Duration interval_;
    TimePoint nextAllowedAt_ {};
    std::uint64_t suppressedSinceLast_ { 0 };
    std::uint64_t lastSuppressed_ { 0 };
};

} // namespace Balsammill
