#pragma once

#include "balsammill/base/Log.h"
#include "balsammill/base/StrongId.h"
#include "balsammill/base/Units.h"
#include "balsammill/policy/Scheduler.h"

#include <map>
#include <stdexcept>
#include <string>

namespace Balsammill {

/// How the upstreams of a failure domain are assigned to its entries.
enum class Placement {
    /// Each upstream is owned by one entry; tasks are forwarded to entries with free slots.
    Owned,
    /// Every entry uses every upstream.
    Sampled,
};

/// Settings of one entry process.
struct EntryOptions {
    VmName vm;
    FailureDomain failureDomain;
    std::string deployment;
    NetworkAddress callerAddress { "127.0.0.1:0" };
    NetworkAddress operatorAddress { "127.0.0.1:0" };
    NetworkAddress peerAddress { "127.0.0.1:0" };
    NetworkAddress platformAddress;
    /// Shared key that authenticates messages between entries.
    std::string peerSecret;
    std::string operatorToken;
    /// Peer addresses that override those in the platform's list, for networks with address translation (NAT).
    std::map<VmName, NetworkAddress> peerOverrides {};
    Placement placement { Placement::Owned };
    QueueOrder queueOrder { QueueOrder::Fair };
    UpstreamChoice upstreamChoice { UpstreamChoice::LeastLoaded };
    Duration platformTimeout { std::chrono::seconds(2) };
    Duration shutdownTimeout { std::chrono::seconds(20) };
    Duration historyRetention { std::chrono::minutes(15) };
    Duration jobOrphanTimeout { std::chrono::seconds(30) };
    std::size_t maxConnections { 1024 };
    std::size_t maxExecutorThreads { 512 };
    std::size_t timelineCapacity { 20'000 };
    LogLevel logLevel { LogLevel::Info };
};

/// A setting is missing or invalid; what() names the setting and, unless it is secret, its value.
class SettingsError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Throws SettingsError for the first invalid setting.
void validate(const EntryOptions&);

} // namespace Balsammill
