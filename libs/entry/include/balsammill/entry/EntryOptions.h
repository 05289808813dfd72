#pragma once

#include "balsammill/base/Log.h"
#include "balsammill/base/StrongId.h"
#include "balsammill/base/Units.h"
#include "balsammill/policy/Scheduler.h"

#include <map>
#include <stdexcept>
#include <string>

namespace Balsammill {

/// How the entries of a failure domain divide its upstreams.
enum class Placement {
    /// Each upstream belongs to one entry; tasks are forwarded to where there is room.
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
    /// Key of the digests between entries.
    std::string peerSecret;
    std::string operatorToken;
    /// Addresses that replace those of the platform's list, for networks with address translation.
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

/// A setting that is missing or cannot work; what() names it and its value.
class SettingsError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Throws SettingsError for the first setting that cannot work.
void validate(const EntryOptions&);

} // namespace Balsammill
