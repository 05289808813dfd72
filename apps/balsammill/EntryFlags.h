#pragma once

#include "balsammill/entry/EntryOptions.h"

#include <cstdint>
#include <string>
#include <vector>

namespace CLI {
class App;
}

namespace Balsammill {

/// Raw values of the flags of an entry process, as CLI11 fills them.
class EntryFlags {
public:
    /// Adds the flags. Each can also be set by an environment variable, for example --peer-listen by
    /// BALSAMMILL_PEER_LISTEN.
    void addTo(CLI::App&);

    /// Throws SettingsError for an invalid flag. The message names the flag and, except for secrets, its value.
    EntryOptions toOptions() const;

private:
    std::string vm_;
    std::string failureDomain_;
    std::string deployment_;
    std::string listen_ { "127.0.0.1:0" };
    std::string operatorListen_ { "127.0.0.1:0" };
    std::string peerListen_ { "127.0.0.1:0" };
    std::string platform_;
    std::string peerSecret_;
    std::string operatorToken_;
    std::vector<std::string> peerOverrides_;
    std::string placement_ { "owned" };
    std::string queueOrder_ { "fair" };
    std::string upstreamChoice_ { "least-loaded" };
    std::string logLevel_ { "info" };
    std::int64_t platformTimeoutMs_ { 2000 };
    std::int64_t shutdownTimeoutMs_ { 20'000 };
    std::int64_t historyRetentionMs_ { 900'000 };
    std::int64_t jobOrphanTimeoutMs_ { 30'000 };
    std::size_t maxConnections_ { 1024 };
    std::size_t maxExecutorThreads_ { 512 };
    std::size_t timelineCapacity_ { 20'000 };
};

} // namespace Balsammill
