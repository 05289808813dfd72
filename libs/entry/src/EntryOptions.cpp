#include "balsammill/entry/EntryOptions.h"

#include <Poco/Net/IPAddress.h>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace Balsammill {

namespace {

// Names appear in table keys, log lines and metric labels.
void requireName(const std::string& setting, const std::string& value)
{
    const auto allowed = [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_' || c == '.'; };
    if (value.empty())
        throw SettingsError("--" + setting + " is required");
    if (value.size() > 64 || !std::all_of(value.begin(), value.end(), allowed))
        throw SettingsError("--" + setting + " '" + value + "' must be 1 to 64 letters, digits, '-', '_' or '.'");
}

void requireAddress(const std::string& setting, const NetworkAddress& address, bool allowPortZero)
{
    const auto& text = address.value;
    const auto colon = text.rfind(':');
    const auto fail = [&](const std::string& why) { throw SettingsError("--" + setting + " '" + text + "' " + why); };
    if (text.empty())
        throw SettingsError("--" + setting + " is required");
    if (colon == std::string::npos)
        fail("must have the form IP:port");
    Poco::Net::IPAddress host;
    if (!Poco::Net::IPAddress::tryParse(text.substr(0, colon), host))
        fail("must start with a numeric IP address");
    unsigned port = 0;
    const auto* end = text.data() + text.size();
    const auto [parsedEnd, error] = std::from_chars(text.data() + colon + 1, end, port);
    if (error != std::errc {} || parsedEnd != end || port > 65535 || (port == 0 && !allowPortZero))
        fail(allowPortZero ? "must end with a port from 0 to 65535" : "must end with a port from 1 to 65535");
}

void requireRange(const std::string& setting, Duration value, Duration least, Duration most)
{
    const auto milliseconds
        = [](Duration d) { return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(d).count()); };
    if (value < least || value > most)
        throw SettingsError("--" + setting + " is " + milliseconds(value) + " ms, but must be from "
            + milliseconds(least) + " to " + milliseconds(most) + " ms");
}

void requireRange(const std::string& setting, std::size_t value, std::size_t least, std::size_t most)
{
    if (value < least || value > most)
        throw SettingsError("--" + setting + " is " + std::to_string(value) + ", but must be from "
            + std::to_string(least) + " to " + std::to_string(most));
}

void requireSecret(const std::string& setting, const std::string& value)
{
    constexpr std::size_t minSecretLength = 16;
    if (value.size() < minSecretLength)
        throw SettingsError("--" + setting + " must have at least " + std::to_string(minSecretLength) + " characters");
}

} // namespace

void validate(const EntryOptions& options)
{
    using namespace std::chrono_literals;
    requireName("vm", options.vm.value);
    requireName("failure-domain", options.failureDomain.value);
    requireName("deployment", options.deployment);
    requireAddress("listen", options.callerAddress, true);
    requireAddress("operator-listen", options.operatorAddress, true);
    requireAddress("peer-listen", options.peerAddress, true);
    requireAddress("platform", options.platformAddress, false);
    for (const auto& [vm, address] : options.peerOverrides)
        requireAddress("peer-override", address, false);
    requireSecret("peer-secret", options.peerSecret);
    requireSecret("operator-token", options.operatorToken);
    requireRange("platform-timeout-ms", options.platformTimeout, 10ms, 60s);
    requireRange("shutdown-timeout-ms", options.shutdownTimeout, 100ms, 10min);
    requireRange("history-retention-ms", options.historyRetention, 1s, 24h);
    requireRange("job-orphan-timeout-ms", options.jobOrphanTimeout, 1s, 1h);
    requireRange("max-connections", options.maxConnections, 1, 20'000);
    requireRange("max-executor-threads", options.maxExecutorThreads, 1, 4'096);
    requireRange("timeline-capacity", options.timelineCapacity, 100, 1'000'000);
}

} // namespace Balsammill
