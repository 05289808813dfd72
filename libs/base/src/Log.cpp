#include "balsammill/base/Log.h"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace Balsammill {

namespace {

// Messages are streamed into this logger and never used as a format, so that a '%' in a message is not interpreted.
constexpr auto loggerId = "balsammill";

// Easylogging++ prints an error in place of a message if its logger is not registered. Registering it here covers
// programs that never call configureLogging(), such as tests.
void registerLogger()
{
    static el::Logger* const logger = el::Loggers::getLogger(loggerId);
    static_cast<void>(logger);
}

el::Level toEasyLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return el::Level::Debug;
    case LogLevel::Info:
        return el::Level::Info;
    case LogLevel::Warning:
        return el::Level::Warning;
    case LogLevel::Error:
        return el::Level::Error;
    }
    return el::Level::Error;
}

} // namespace

std::string_view nameOf(LogComponent part)
{
    switch (part) {
    case LogComponent::Main:
        return "main";
    case LogComponent::Rpc:
        return "rpc";
    case LogComponent::Dispatch:
        return "dispatch";
    case LogComponent::Jobs:
        return "jobs";
    case LogComponent::Membership:
        return "membership";
    case LogComponent::Config:
        return "config";
    case LogComponent::Peer:
        return "peer";
    case LogComponent::Platform:
        return "platform";
    case LogComponent::Operator:
        return "operator";
    }
    return "main";
}

std::optional<LogLevel> parseLogLevel(std::string_view text)
{
    if (text == "debug")
        return LogLevel::Debug;
    if (text == "info")
        return LogLevel::Info;
    if (text == "warning")
        return LogLevel::Warning;
    if (text == "error")
        return LogLevel::Error;
    return std::nullopt;
}

void configureLogging(std::string_view vmName, LogLevel minimum)
{
    el::Loggers::addFlag(el::LoggingFlag::HierarchicalLogging);
    el::Loggers::addFlag(el::LoggingFlag::DisableApplicationAbortOnFatalLog);
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configuration.setGlobally(
        el::ConfigurationType::Format, "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level " + std::string(vmName) + " %msg");
    registerLogger();
    el::Loggers::reconfigureLogger(loggerId, configuration);
    el::Loggers::setLoggingLevel(toEasyLevel(minimum));
}

void logMessage(LogComponent part, LogLevel level, std::string_view text)
{
    registerLogger();
    const auto prefix = std::string("[") + std::string(nameOf(part)) + "] ";
    switch (level) {
    case LogLevel::Debug:
        CLOG(DEBUG, loggerId) << prefix << text;
        break;
    case LogLevel::Info:
        CLOG(INFO, loggerId) << prefix << text;
        break;
    case LogLevel::Warning:
        CLOG(WARNING, loggerId) << prefix << text;
        break;
    case LogLevel::Error:
        CLOG(ERROR, loggerId) << prefix << text;
        break;
    }
}

LogLimiter::LogLimiter(Duration interval)
    : interval_(interval)
{
}

bool LogLimiter::allow(TimePoint now)
{
    std::lock_guard lock(mutex_);
    if (now < nextAllowedAt_) {
        ++suppressedSinceLast_;
        return false;
    }
    nextAllowedAt_ = now + interval_;
    lastSuppressed_ = suppressedSinceLast_;
    suppressedSinceLast_ = 0;
    return true;
}

std::uint64_t LogLimiter::suppressed() const
{
    std::lock_guard lock(mutex_);
    return lastSuppressed_;
}

} // namespace Balsammill
